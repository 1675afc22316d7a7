"""Estimate of the prompt parts that an engine keeps in its memory."""

from collections import OrderedDict


class PrefixCache:
    """Prompt parts by recent use, as one engine keeps them.

    The engine drops the least recently used parts when it needs memory; so does this
    estimate. The prompts of running requests are among the parts, and what requests
    generate is small beside them.

    :param n_memory_tokens: tokens that fit into the engine's memory.
    """

    def __init__(self, n_memory_tokens):
        self.n_memory_tokens = n_memory_tokens
        self.parts = OrderedDict()
        self.n_tokens = 0

    def count_kept(self, parts):
        """Return the tokens of the leading parts that are kept.

        :param parts: :class:`PromptPart` entries in the order of the prompt.
        """
        n_kept = 0
        for name, n_tokens in parts:
            if name not in self.parts:
                break
            n_kept += n_tokens
        return n_kept

    def touch(self, parts):
        """Note that a request with these parts runs."""
        for name, n_tokens in parts:
            known = self.parts.pop(name, None)
            if known is None:
                self.n_tokens += n_tokens
            else:
                self.n_tokens += n_tokens - known
            self.parts[name] = n_tokens
        while self.n_tokens > self.n_memory_tokens:
            _, n_tokens = self.parts.popitem(last=False)
            self.n_tokens -= n_tokens
