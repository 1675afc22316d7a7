"""Long randomised runs of the decision objects with a given seed.

``python -m benchmarks.soak --seconds 60 --seed 1`` runs the state machines of the
packages and the simulated fleet in turn until the time is over, each round with the
next seed. A failure ends the run with the seed that repeats it.
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
# Small rounds, so that all machines have their share of a short run.
N_EXAMPLES = 20
N_STEPS = 100
JOINT_S = 20.0


def find_machines():
    """Return the state machines in the tests of the packages, by name."""
    machines = {}
    for package in PACKAGES:
        name = f"catkinfork.{package}.tests"
        tests = importlib.import_module(name)
        for module in pkgutil.iter_modules(tests.__path__, name + "."):
            members = vars(importlib.import_module(module.name)).values()
            for member in members:
                if is_machine(member, module.name):
                    machines[f"{package}.{member.__name__}"] = member
    return machines


def is_machine(member, module):
    """Return whether a member of a module is a state machine defined there."""
    if not inspect.isclass(member) or member.__module__ != module:
        return False
    return issubclass(member, RuleBasedStateMachine)


def run_machine(machine, seed):
    """Run one round of a state machine.

    :param machine: subclass of ``RuleBasedStateMachine``.
    :param seed: seed of the round.
    """
    seeded = hypothesis.seed(seed)(type(machine.__name__, (machine,), {}))
    settings = hypothesis.settings(
        max_examples=N_EXAMPLES,
        stateful_step_count=N_STEPS,
        deadline=None,
        database=None,
        # Shrinking a failure takes minutes; the seed repeats it as it is.
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(seeded, settings=settings)


def run_joint(seed):
    """Run the simulated fleet once."""
    JointRun(seed).run(JOINT_S)


def run_soak(first_seed, duration_s):
    """Run all parts in turn until the time is over.

    :param first_seed: seed of the first round.
    :param duration_s: seconds after which no further part starts.
    :returns: number of rounds of each part.
    """
    parts = {"fleet": run_joint}
    for name, machine in find_machines().items():
        parts[name] = lambda seed, machine=machine: run_machine(machine, seed)
    counts = Counter(dict.fromkeys(parts, 0))
    end = time.monotonic() + duration_s
    seed = first_seed
    while time.monotonic() < end:
        for name, run in parts.items():
            if time.monotonic() >= end:
                break
            run_part(name, run, seed)
            counts[name] += 1
        seed += 1
    return counts


def run_part(name, run, seed):
    """Run one part and name its seed if it fails."""
    try:
        run(seed)
    except Exception:
        print(f"{name} failed with seed {seed}", file=sys.stderr)
        print(f"repeat: make soak SECONDS=60 SEED={seed}", file=sys.stderr)
        raise


def main():
    """Read the options and run."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(f"seed {options.seed}, {options.seconds:g} s", flush=True)
    named = {name.split(".")[0] for name in find_machines()}
    for package in sorted(set(PACKAGES) - named):
        print(f"{package}: has no state machine", flush=True)
    for name, count in run_soak(options.seed, options.seconds).items():
        print(f"{name}: {count} rounds")


if __name__ == "__main__":
    main()
