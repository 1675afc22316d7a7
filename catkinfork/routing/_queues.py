"""Queues of waiting requests, by pool, workspace and demand class."""

from collections import OrderedDict

from catkinfork.protocol import check_invariant


class QueueSize:
    """Number and total size of the waiting requests of one workspace."""

    def __init__(self):
        self.n_waiting = 0
        self.n_bytes = 0


class RequestQueues:
    """Waiting requests of all workspaces.

    ``groups[pool][workspace][demand_class]`` is an ordered dictionary of requests by
    id, oldest first. Empty groups are removed, so that memory is proportional to
    the number of waiting requests.
    """

    def __init__(self):
        self.groups = {}
        self.sizes = {}
        self.n_waiting = 0

    def get_size(self, workspace):
        """Return number and total bytes of the waiting requests of a workspace."""
        size = self.sizes.get(workspace)
        return (size.n_waiting, size.n_bytes) if size else (0, 0)

    def add(self, entry, demand_class, is_first=False):
        """Add a request to the queue of its class.

        :param entry: :class:`OpenRequest` that does not wait yet.
        :param demand_class: :class:`DemandClass`.
        :param is_first: whether it is inserted at the head of the queue.
        """
        check_invariant(
            entry.demand_class is None and entry.attempt is None,
            "a request waits once, and not while it runs",
            entry.request.request_id,
        )
        workspaces = self.groups.setdefault(demand_class.pool, {})
        classes = workspaces.setdefault(demand_class.workspace, {})
        queue = classes.setdefault(demand_class, OrderedDict())
        request_id = entry.request.request_id
        queue[request_id] = entry
        if is_first:
            queue.move_to_end(request_id, last=False)
        entry.demand_class = demand_class
        size = self.sizes.setdefault(demand_class.workspace, QueueSize())
        size.n_waiting += 1
        size.n_bytes += entry.n_bytes
        self.n_waiting += 1

    def remove(self, entry):
        """Remove a request from its queue."""
        demand_class = entry.demand_class
        check_invariant(
            demand_class is not None,
            "a request that leaves the queue was waiting",
            entry.request.request_id,
        )
        workspaces = self.groups[demand_class.pool]
        classes = workspaces[demand_class.workspace]
        del classes[demand_class][entry.request.request_id]
        if not classes[demand_class]:
            del classes[demand_class]
        if not classes:
            del workspaces[demand_class.workspace]
        if not workspaces:
            del self.groups[demand_class.pool]
        entry.demand_class = None
        self.record_removal(demand_class.workspace, entry.n_bytes)

    def record_removal(self, workspace, n_bytes):
        """Subtract one request from the size of a workspace's queue."""
        size = self.sizes[workspace]
        size.n_waiting -= 1
        size.n_bytes -= n_bytes
        self.n_waiting -= 1
        check_invariant(
            size.n_waiting >= 0 and size.n_bytes >= 0,
            "queue sizes are not negative",
            (workspace, size.n_waiting, size.n_bytes),
        )
        if size.n_waiting == 0:
            check_invariant(
                size.n_bytes == 0, "an empty queue holds no bytes", workspace
            )
            del self.sizes[workspace]

    def count_class(self, demand_class):
        """Return the number of waiting requests of a class."""
        classes = self.groups.get(demand_class.pool, {})
        queue = classes.get(demand_class.workspace, {}).get(demand_class)
        return len(queue) if queue else 0

    def count_workspace(self, pool, workspace):
        """Return the number of waiting requests of a workspace for a pool."""
        classes = self.groups.get(pool, {}).get(workspace, {})
        return sum(map(len, classes.values()))

    def list_classes(self, pool):
        """Return pairs of demand class and queue of a pool."""
        return [
            (demand_class, queue)
            for classes in self.groups.get(pool, {}).values()
            for demand_class, queue in classes.items()
        ]

    def list_waiting(self, pool=None):
        """Return the waiting requests of a pool or of all, in submission order."""
        pools = list(self.groups) if pool is None else [pool]
        waiting = [
            entry
            for name in pools
            for _, queue in self.list_classes(name)
            for entry in queue.values()
        ]
        return sorted(waiting, key=lambda entry: entry.number)

    def find_match(self, pool, grant):
        """Return the waiting request to start on a granted ticket.

        The head of the granted class is preferred. If the class is empty, another
        request of the workspace and target that may run on the granted server is
        chosen, because the grant has already been charged to the workspace.

        :param pool: pool name.
        :param grant: :class:`GrantEntry`.
        :returns: :class:`OpenRequest` or None.
        """
        classes = self.groups.get(pool, {}).get(grant.workspace, {})
        heads = [
            next(iter(queue.values()))
            for demand_class, queue in classes.items()
            if is_compatible(demand_class, grant)
        ]
        if not heads:
            return None
        return min(heads, key=lambda head: rank_candidate(head, grant))


def is_compatible(demand_class, grant):
    """Return whether a request of a class may run on a granted ticket."""
    if demand_class.target != grant.target:
        return False
    if demand_class.required not in ("", grant.backend_server):
        return False
    return demand_class.suspect in (b"", grant.suspect)


def rank_candidate(head, grant):
    """Return the sort key of the head of a queue as a candidate for a grant.

    The granted class comes first, then a prefix cached on the granted server, then the
    oldest request.
    """
    demand_class = head.demand_class
    is_exact = (
        demand_class.required == grant.required
        and demand_class.preferred == grant.preferred
        and demand_class.suspect == grant.suspect
    )
    is_preferred = demand_class.preferred == grant.backend_server
    return (not is_exact, not is_preferred, head.number)
