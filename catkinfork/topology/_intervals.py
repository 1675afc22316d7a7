"""Pauses between reads of the store, which depend on the size of the fleet."""

# Pause between two reads of changes, which batches the heartbeats of backend servers.
# It grows with the number of forwarders, so that their calls together do not.
MIN_READ_INTERVAL_S = 0.15
MAX_READ_INTERVAL_S = 0.6
DEFAULT_FLEET_READS_PER_S = 110.0
# The same for reads on request, which streams wait for that their callers resume.
MAX_FLEET_REQUESTED_READS_PER_S = 400.0


def compute_read_interval_s(n_forwarders, reads_per_s=DEFAULT_FLEET_READS_PER_S):
    """Return the pause between two reads of changes, seconds.

    :param reads_per_s: reads by all forwarders together, 1/s.
    """
    return limit_interval_s(n_forwarders / reads_per_s)


def compute_requested_interval_s(n_forwarders):
    """Return the pause between two reads on request, seconds."""
    return limit_interval_s(n_forwarders / MAX_FLEET_REQUESTED_READS_PER_S)


def limit_interval_s(interval_s):
    """Return an interval between two reads within its bounds, seconds."""
    return min(MAX_READ_INTERVAL_S, max(MIN_READ_INTERVAL_S, interval_s))
