"""Retry budget."""

# Burst size: allows retrying the requests that one router has in flight on a failed
# host. Beyond it, retries are limited to a fraction of the requests.
MAX_RETRY_TOKENS = 10.0


class RetryBudget:
    """Token bucket for retries, refilled by a fraction of a token per request.

    :param ratio: tokens added for each new request.
    """

    def __init__(self, ratio):
        self.ratio = ratio
        self.n_tokens = MAX_RETRY_TOKENS

    def record_request(self):
        """Add the tokens of a new request."""
        self.n_tokens = min(MAX_RETRY_TOKENS, self.n_tokens + self.ratio)

    def acquire_token(self):
        """Take a token for a retry if one is available.

        :returns: whether a retry is allowed.
        """
        if self.n_tokens < 1.0:
            return False
        self.n_tokens -= 1.0
        return True
