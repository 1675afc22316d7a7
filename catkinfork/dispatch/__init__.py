"""Dispatcher: matches waiting requests with free places in fair order."""

from catkinfork.dispatch._dispatcher import Dispatcher
from catkinfork.dispatch._events import EVENTS

__all__ = ["EVENTS", "Dispatcher"]
