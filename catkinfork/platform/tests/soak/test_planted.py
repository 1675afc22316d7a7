"""Faults that are planted to try the checks of a soak."""

import ast

import pytest

from catkinfork.platform.tests.soak.checks import Violation
from catkinfork.platform.tests.soak.planted import FAULTS, describe_result, plant
from catkinfork.platform.tests.soak.settings import KINDS


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_fault_changes_the_forwarder(fault, tmp_path):
    """Guards against a fault that a later change of the code has made void."""
    plant(fault, tmp_path)
    assert fault.kind in KINDS
    ast.parse((tmp_path / "catkinfork" / f"{fault.path}.py").read_text())
    assert (tmp_path / "deploy" / "forwarder.ini.template").exists()


def test_fault_that_has_no_place_is_an_error(tmp_path):
    """Guards against a sound copy that is taken for a faulty one."""
    with pytest.raises(ValueError, match="does not hold once"):
        plant(FAULTS[0]._replace(sound="no such text"), tmp_path)


def test_only_the_checks_of_a_fault_count():
    """Guards against a fault that counts as seen by the break of another promise."""
    fault = FAULTS[0]
    other = Violation("EXIT", 3.0, "", (), "")
    assert not describe_result(fault, [other])[0]
    is_seen, line = describe_result(fault, [other, other._replace(rule="LOST", at=9.0)])
    assert is_seen
    assert "LOST after 9.0 s" in line
