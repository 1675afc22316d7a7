"""Commands on documents and keys: output, exit codes, colours and pipes."""

import subprocess
import sys
from hashlib import sha256
from pathlib import Path

import pytest
from typer.testing import CliRunner

from catkinfork.cli import build_app
from catkinfork.document.tests.samples import (
    change_document,
    encode_document,
    make_document,
)

ROOT = Path(__file__).parents[3]
RED = "\x1b[31m"


@pytest.fixture
def documents(tmp_path, monkeypatch):
    """Write documents to a temporary working directory."""
    monkeypatch.chdir(tmp_path)
    document = make_document()
    write_document("valid.json", document)
    write_document("trial.json", document | {"environment": "trial", "version": 20})
    change_document(document, ("version",), 13)
    change_document(document, ("data_centres", 0, "state"), "out")
    write_document("next.json", document)
    change_document(document, ("backend_servers", 1, "pool"), "none")
    change_document(document, ("workspaces", 0, "share"), -3)
    change_document(document, ("region",), ...)
    write_document("faults.json", document)
    (tmp_path / "broken.json").write_bytes(b"{")
    return tmp_path


def write_document(path, document):
    with open(path, "wb") as file:
        file.write(encode_document(document))


def invoke(*arguments, **options):
    return CliRunner().invoke(build_app(), arguments, **options)


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["check", "valid.json"], 0),
        (["check", "valid.json", "--environment", "production"], 0),
        (["check", "valid.json", "--environment", "staging"], 1),
        (["check", "faults.json"], 1),
        (["check", "broken.json"], 1),
        (["check", "missing.json"], 2),
        (["check", "."], 2),
        (["check"], 2),
        (["check", "valid.json", "--unknown"], 2),
        (["diff", "valid.json", "valid.json"], 0),
        (["diff", "valid.json", "next.json"], 0),
        (["diff", "next.json", "valid.json"], 1),
        (["diff", "trial.json", "valid.json"], 0),
        (["diff", "valid.json", "faults.json"], 1),
        (["diff", "valid.json", "missing.json"], 2),
        (["diff", "-", "-"], 2),
        (["diff", "valid.json"], 2),
    ],
)
def test_output_and_exit_code(documents, snapshot, arguments, code):
    """Guards against a fault without a message or without a failing exit code."""
    result = invoke(*arguments)
    assert result.exit_code == code
    if "Usage" not in result.stderr:
        assert result.stdout + result.stderr == snapshot


@pytest.mark.parametrize(
    ("key", "code"),
    [
        (b"sk-1", 0),
        (b"sk-1\n", 0),
        (b"sk-1\r\n", 0),
        (b"", 1),
        (b"\n", 1),
        (b"sk 1", 1),
        (b"sk-1\nsk-2\n", 1),
        (b"sk-\xc3\xa9", 1),
        (b"k" * 4097, 1),
    ],
)
def test_digest_of_a_key(key, code):
    """Guards against printing the digest of a key that no caller can send."""
    result = invoke("digest", input=key)
    assert result.exit_code == code
    digest = sha256(b"sk-1").hexdigest()
    assert result.stdout == (f"{digest}\n" if code == 0 else "")
    assert "sk" not in result.stderr


@pytest.mark.parametrize("command", ["check", "diff", "digest"])
def test_help_lists_exit_codes(command):
    """Guards against exit codes that are not documented in the help text."""
    result = invoke(command, "--help")
    assert result.exit_code == 0
    assert "Exit codes: 0" in " ".join(result.stdout.split())


def test_colour_only_on_a_terminal_without_no_color(documents):
    """Guards against escape sequences in files and against ignoring ``NO_COLOR``."""
    assert RED not in invoke("check", "faults.json").stdout
    assert RED in invoke("check", "faults.json", color=True).stdout
    result = invoke("check", "faults.json", color=True, env={"NO_COLOR": "1"})
    assert RED not in result.stdout


def test_program_reads_and_writes_pipes(documents):
    """Guards against an entry point that cannot read from a pipe, or that prints a
    traceback if its output pipe is closed.
    """
    command = [sys.executable, "-c", "from catkinfork.cli import main; main()"]
    path = documents / "faults.json"
    done = subprocess.run(
        [*command, "check", "-"], input=path.read_bytes(), capture_output=True, cwd=ROOT
    )
    assert done.returncode == 1
    assert len(done.stdout.splitlines()) == 3
    with subprocess.Popen(
        [*command, "check", "faults.json"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    ) as process:
        process.stdout.close()
        assert b"Traceback" not in process.stderr.read()
