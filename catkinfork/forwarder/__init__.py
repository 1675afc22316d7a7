"""The forwarder process."""

from catkinfork.forwarder._process import ForwarderProcess

__all__ = ["ForwarderProcess"]
