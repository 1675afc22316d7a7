"""State of a pool as reported in the summaries of its dispatchers."""

from typing import NamedTuple

# Dispatchers send a summary every 0.5 s; the state is stale after four are missing.
SUMMARY_LIFETIME_S = 2.0
# Longer than a change of dispatcher takes: 1.5 s until routers detect it, 1.5 s until
# agents do, and 0.5 s until the next summary.
OWNER_TIMEOUT_S = 4.0
# A router without demand receives no summaries, and an old list must not refuse
# requests whose block has ended. Short compared to the block time of 10 minutes.
SUSPECT_LIST_LIFETIME_S = 60.0


class WorkspaceWait(NamedTuple):
    """Expected wait of a workspace as of the last summary.

    :param wait_s: expected wait of a new request in seconds.
    :param n_waiting: waiting requests of all routers.
    :param n_reported: those of them that this router had reported.
    """

    wait_s: float
    n_waiting: int
    n_reported: int

    def estimate(self, n_own):
        """Return the expected wait in seconds without the own requests that have left.

        :param n_own: requests that wait at this router now.
        """
        n_left = max(0, self.n_reported - n_own)
        if n_left == 0:
            return self.wait_s
        return self.wait_s * (1 - n_left / max(self.n_waiting, self.n_reported))


class PoolState:
    """Contents of the last summary of a pool.

    :param pool: pool name.
    """

    def __init__(self, pool):
        self.pool = pool
        self.source = None
        self.sequence = 0
        self.summary_received_at = None
        self.summaries_fresh_since = None
        self.waits = {}
        self.suspects = frozenset()
        self.blocked = frozenset()
        self.last_listed_at = {}

    def record_summary(self, sender, summary, n_reported, now):
        """Store a summary unless the same dispatcher has sent a later one.

        :param n_reported: waiting requests that this router has reported, by workspace.
        :returns: whether it was stored.
        """
        source = (sender.name, sender.incarnation)
        if source == self.source and summary.sequence <= self.sequence:
            return False
        self.source = source
        self.sequence = summary.sequence
        if not self.is_fresh(now):
            self.summaries_fresh_since = now
        self.summary_received_at = now
        self.waits = {
            entry.workspace: WorkspaceWait(
                entry.wait_ms / 1000,
                entry.n_waiting,
                n_reported.get(entry.workspace, 0),
            )
            for entry in summary.workspaces
        }
        self.suspects = frozenset(summary.suspects)
        self.blocked = frozenset(summary.blocked)
        for name in summary.backend_servers:
            if name in self.last_listed_at:
                self.last_listed_at[name] = now
        return True

    def is_fresh(self, now):
        """Return whether the last summary is recent enough to be used."""
        return (
            self.summary_received_at is not None
            and now - self.summary_received_at < SUMMARY_LIFETIME_S
        )

    def is_suspect(self, fingerprint, now):
        """Return whether a request is suspected of having crashed a backend server."""
        return fingerprint in self.suspects and self.is_suspect_list_fresh(now)

    def is_blocked(self, fingerprint, now):
        """Return whether a request is blocked because of crashes."""
        return fingerprint in self.blocked and self.is_suspect_list_fresh(now)

    def is_suspect_list_fresh(self, now):
        """Return whether the lists of suspect and blocked requests are still valid."""
        return now - self.summary_received_at < SUSPECT_LIST_LIFETIME_S

    def estimate_wait(self, workspace, n_own, now):
        """Return the expected wait of a new request in seconds, 0 if unknown.

        :param n_own: requests of the workspace that wait at this router now.
        """
        wait = self.waits.get(workspace)
        if wait is None or not self.is_fresh(now):
            return 0.0
        return wait.estimate(n_own)

    def is_unlisted(self, backend_server, waiting_since, now):
        """Return whether summaries have not listed a backend server for too long.

        A router without demand receives no summaries. Therefore only the time in which
        they arrive counts, or, if none arrive, the time that a request has waited.

        :param waiting_since: monotonic time since which a request waits for the backend
            server.
        """
        last_listed_at = self.last_listed_at.get(backend_server)
        if last_listed_at is None:
            return True
        since = self.summaries_fresh_since if self.is_fresh(now) else waiting_since
        return now - max(last_listed_at, since) >= OWNER_TIMEOUT_S

    def set_backend_servers(self, names, now):
        """Set the pool's backend servers; new ones count as listed now."""
        self.last_listed_at = {
            name: self.last_listed_at.get(name, now) for name in names
        }
