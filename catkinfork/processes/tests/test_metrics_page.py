"""Consistency of ``docs/metrics.md`` with the metrics in the code."""

import random
import re
from pathlib import Path

from benchmarks.joint_setup import make_agent_settings, make_router_settings, make_view
from catkinfork.dispatch import Dispatcher
from catkinfork.processes import AgentProcess, RouterProcess
from catkinfork.protocol import Cancel, Sender

ROOT = Path(__file__).parents[3]
PAGE = ROOT / "docs" / "metrics.md"
MODULES = ("_metrics.py", "_router.py", "_agent.py")
ROW = r"^\| `(\w+)` \| (\w+) \| ([^|]*)\| (.+) \|$"


def list_metrics(process):
    """Return the labels and the help text of each metric of a process."""
    process.transport.note_traffic(Cancel(None), "sent", 100)
    process.log.n_events[101] = 1
    return {
        name: (set(labels), text) for name, text, labels, _ in process.list_metrics()
    }


def make_router():
    """Return a router that is the dispatcher of a pool."""
    process = RouterProcess(make_router_settings("127.0.0.1:7100", "tanga-port"))
    dispatcher = Dispatcher("ledger", Sender("127.0.0.1:7100", 1), random.Random(1))
    process.pool_dispatchers["ledger"] = dispatcher
    return process


def make_agent():
    """Return an agent that has served a workspace."""
    [server, *_] = make_view(1, {}).document.backend_servers
    process = AgentProcess(make_agent_settings(server))
    process.core.runner.meter.note_start("dealers")
    return process


def test_page_lists_every_metric():
    """Guards against a missing, obsolete or differing metric on the page."""
    router, agent = list_metrics(make_router()), list_metrics(make_agent())
    expected = {}
    for name, entry in (router | agent).items():
        role = "router" if name in router else "agent"
        expected[name] = ("both" if name in router and name in agent else role, *entry)
    listed = {
        name: (role, set(re.findall(r"`(\w+)`", labels)), text)
        for name, role, labels, text in re.findall(ROW, PAGE.read_text(), re.MULTILINE)
    }
    assert listed == expected
    sources = [(ROOT / "catkinfork/processes" / name).read_text() for name in MODULES]
    assert set(re.findall(r'"(catkinfork_\w+)"', "".join(sources))) == set(expected)
