"""Reading of a settings file; every fault is reported, not only the first."""

import configparser
from pathlib import Path
from typing import NamedTuple

from result import Err, Ok

from catkinfork.settings._ranges import RANGES


class SettingsFault(NamedTuple):
    """One fault of a settings file.

    :param section: section, empty for the whole file.
    :param key: key, empty for the whole section.
    :param value: value as read, empty if it is missing.
    :param allowed: what is allowed.
    """

    section: str
    key: str
    value: str
    allowed: str

    def describe(self):
        """Return the fault as one line."""
        place = f"[{self.section}] {self.key}".strip() if self.section else "file"
        return f"{place}: {self.value!r} is not allowed, expected {self.allowed}"


def read_settings(path, settings_type):
    """Read and check a settings file.

    :param path: path of the INI file.
    :param settings_type: ``RouterSettings`` or ``AgentSettings``.
    :returns: ``Ok(settings)`` or ``Err`` with a list of :class:`SettingsFault`.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        detail = str(error).replace("\n", " ")
        return Err([SettingsFault("", "", str(path), f"a readable INI file: {detail}")])
    return convert_settings(parser, settings_type)


def convert_settings(parser, settings_type):
    """Convert a parsed INI file to settings.

    :param parser: ``ConfigParser`` that has read the file.
    :param settings_type: ``RouterSettings`` or ``AgentSettings``.
    :returns: ``Ok(settings)`` or ``Err`` with a list of :class:`SettingsFault`.
    """
    sections = settings_type.__annotations__
    faults = find_unknown(parser, sections)
    values = {}
    for name, section_type in sections.items():
        options = parser[name] if parser.has_section(name) else {}
        values[name] = convert_section(name, section_type, options, faults)
    if faults:
        return Err(faults)
    return Ok(settings_type(**values))


def find_unknown(parser, sections):
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


def convert_section(name, section_type, options, faults):
    """Convert one section; faults are appended to ``faults``.

    :returns: the section's ``NamedTuple``, or None if it has a fault.
    """
    values = {}
    n_faults = len(faults)
    for key, value_type in section_type.__annotations__.items():
        allowed = RANGES[(name, key)]
        if key not in options:
            if key not in section_type._field_defaults:
                faults.append(SettingsFault(name, key, "", allowed.describe()))
            continue
        text = options[key].strip()
        value = convert_value(text, value_type)
        if value is None or not allowed.accepts(value):
            faults.append(SettingsFault(name, key, text, allowed.describe()))
        else:
            values[key] = value
    return section_type(**values) if len(faults) == n_faults else None


def convert_value(text, value_type):
    """Convert the text of a value, or return None if it has the wrong form."""
    if value_type in (int, float):
        try:
            return value_type(text)
        except ValueError:
            return None
    if value_type is str:
        return text
    return tuple(part.strip() for part in text.split(",") if part.strip())
