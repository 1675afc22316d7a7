"""Parsing of settings files; all faults are reported, not only the first."""

import configparser
from pathlib import Path
from typing import NamedTuple

from result import Err, Ok

from catkinfork.settings._constraints import CONSTRAINTS


class SettingsFault(NamedTuple):
    """A fault in a settings file.

    :param section: name of the section, empty if the whole file is at fault.
    :param key: name of the key, empty if the whole section is at fault.
    :param value: text of the value as read, empty if it is missing.
    :param allowed: description of the allowed values.
    """

    section: str
    key: str
    value: str
    allowed: str

    def describe(self):
        """Return a one-line description of the fault."""
        location = f"[{self.section}] {self.key}".strip() if self.section else "file"
        return f"{location}: {self.value!r} is not allowed, expected {self.allowed}"


def read_settings(path, settings_type):
    """Read, parse and check a settings file.

    :param path: path of the INI file.
    :param settings_type: ``RouterSettings``, ``AgentSettings`` or
        ``ForwarderSettings``.
    :returns: ``Ok(settings)`` or ``Err`` with a list of :class:`SettingsFault`.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        detail = str(error).replace("\n", " ")
        return Err([SettingsFault("", "", str(path), f"a readable INI file: {detail}")])
    return parse_settings(parser, settings_type)


def parse_settings(parser, settings_type):
    """Build settings from the sections of an INI file.

    :param parser: ``ConfigParser`` that has read the file.
    :param settings_type: ``RouterSettings``, ``AgentSettings`` or
        ``ForwarderSettings``.
    :returns: ``Ok(settings)`` or ``Err`` with a list of :class:`SettingsFault`.
    """
    sections = settings_type.__annotations__
    faults = check_names(parser, sections)
    values = {}
    for name, section_type in sections.items():
        options = parser[name] if parser.has_section(name) else {}
        values[name] = parse_section(name, section_type, options, faults)
    if faults:
        return Err(faults)
    return Ok(settings_type(**values))


def check_names(parser, sections):
    """Return a fault for each unknown section and key."""
    faults = []
    for name in parser.sections():
        if name not in sections:
            allowed = "one of " + ", ".join(sections)
            faults.append(SettingsFault(name, "", name, allowed))
            continue
        keys = sections[name].__annotations__
        for key in parser[name]:
            if key not in keys:
                allowed = "one of " + ", ".join(keys)
                faults.append(SettingsFault(name, key, parser[name][key], allowed))
    return faults


def parse_section(name, section_type, options, faults):
    """Parse and check one section.

    :param name: name of the section.
    :param section_type: ``NamedTuple`` type of the section.
    :param options: maps keys to the texts of their values.
    :param faults: list to which faults are appended.

    :returns: instance of ``section_type``, or None if the section has a fault.
    """
    values = {}
    n_faults = len(faults)
    for key, value_type in section_type.__annotations__.items():
        constraint = CONSTRAINTS[(name, key)]
        text = options[key].strip() if key in options else ""
        if not text and key in section_type._field_defaults:
            continue
        if key not in options:
            faults.append(SettingsFault(name, key, "", constraint.describe()))
            continue
        value = parse_value(text, value_type)
        if value is None or not constraint.accepts(value):
            faults.append(SettingsFault(name, key, text, constraint.describe()))
        else:
            values[key] = value
    return section_type(**values) if len(faults) == n_faults else None


def parse_value(text, value_type):
    """Return the value that a text stands for, or None if it is malformed."""
    if value_type in (int, float):
        try:
            return value_type(text)
        except ValueError:
            return None
    if value_type is str:
        return text
    return tuple(part.strip() for part in text.split(",") if part.strip())
