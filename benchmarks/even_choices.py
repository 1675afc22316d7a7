"""Choices among engines that the load measurements compare."""

from functools import partial
from math import inf

from catkinfork.balancing._hashes import hash_name
from catkinfork.balancing._models import MAX_PENDING_TOKENS
from catkinfork.balancing._selection import LOWEST_COST, BaseSelection
from catkinfork.balancing._spread import SPREAD_CHOICE


class SampledCandidates(BaseSelection):
    """Takes the lowest cost among some sampled engines and those with the prefix.

    :param n_sampled: number of engines sampled for each job.
    """

    def __init__(self, n_sampled):
        self.n_sampled = n_sampled

    def select(self, candidates, job):
        entries = candidates.list_eligible(job)
        rng = candidates.rates.rng
        sampled = set(rng.sample(entries, min(self.n_sampled, len(entries))))
        best, best_cost = None, inf
        for entry in entries:
            if not candidates.allows(entry):
                continue
            offer = candidates.price(job, entry)
            is_cached = offer.n_missing_tokens < job.n_prompt_tokens
            if (is_cached or entry in sampled) and offer.cost < best_cost:
                best, best_cost = offer, offer.cost
        return best


class UnseenMargin(BaseSelection):
    """Draws evenly among the offers within a margin of the lowest cost.

    The margin is the cost that peers have placed unseen on each engine on average,
    multiplied by a factor.
    """

    def __init__(self, factor):
        self.factor = factor

    def select(self, candidates, job):
        entries = candidates.list_eligible(job)
        offers = [
            candidates.price(job, entry)
            for entry in entries
            if candidates.allows(entry)
        ]
        if not offers:
            return None
        margin = self.factor * candidates.estimate_unseen_cost() / len(entries)
        limit = min(one.cost for one in offers) + margin
        within = [one for one in offers if one.cost <= limit]
        return candidates.rates.rng.choice(within)


class FreeCapacity(BaseSelection):
    """Draws among all offers, weighted by the pending tokens that each still takes."""

    def select(self, candidates, job):
        offers = [
            candidates.price(job, entry)
            for entry in candidates.list_eligible(job)
            if candidates.allows(entry)
        ]
        if not offers:
            return None
        weights = [max(1.0, MAX_PENDING_TOKENS - one.cost) for one in offers]
        return candidates.rates.rng.choices(offers, weights)[0]


class OwnedFirst(BaseSelection):
    """Takes the lowest cost, with a surcharge for engines that other hosts own.

    :param surcharge: cost of an engine that another host owns.
    """

    def __init__(self, surcharge):
        self.surcharge = surcharge

    def select(self, candidates, job):
        best, best_cost = None, inf
        own = candidates.rates.peers.own_address
        for entry in candidates.list_eligible(job):
            if not candidates.allows(entry):
                continue
            offer = candidates.price(job, entry)
            cost = offer.cost
            if hash_pair(own, entry.backend.name) % 8:
                cost += self.surcharge
            if cost < best_cost:
                best, best_cost = offer, cost
        return best


def hash_pair(address, name):
    """Return a number from the address of a host and the name of an engine."""
    return hash_name(f"{address} {name}")


def set_selection(selection, is_spread, node):
    """Let a forwarder use a selection.

    :param is_spread: whether the quota of room and the pacing of frames are those of
        the setting ``spread_choice``.
    """
    settings = node.balancer.settings._replace(spread_choice=int(is_spread))
    node.balancer.apply_settings(settings)
    node.pool.selection = selection


SELECTIONS = {
    "lowest cost": LOWEST_COST,
    "2 sampled": SampledCandidates(2),
    "4 sampled": SampledCandidates(4),
    "margin": UnseenMargin(1.0),
    "margin x 3": UnseenMargin(3.0),
    "free capacity": FreeCapacity(),
    "owned first": OwnedFirst(3_000.0),
}
CHOICES = {
    **{name: partial(set_selection, one, False) for name, one in SELECTIONS.items()},
    **{
        f"{name}, quota": partial(set_selection, one, True)
        for name, one in SELECTIONS.items()
    },
    "unseen filled": partial(set_selection, SPREAD_CHOICE, True),
}
