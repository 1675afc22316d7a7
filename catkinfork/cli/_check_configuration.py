"""The ``check-configuration`` command."""

from collections import Counter
from enum import StrEnum
from typing import Annotated, Any, NamedTuple

import msgspec
import typer

from catkinfork.cli._exit_codes import EXIT_FAULTS, EXIT_OK, EXIT_USAGE
from catkinfork.cli._output import (
    STANDARD_INPUT,
    describe_read_error,
    print_line,
    read_bytes,
)
from catkinfork.platform import check_document
from catkinfork.settings import ForwarderSettings, read_settings
from catkinfork.validation import (
    ERROR,
    MAX_CONTENT_BYTES,
    NOTE,
    WARNING,
    ConfigurationView,
    UnusableError,
    check_configuration,
    count_noun,
)

_COLOURS = {ERROR: "red", WARNING: "yellow", NOTE: None}
_STATUSES = {EXIT_OK: "clean", EXIT_FAULTS: "findings", EXIT_USAGE: "unusable"}


class OutputFormat(StrEnum):
    """Format of the output."""

    TEXT = "text"
    JSON = "json"


class Report(NamedTuple):
    """Result of a check.

    :param file: path of the checked file.
    :param version: version of the configuration, or None if it cannot be decoded.
    :param findings: list of :class:`Finding`.
    :param unusable: lines that say why an input cannot be used, each with its path.
    """

    file: str
    version: int | None
    findings: list[Any]
    unusable: list[str]

    @property
    def exit_code(self):
        """Return the exit code; notes on differences are no fault."""
        if self.unusable:
            return EXIT_USAGE
        is_clean = all(finding.severity == NOTE for finding in self.findings)
        return EXIT_OK if is_clean else EXIT_FAULTS


FileArgument = Annotated[
    str, typer.Argument(metavar="FILE", help="Document, or - for standard input.")
]
SettingsOption = Annotated[
    str, typer.Option(metavar="INI", help="Settings of a forwarder.")
]
InForceOption = Annotated[
    str, typer.Option(metavar="FILE", help="Document that is in force.")
]
FormatOption = Annotated[
    OutputFormat, typer.Option("--format", help="Format of the output.")
]


def check_file(
    file: FileArgument,
    settings: SettingsOption = "",
    in_force: InForceOption = "",
    output_format: FormatOption = OutputFormat.TEXT,
):
    """Check a configuration of the forwarders before it is published.

    Exit codes: 0 if it is clean, 1 if there are errors or warnings, 2 for wrong usage
    or an input that cannot be used. Notes on differences do not change the exit code.
    """
    if file == in_force == STANDARD_INPUT:
        print_line("only one document can come from standard input", "red", err=True)
        raise typer.Exit(EXIT_USAGE)
    report = build_report(file, settings, in_force)
    if output_format == OutputFormat.JSON:
        print_json(report)
    else:
        print_text(report)
    raise typer.Exit(report.exit_code)


def build_report(file, settings_path, in_force_path):
    """Check a file and return the :class:`Report`.

    :param settings_path: path of the settings, or empty.
    :param in_force_path: path of the document in force, or empty.
    """
    unusable = []
    settings = load_settings(settings_path, unusable) if settings_path else None
    in_force = load_in_force(in_force_path, unusable) if in_force_path else None
    checked = load_document(file, unusable)
    if checked is None:
        return Report(file, None, [], unusable)
    configuration = checked.configuration
    if configuration is None:
        return Report(file, None, checked.findings, unusable)
    findings = checked.findings + check_configuration(
        configuration, checked.paths, settings, in_force
    )
    return Report(file, configuration.version, findings, unusable)


def load_document(path, unusable):
    """Read and check a document.

    :param unusable: list to which a line is appended if it cannot be checked.
    :returns: :class:`CheckedDocument`, or None.
    """
    try:
        return check_document(read_bytes(path, MAX_CONTENT_BYTES))
    except OSError as error:
        unusable.append(describe_read_error(path, error))
    except UnusableError as error:
        unusable.append(f"{path}: {error.detail}")
    return None


def load_in_force(path, unusable):
    """Return the :class:`ConfigurationView` of a file, or None if it cannot be used."""
    checked = load_document(path, unusable)
    if checked is None:
        return None
    if checked.configuration is None:
        errors = [one for one in checked.findings if one.severity == ERROR]
        unusable.append(f"{path}: {errors[0].path}: {errors[0].text}")
        return None
    return ConfigurationView(checked.configuration, checked.paths)


def load_settings(path, unusable):
    """Return the settings of a file, or None if they have faults."""
    result = read_settings(path, ForwarderSettings)
    if result.is_ok():
        return result.ok_value
    unusable += [f"{path}: {fault.describe()}" for fault in result.err_value]
    return None


def print_text(report):
    """Print one line for each finding, and a summary."""
    for finding in report.findings:
        line = f"{report.file}: {finding.describe()}"
        print_line(line, _COLOURS[finding.severity])
    for line in report.unusable:
        print_line(line, "red", err=True)
    if report.exit_code == EXIT_OK:
        print_line(f"{report.file}: clean; {describe_counts(report)}", "green")
    elif report.exit_code == EXIT_FAULTS:
        print_line(f"{report.file}: {describe_counts(report)}", "red", err=True)


def describe_counts(report):
    """Return the version and the number of findings of each severity."""
    counts = Counter(finding.severity for finding in report.findings)
    parts = [f"version {report.version}"] if report.version is not None else []
    parts += [count_noun(counts[severity], severity) for severity in _COLOURS]
    return ", ".join(parts)


def print_json(report):
    """Print the report as one JSON object."""
    content = {
        "file": report.file,
        "status": _STATUSES[report.exit_code],
        "version": report.version,
        "unusable": report.unusable,
        "findings": [finding._asdict() for finding in report.findings],
    }
    print_line(msgspec.json.format(msgspec.json.encode(content), indent=2).decode())
