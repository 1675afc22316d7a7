"""Checks of a configuration before it is published; pure functions without I/O."""

from catkinfork.validation._checks import check_configuration
from catkinfork.validation._differences import ConfigurationView
from catkinfork.validation._findings import (
    ERROR,
    NOTE,
    WARNING,
    BasePaths,
    Finding,
    count_noun,
    quote,
)
from catkinfork.validation._json import (
    MAX_CONTENT_BYTES,
    ROOT_PATH,
    UnusableError,
    check_json,
    extend_path,
    quote_name,
)

__all__ = [
    "ERROR",
    "MAX_CONTENT_BYTES",
    "NOTE",
    "ROOT_PATH",
    "WARNING",
    "BasePaths",
    "Finding",
    "ConfigurationView",
    "UnusableError",
    "check_configuration",
    "check_json",
    "count_noun",
    "extend_path",
    "quote",
    "quote_name",
]
