"""Configuration state, and clients of the configuration service and host list."""

from catkinfork.configuration._errors import (
    SourceError,
    SourceTimeout,
    SourceUnreachable,
    UnexpectedResponse,
    ValueNotFound,
)
from catkinfork.configuration._events import EVENTS
from catkinfork.configuration._hosts import (
    AGENT,
    LEAVING,
    LIVE,
    ROUTER,
    BaseHostList,
    Host,
    HttpHostList,
)
from catkinfork.configuration._source import (
    BaseConfigurationSource,
    HttpConfigurationSource,
    Value,
)
from catkinfork.configuration._state import AdoptDocument, ConfigurationState

__all__ = [
    "AGENT",
    "EVENTS",
    "LEAVING",
    "LIVE",
    "ROUTER",
    "AdoptDocument",
    "BaseConfigurationSource",
    "BaseHostList",
    "ConfigurationState",
    "Host",
    "HttpConfigurationSource",
    "HttpHostList",
    "ValueNotFound",
    "SourceError",
    "SourceTimeout",
    "SourceUnreachable",
    "UnexpectedResponse",
    "Value",
]
