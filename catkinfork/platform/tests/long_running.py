"""Runs a process that takes itself for one that has run for an hour.

What a forwarder concludes from the list of backend servers it has read for a minute or
longer would otherwise take a test as long.
"""

from catkinfork.balancing._resumption import OriginFinder
from catkinfork.cli import main
from catkinfork.topology._versions import VersionHistory

RUN_S = 3600.0


def lengthen_past():
    """Let the first read of the store and of the routes be long ago."""
    record_read = VersionHistory.record_read
    apply_configuration = OriginFinder.apply_configuration

    def record_long_read(history, now, *arguments):
        is_first = history.known_since > now
        record_read(history, now, *arguments)
        if is_first:
            history.known_since = now - RUN_S

    def apply_long(finder, configuration, now):
        apply_configuration(finder, configuration, now - RUN_S)

    VersionHistory.record_read = record_long_read
    OriginFinder.apply_configuration = apply_long


if __name__ == "__main__":
    lengthen_past()
    main()
