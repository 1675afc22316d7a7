"""Budget of retries."""

# Covers the requests that one router has on a failed host at once; beyond this burst,
# retries are limited to a fraction of the requests.
MAX_RETRY_TOKENS = 10.0


class RetryBudget:
    """Token bucket that gains a fraction of a token for each request.

    :param ratio: tokens gained for each request.
    """

    def __init__(self, ratio):
        self.ratio = ratio
        self.n_tokens = MAX_RETRY_TOKENS

    def record_request(self):
        """Gain tokens for a new request."""
        self.n_tokens = min(MAX_RETRY_TOKENS, self.n_tokens + self.ratio)

    def acquire_token(self):
        """Take a token if there is one.

        :returns: whether a retry is allowed.
        """
        if self.n_tokens < 1.0:
            return False
        self.n_tokens -= 1.0
        return True
