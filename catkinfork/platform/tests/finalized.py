"""Runs a process that says when the interpreter is finalized."""

import atexit

from catkinfork.cli import main

FINALIZED = "interpreter finalized"

if __name__ == "__main__":
    atexit.register(print, FINALIZED, flush=True)
    main()
