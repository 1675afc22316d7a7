"""Reference of the settings as Markdown, made from the settings types."""

import re
import sys
from inspect import cleandoc

from catkinfork.settings._ranges import RANGES, Number
from catkinfork.settings._types import (
    AgentSettings,
    ForwarderSettings,
    RouterSettings,
)

# Role that reads each kind of settings.
ROLES = (
    ("router", RouterSettings),
    ("agent", AgentSettings),
    ("forwarder", ForwarderSettings),
)

_HEAD = """\
# Settings

A process reads its settings from an INI file: `catkinfork ROLE --settings FILE`,
where the role is `router`, `agent` or `forwarder`. Unknown, missing and wrong settings
are all listed at the start, which then fails with exit code 2. Names that end in `_s`
are seconds, those in `_bytes` bytes. A setting without a default is required.

This page is made by `python -m catkinfork.settings._reference > docs/settings.md`.
"""
_PARAM = re.compile(r":param (\w+): (.*?)(?=\n:param |\Z)", re.DOTALL)


def format_reference():
    """Return the reference of all settings as Markdown."""
    sections = {}
    for _, settings_type in ROLES:
        sections |= settings_type.__annotations__
    return "\n".join([_HEAD, *map(format_section, sections, sections.values())])


def format_section(name, section_type):
    """Return one section of the INI file as a heading and a table.

    :param name: name of the section.
    :param section_type: ``NamedTuple`` type of the section.
    """
    users = [
        role for role, settings_type in ROLES if name in settings_type.__annotations__
    ]
    texts = read_descriptions(section_type)
    lines = [f"## [{name}]", "", f"Read by: {', '.join(users)}.", ""]
    lines += ["| setting | default | allowed | meaning |", "|---|---|---|---|"]
    for key in section_type._fields:
        allowed = format_allowed(RANGES[(name, key)])
        default = format_default(section_type, key)
        lines.append(f"| `{key}` | {default} | {allowed} | {texts[key]} |")
    return "\n".join([*lines, ""])


def read_descriptions(section_type):
    """Return the description of each setting from the type's doc comment."""
    text = cleandoc(section_type.__doc__)
    text = text.replace("``", "`")
    return {key: " ".join(words.split()) for key, words in _PARAM.findall(text)}


def format_allowed(allowed):
    """Return the allowed values in words; numbers are not rounded."""
    if isinstance(allowed, Number):
        return f"{allowed.minimum} to {allowed.maximum}"
    return allowed.describe()


def format_default(section_type, key):
    """Return the default of a setting as it stands in an INI file."""
    if key not in section_type._field_defaults:
        return "required"
    value = section_type._field_defaults[key]
    if isinstance(value, tuple):
        return ", ".join(value) or "none"
    return f"`{value}`"


if __name__ == "__main__":
    sys.stdout.write(format_reference())
