"""Index of a document for lookups."""

from hashlib import sha256

from catkinfork.document._digest import compute_digest
from catkinfork.document._types import IN_SERVICE, LOST


class DocumentView:
    """Read-only index of a valid document.

    :param document: :class:`Document`.
    :param content: bytes from which it was parsed.
    """

    def __init__(self, document, content):
        self.document = document
        self.content = content
        self.version = document.version
        self.digest = compute_digest(content)
        self.workspaces = {entry.name: entry for entry in document.workspaces}
        self.data_centres = {entry.name: entry for entry in document.data_centres}
        self.pools = {entry.name: entry for entry in document.pools}
        self.backend_servers = {entry.name: entry for entry in document.backend_servers}
        self.workspace_of_key_digest = {
            digest: entry.name
            for entry in document.workspaces
            for digest in entry.key_digests
        }
        self.pool_of_target = {
            target: entry.pool
            for entry in document.backend_servers
            for target in entry.serves
        }

    @property
    def identity(self):
        """Pair of version and digest; the greater one takes precedence."""
        return (self.version, self.digest)

    def find_workspace(self, key):
        """Return the name of the workspace of an API key, or None."""
        return self.workspace_of_key_digest.get(sha256(key.encode()).hexdigest())

    def is_in_service(self, backend_server):
        """Return whether a backend server and its data centre are in service."""
        entry = self.backend_servers.get(backend_server)
        if entry is None or entry.state != IN_SERVICE:
            return False
        return self.data_centres[entry.data_centre].state == IN_SERVICE

    def list_pool(self, pool):
        """Return the backend servers of a pool."""
        return [entry for entry in self.document.backend_servers if entry.pool == pool]

    def list_key_servers(self, pool, target):
        """Return names of the servers that may own idempotency keys of a target.

        Servers that are out of service are included, lost ones are not.
        """
        return [
            entry.name
            for entry in self.list_pool(pool)
            if target in entry.serves and entry.state != LOST
        ]
