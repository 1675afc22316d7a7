"""Ages of what a frame tells, as the clocks of forwarders differ."""


def compute_age_ms(at, now):
    """Return the time since a monotonic time, milliseconds."""
    return max(0, int(1000 * (now - at)))
