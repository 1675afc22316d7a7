"""Table of the backend servers that hold prompt prefixes in their cache."""

from collections import OrderedDict

# About 1 MB; engines evict prefixes earlier than this table does.
MAX_PREFIXES = 4096


class PrefixTable:
    """Last backend server of each prefix, with eviction of the least recently used."""

    def __init__(self):
        self.servers = OrderedDict()

    def record(self, request, backend_server):
        """Record the backend server of a request, if it has a prefix."""
        if not request.prefix:
            return
        key = (request.workspace, request.target, request.prefix)
        self.servers[key] = backend_server
        self.servers.move_to_end(key)
        if len(self.servers) > MAX_PREFIXES:
            self.servers.popitem(last=False)

    def find(self, request):
        """Return the last backend server of the request's prefix, empty for none."""
        if not request.prefix:
            return ""
        key = (request.workspace, request.target, request.prefix)
        return self.servers.get(key, "")
