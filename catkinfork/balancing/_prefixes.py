"""Estimate of the prompt parts in an engine's prefix cache."""

from collections import OrderedDict


class PrefixCache:
    """LRU model of the prefix cache of one engine.

    Like the engine, it evicts the least recently used parts when memory is needed.
    Prompts of running requests are counted as cached parts and need no memory beside
    them. Generated tokens are left out because they are few by comparison.

    :param n_memory_tokens: engine memory in tokens.
    """

    def __init__(self, n_memory_tokens):
        self.n_memory_tokens = n_memory_tokens
        self.parts = OrderedDict()
        self.n_tokens = 0

    def count_cached_tokens(self, parts):
        """Return the number of tokens in the leading parts that are cached.

        :param parts: :class:`PromptPart` entries in the order of the prompt.
        """
        n_cached_tokens = 0
        for name, n_tokens in parts:
            if name not in self.parts:
                break
            n_cached_tokens += n_tokens
        return n_cached_tokens

    def record_use(self, parts):
        """Mark parts as most recently used, and evict others to fit the memory."""
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
