"""The ``digest`` command."""

import sys
from getpass import getpass
from hashlib import sha256

import typer

from catkinfork.cli._exit_codes import EXIT_FAULTS
from catkinfork.cli._output import print_line

MAX_KEY_BYTES = 4096


def print_digest():
    """Print the SHA-256 digest of a caller's key read from standard input.

    On a terminal, the command prompts for the key without echo. Exit codes: 0 if the
    digest was printed, 1 if the input is not a valid key.
    """
    if sys.stdin.isatty():
        key = getpass("Key: ").encode()
    else:
        key = sys.stdin.buffer.read(MAX_KEY_BYTES + 2).rstrip(b"\r\n")
    if not is_valid_key(key):
        detail = f"expected one line of 1 to {MAX_KEY_BYTES} visible ASCII characters"
        print_line(f"invalid key: {detail}", "red", err=True)
        raise typer.Exit(EXIT_FAULTS)
    print_line(sha256(key).hexdigest())


def is_valid_key(key):
    """Return whether bytes can be sent as a key in an ``Authorization`` header."""
    return 0 < len(key) <= MAX_KEY_BYTES and all(0x21 <= byte <= 0x7E for byte in key)
