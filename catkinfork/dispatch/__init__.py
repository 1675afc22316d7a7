"""Fair scheduling: a pool's dispatcher assigns free places to waiting requests."""

from catkinfork.dispatch._dispatcher import Dispatcher
from catkinfork.dispatch._events import EVENTS

__all__ = ["EVENTS", "Dispatcher"]
