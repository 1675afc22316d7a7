"""Exit codes of the commands."""

EXIT_OK = 0
EXIT_FAULTS = 1
EXIT_USAGE = 2
EXIT_PORT_IN_USE = 3
EXIT_UNREACHABLE = 4
