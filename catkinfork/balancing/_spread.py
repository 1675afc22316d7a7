"""Choice of a backend server that allows for placements of peers not yet known."""

from math import inf

from catkinfork.balancing._selection import BaseSelection

# Offers whose costs differ by no more than this are equal; sums in floating point are
# not exact.
COST_TOLERANCE = 1e-6


class SpreadChoice(BaseSelection):
    """Draws among the backend servers that peers are filling up unseen.

    Load pattern: many forwarders learn of each other's placements one frame later. All
    see the same server as the one with the lowest cost, and overload it together.

    The cost that peers are expected to have placed since their last frames is filled
    into the lowest base costs, like water. Servers below the level count as if they
    had reached it, and the offers that are then equal are drawn by the cost that each
    lacks to it. If all forwarders draw so, the servers reach the level together. With
    fresh views the level is the lowest base cost, and the lowest cost wins.
    """

    def select(self, candidates, job):
        entries = candidates.list_eligible(job)
        level = compute_level(entries, candidates.estimate_unseen_cost())
        best_cost = inf
        offers = []
        for entry in entries:
            base_cost = max(level, entry.base_cost)
            if base_cost > best_cost + COST_TOLERANCE:
                break
            if not candidates.allows(entry):
                continue
            offer = candidates.price(job, entry)
            cost = offer.cost + base_cost - entry.base_cost
            if cost < best_cost - COST_TOLERANCE:
                best_cost = cost
                offers = [offer]
            elif cost <= best_cost + COST_TOLERANCE:
                offers.append(offer)
        candidates.is_drawn = len(offers) > 1
        return draw_offer(offers, level, candidates.rates.rng)


SPREAD_CHOICE = SpreadChoice()


def compute_level(entries, unseen_cost):
    """Return the base cost up to which unseen placements fill the lowest entries.

    :param entries: :class:`CandidateEntry` objects by ascending base cost.
    :param unseen_cost: cost of the unseen placements together.
    """
    total = unseen_cost
    level = -inf
    for number, entry in enumerate(entries):
        if number and entry.base_cost >= level:
            break
        total += entry.base_cost
        level = total / (number + 1)
    return level


def draw_offer(offers, level, rng):
    """Return one of several equal offers, or None if there is none.

    :param offers: list of :class:`Offer`.
    :param level: base cost that all of them are expected to reach.
    :param rng: ``random.Random``.
    """
    if len(offers) < 2:
        return offers[0] if offers else None
    weights = [max(0.0, level - one.entry.base_cost) for one in offers]
    if not any(weights):
        # Load pattern: forwarders that have just started all know nothing yet.
        return rng.choice(offers)
    return rng.choices(offers, weights)[0]
