"""The document in force, and clients of the platform's services."""

from catkinfork.configuration._errors import (
    NoSuchValue,
    SourceError,
    SourceSilent,
    SourceUnreachable,
    UnexpectedAnswer,
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
    "NoSuchValue",
    "SourceError",
    "SourceSilent",
    "SourceUnreachable",
    "UnexpectedAnswer",
    "Value",
]
