"""Plans of disruptions, made from a seed before a run."""

from random import Random
from typing import NamedTuple

# Calm before the first disruption and after the last one begins.
CALM_S = 4.0
MEAN_GAP_S = 1.1
P_SERIES = 0.3

SECOND_SIGNALS = ("SIGTERM", "SIGINT", "SIGHUP")
TROUBLES = ("silent", "lost", "surplus", "busy", "truncated")
LINKS = ("caller", "store", "server")
LINK_FAULTS = ("delay", "reset", "silence_in", "silence_out", "cut")

# Shortest and longest durations of actions without variants.
DURATIONS_S = {
    "crash_server": (0.5, 3.0),
    "restore_store": (1.0, 4.0),
    "announce_leaving": (1.0, 4.0),
    "cut_watches": (0.2, 3.0),
    "withdraw_server": (0.2, 2.0),
}

# Weights of the actions of each kind of run.
PLANNED = {
    "stop": 4,
    "reload": 3,
    "configure": 3,
    "drain_server": 2,
    "replace_host": 1,
}
HARD = PLANNED | {
    "kill_host": 3,
    "pause_host": 3,
    "crash_server": 3,
    "disturb_server": 4,
    "silence_store": 2,
    "restore_store": 1,
}
NOTICES = {
    "stop": 1,
    "reload": 1,
    "configure": 1,
    "drain_server": 1,
    "announce_leaving": 3,
    "limit_server": 5,
    "turn_away": 5,
}
WATCHES = {
    "stop": 1,
    "configure": 1,
    "drain_server": 1,
    "withdraw_server": 8,
    "cut_watches": 2,
}
LINK = PLANNED | {"disturb_link": 26}
WEIGHTS = {
    "planned": PLANNED,
    "hard": HARD,
    "links": LINK,
    "crashing": PLANNED,
    "bursts": PLANNED,
    "notices": NOTICES,
    "watches": WATCHES,
}
# Actions that may come to several targets in turn.
SERIAL = {
    "stop",
    "reload",
    "kill_host",
    "pause_host",
    "drain_server",
    "crash_server",
    "disturb_link",
    "limit_server",
}


class Step(NamedTuple):
    """A disruption.

    :param at_s: seconds after the start of the run.
    :param target: number of a host or server, taken modulo those that there are.
    :param duration_s: how long it lasts, or when the second signal follows.
    :param detail: variant of the action.
    """

    at_s: float
    action: str
    target: int
    duration_s: float
    detail: str

    def describe(self):
        """Return a line of text."""
        return (
            f"{self.at_s:7.2f} {self.action} {self.target} "
            f"{self.duration_s:.2f} s {self.detail}".rstrip()
        )


def make_plan(kind, seed, n_seconds, n_hosts):
    """Return the steps of a run in order of time."""
    rng = Random(f"{kind}-{seed}")
    weights = WEIGHTS[kind]
    steps = []
    at_s = CALM_S + rng.uniform(0.0, 0.5)
    while at_s < n_seconds - CALM_S:
        (action,) = rng.choices(list(weights), list(weights.values()))
        n_targets = 1
        if action in SERIAL and rng.random() < P_SERIES:
            n_targets = n_hosts
        first = rng.randrange(1000)
        gap_s = rng.uniform(0.05, 1.5)
        for number in range(n_targets):
            begin_s = at_s + number * gap_s
            if begin_s < n_seconds - CALM_S:
                steps.append(make_step(rng, begin_s, action, first + number))
        at_s += rng.expovariate(1.0 / MEAN_GAP_S)
    return sorted(steps)


def make_step(rng, at_s, action, target):
    """Return a step with a random duration and variant."""
    duration_s, detail = 0.0, ""
    if action in ("stop", "replace_host"):
        if rng.random() < 0.3:
            detail = rng.choice(SECOND_SIGNALS)
            duration_s = rng.choice([rng.uniform(0.01, 0.6), rng.uniform(0.0, 6.0)])
    elif action == "pause_host":
        duration_s = rng.choice([rng.uniform(0.2, 1.0), rng.uniform(1.0, 4.5)])
    elif action == "disturb_server":
        detail = rng.choice(TROUBLES)
        duration_s = rng.uniform(0.3, 3.0)
    elif action == "drain_server":
        detail = rng.choice(["announced", "announced", "unannounced"])
        duration_s = rng.uniform(0.2, 3.0)
    elif action == "silence_store":
        detail = rng.choice(["all", "one"])
        duration_s = rng.uniform(0.5, 6.0)
    elif action in DURATIONS_S:
        duration_s = rng.uniform(*DURATIONS_S[action])
    elif action == "disturb_link":
        detail = f"{rng.choice(LINKS)} {rng.choice(LINK_FAULTS)}"
        duration_s = rng.uniform(0.2, 4.0)
    elif action in ("limit_server", "turn_away"):
        duration_s, detail = draw_notice(rng, action)
    return Step(at_s, action, target, duration_s, detail)


def draw_notice(rng, action):
    """Return for how long a server asks for something, and the figures it names."""
    if action == "turn_away":
        return rng.uniform(0.1, 1.5), f"{rng.uniform(1.5, 4.0):.1f}"
    limits = [rng.uniform(1.0, 6.0) for _ in range(rng.randrange(1, 4))]
    return rng.uniform(6.0, 16.0), " ".join(f"{limit:.1f}" for limit in limits)
