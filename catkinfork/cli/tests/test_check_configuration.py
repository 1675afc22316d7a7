"""The ``check-configuration`` command: output, formats, exit codes and pipes."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from typer.testing import CliRunner

from catkinfork.cli import build_app
from catkinfork.platform.tests.samples import (
    JsonText,
    change_document,
    encode_document,
    make_document,
)
from catkinfork.platform.tests.standins import SETTINGS

ROOT = Path(__file__).parents[3]
PAGE = ROOT / "docs" / "runbook.md"
COMMAND = "check-configuration"


@pytest.fixture
def files(tmp_path, monkeypatch):
    """Write documents and settings to a temporary working directory."""
    monkeypatch.chdir(tmp_path)
    document = make_document()
    write_document("clean.json", document)
    change_document(document, ("version",), 13)
    change_document(document, ("routes", 1, "service"), "trial")
    change_document(document, ("routes", 1, "timeout_ms"), 500)
    change_document(document, ("routes", 0, "resumable"), False)
    change_document(document, ("services", 2), {"name": "orders"})
    document["routes"].append(document["routes"][1] | {"service": "orders"})
    change_document(document, ("tenants", 0, "api_keys"), [])
    write_document("next.json", document)
    document = make_document()
    change_document(document, ("routes", 0, "timeout_ms"), -1)
    change_document(document, ("routes", 1, "kind"), "other")
    change_document(document, ("limits", "body_bytes"), 5)
    write_document("rejected.json", document)
    document = make_document()
    change_document(document, ("limits", "idle_timeout_ms"), 2000)
    write_document("same_version.json", document)
    write_document("nested.json", {"version": JsonText("[" * 99 + "]" * 99)})
    Path("bytes.json").write_bytes(b'{"version": "\xff"}')
    Path("broken.json").write_bytes(b"{")
    Path("large.json").write_bytes(b" " * (10 * 1024 * 1024 + 1))
    write_settings("settings.ini")
    write_settings("no_retries.ini", repeat_ratio=0, n_repeat_slack=0)
    write_settings("faulty.ini", repeat_ratio="many")
    return tmp_path


def write_document(path, document):
    Path(path).write_bytes(encode_document(document))


def write_settings(path, **changes):
    """Write the settings of a forwarder with changed values."""
    text = SETTINGS.format(
        name="edge-1",
        ip="127.0.0.1",
        ports=[8080, 8081, 8082, 8083],
        grace_s=8,
        peer_port=7400,
        seeds="",
        store_port=8781,
    )
    lines = text.splitlines()
    for name, value in changes.items():
        lines = [
            f"{name} = {value}" if line.startswith(f"{name} ") else line
            for line in lines
        ]
    Path(path).write_text("\n".join(lines))


def invoke(*arguments, **options):
    return CliRunner().invoke(build_app([COMMAND]), [COMMAND, *arguments], **options)


CASES = [
    (["clean.json"], 0),
    (["clean.json", "--settings", "settings.ini"], 0),
    (["clean.json", "--settings", "no_retries.ini"], 1),
    (["clean.json", "--settings", "faulty.ini"], 2),
    (["clean.json", "--settings", "missing.ini"], 2),
    (["clean.json", "--in-force", "clean.json"], 0),
    (["next.json"], 1),
    (["next.json", "--in-force", "clean.json"], 1),
    (["clean.json", "--in-force", "next.json"], 1),
    (["same_version.json", "--in-force", "clean.json"], 1),
    (["clean.json", "--in-force", "rejected.json"], 2),
    (["rejected.json", "--in-force", "broken.json"], 2),
    (["rejected.json"], 1),
    (["broken.json"], 2),
    (["bytes.json"], 2),
    (["nested.json"], 2),
    (["large.json"], 2),
    (["missing.json"], 2),
    (["."], 2),
]


@pytest.mark.parametrize(("arguments", "code"), CASES)
def test_output_and_exit_code(files, snapshot, arguments, code):
    """Guards against a finding without a line or without a failing exit code."""
    result = invoke(*arguments)
    assert result.exit_code == code
    assert result.stdout + result.stderr == snapshot


@pytest.mark.parametrize(("arguments", "code"), CASES)
def test_json_has_the_lines_of_the_text(files, arguments, code):
    """Guards against a script that sees other findings than a reader."""
    text = invoke(*arguments)
    result = invoke(*arguments, "--format", "json")
    assert result.exit_code == code
    report = json.loads(result.stdout)
    assert set(report) == {"file", "status", "version", "unusable", "findings"}
    assert report["status"] == ["clean", "findings", "unusable"][code]
    lines = [
        f"{report['file']}: {one['severity']}: {one['path']}: {one['text']}"
        for one in report["findings"]
    ]
    shown = [line for line in text.stdout.splitlines() if ": clean; " not in line]
    assert lines == shown
    if report["unusable"]:
        assert report["unusable"] == text.stderr.splitlines()
    assert result.stderr == ""


def test_notes_alone_are_clean(files):
    """Guards against a check that no document with an intended change passes."""
    document = make_document(version=13)
    change_document(document, ("tenants", 0, "api_keys"), ["other-key"])
    write_document("changed.json", document)
    result = invoke("changed.json", "--in-force", "clean.json")
    assert result.exit_code == 0
    assert result.stdout.count("note: ") == 2
    assert "key" in result.stdout
    assert "secret" not in result.stdout + result.stderr
    assert "other-key" not in result.stdout + result.stderr


@pytest.mark.parametrize(
    "arguments",
    [[], ["clean.json", "--format", "xml"], ["-", "--in-force", "-"], ["a", "b"]],
)
def test_wrong_usage(files, arguments):
    """Guards against wrong usage that looks like a result."""
    assert invoke(*arguments).exit_code == 2


def test_example_of_the_page_runs(monkeypatch):
    """Guards against an example in the runbook that prints something else."""
    monkeypatch.chdir(ROOT)
    block = PAGE.read_text().split("$ catkinfork check-configuration ")[1]
    command, *expected = block.split("\n```")[0].splitlines()
    result = invoke(*command.split())
    assert (result.stdout + result.stderr).splitlines() == expected


def test_help_lists_exit_codes():
    """Guards against exit codes that are not documented in the help text."""
    text = " ".join(invoke("--help").stdout.split())
    assert "Exit codes: 0 if it is clean, 1 if" in text


def test_program_reads_a_pipe_and_needs_no_role(files):
    """Guards against a command that imports the libraries of a role, or that cannot
    read from a pipe.
    """
    script = (
        "import sys; from catkinfork.cli import main\n"
        "try: main()\n"
        "finally: assert not {'httpx', 'pynng', 'hypercorn'} & set(sys.modules)"
    )
    done = subprocess.run(
        [sys.executable, "-c", script, COMMAND, "-"],
        input=Path("rejected.json").read_bytes(),
        capture_output=True,
    )
    assert done.returncode == 1, done.stderr
    assert len(done.stdout.splitlines()) == 3


def test_forwarder_does_not_import_the_checks():
    """Guards against a slower start of forwarders on small hosts."""
    script = (
        "import sys, catkinfork.forwarder, catkinfork.platform\n"
        "assert not [name for name in sys.modules if 'validation' in name]"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True)
    assert done.returncode == 0, done.stderr
