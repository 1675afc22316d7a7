"""Soak test: long randomised runs of the decision objects from a given seed.

``python -m benchmarks.soak --seconds 60 --seed 1`` runs the state machines of the
packages and the simulated fleet in turn until the time is over, each round with the
next seed. A failure ends the run and prints the seed that reproduces it.
"""

import argparse
import importlib
import inspect
import pkgutil
import sys
import time
from collections import Counter

import hypothesis
from hypothesis import HealthCheck, Phase
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from benchmarks.joint_run import JointRun

PACKAGES = ("routing", "execution", "dispatch", "fairness")
# Rounds are small, so that a short run reaches every state machine.
N_EXAMPLES_PER_ROUND = 20
N_STEPS = 100
JOINT_RUN_S = 20.0


def find_machines():
    """Return a mapping from name to state machine in the tests of the packages."""
    machines = {}
    for package in PACKAGES:
        name = f"catkinfork.{package}.tests"
        tests = importlib.import_module(name)
        for module in pkgutil.iter_modules(tests.__path__, name + "."):
            members = vars(importlib.import_module(module.name)).values()
            for member in members:
                if is_state_machine(member, module.name):
                    machines[f"{package}.{member.__name__}"] = member
    return machines


def is_state_machine(member, module):
    """Return whether a member is a state machine that the module itself defines."""
    if not inspect.isclass(member) or member.__module__ != module:
        return False
    return issubclass(member, RuleBasedStateMachine)


def run_state_machine(machine, seed):
    """Run one round of a state machine.

    :param machine: subclass of ``RuleBasedStateMachine``.
    :param seed: seed of the round.
    """
    seeded = hypothesis.seed(seed)(type(machine.__name__, (machine,), {}))
    settings = hypothesis.settings(
        max_examples=N_EXAMPLES_PER_ROUND,
        stateful_step_count=N_STEPS,
        deadline=None,
        database=None,
        # No shrinking: it takes minutes, and the seed reproduces the failure anyway.
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(seeded, settings=settings)


def run_simulated_fleet(seed):
    """Run one round of the simulated fleet."""
    JointRun(seed).run(JOINT_RUN_S)


def run_soak(first_seed, duration_s):
    """Run the simulated fleet and all state machines in turn until the time is over.

    :param first_seed: seed of the first round.
    :param duration_s: seconds after which no further round starts.
    :returns: number of completed rounds by name.
    """
    runners = {"fleet": run_simulated_fleet}
    for name, machine in find_machines().items():
        runners[name] = lambda seed, machine=machine: run_state_machine(machine, seed)
    counts = Counter(dict.fromkeys(runners, 0))
    end = time.monotonic() + duration_s
    seed = first_seed
    while time.monotonic() < end:
        for name, run in runners.items():
            if time.monotonic() >= end:
                break
            run_part(name, run, seed)
            counts[name] += 1
        seed += 1
    return counts


def run_part(name, run, seed):
    """Run one round and print its seed if it fails."""
    try:
        run(seed)
    except Exception:
        command = f"make soak-decisions SECONDS=60 SEED={seed}"
        print(f"{name} failed; reproduce with: {command}", file=sys.stderr)
        raise


def main():
    """Run the soak test with the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(f"seed {options.seed}, {options.seconds:g} s", flush=True)
    covered_packages = {name.split(".")[0] for name in find_machines()}
    for package in sorted(set(PACKAGES) - covered_packages):
        print(f"{package}: has no state machine", flush=True)
    for name, count in run_soak(options.seed, options.seconds).items():
        print(f"{name}: {count} rounds")


if __name__ == "__main__":
    main()
