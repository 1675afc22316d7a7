"""Command line of catkinfork."""

from catkinfork.cli._main import app, main

__all__ = ["app", "main"]
