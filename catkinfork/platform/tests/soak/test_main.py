"""The command line of a soak."""

import pytest

from catkinfork.platform.tests.soak import __main__ as soak
from catkinfork.platform.tests.soak.settings import ROOT


@pytest.mark.parametrize(
    ("words", "text"),
    [
        (["--kind", "gentle"], "invalid choice: 'gentle'"),
        (["--seed", "one"], "argument --seed: invalid int value: 'one'"),
        (["--source", "/no/such/checkout"], "/no/such/checkout: no checkout"),
        (["--seconds", "nan"], "--seconds nan: at least 10"),
        (["--n-forwarders", "0"], "at least 1"),
        (["--stream-share", "1.5"], "between 0 and 1"),
        (["--n-clients", "1000000000"], "descriptors"),
        (["--speed", "9"], "unrecognized arguments: --speed 9"),
    ],
)
def test_bad_use_is_one_line_and_code_2(words, text, capsys, monkeypatch):
    """Guards against a run that fails late, or is taken for a broken promise."""
    limits = (4096, 4096)
    monkeypatch.setattr(soak.resource, "getrlimit", lambda _: limits)
    with pytest.raises(SystemExit) as raised:
        soak.read_arguments(words)
    assert raised.value.code == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith("soak: ")
    assert text in line


def test_defaults_are_possible():
    """Guards against a check that refuses a common run."""
    arguments = soak.read_arguments(["--source", str(ROOT)])
    assert soak.find_problem(arguments) == ""
