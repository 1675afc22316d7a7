"""The process that forwards callers' requests on the new machines."""

from catkinfork.forwarder._process import ForwarderProcess

__all__ = ["ForwarderProcess"]
