"""Which backend server holds which prompt prefix in its cache."""

from collections import OrderedDict

# About 1 MB; engines evict prefixes earlier than this table forgets them.
MAX_PREFIXES = 4096


class PrefixTable:
    """Last backend server of each prefix; the least recently used is forgotten."""

    def __init__(self):
        self.servers = OrderedDict()

    def record(self, request, backend_server):
        """Store where a request with a prefix runs."""
        if not request.prefix:
            return
        key = (request.workspace, request.target, request.prefix)
        self.servers[key] = backend_server
        self.servers.move_to_end(key)
        if len(self.servers) > MAX_PREFIXES:
            self.servers.popitem(last=False)

    def find(self, request):
        """Return the backend server of the request's prefix, empty for none."""
        if not request.prefix:
            return ""
        key = (request.workspace, request.target, request.prefix)
        return self.servers.get(key, "")
