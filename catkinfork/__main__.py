"""``python -m catkinfork``."""

import sys

from catkinfork._signals import PROCESS_SIGNALS


def main():
    """Run a command; a forwarder receives signals before its libraries are imported."""
    if sys.argv[1:2] == ["forwarder"]:
        PROCESS_SIGNALS.install()
    from catkinfork.cli import main as run_command

    run_command()


if __name__ == "__main__":
    main()
