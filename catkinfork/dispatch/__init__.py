"""Dispatcher: matches waiting requests with free places in fair order."""

from catkinfork.dispatch._dispatcher import Dispatcher

__all__ = ["Dispatcher"]
