"""Command-line interface of catkinfork."""

from catkinfork.cli._main import build_app, main

__all__ = ["build_app", "main"]
