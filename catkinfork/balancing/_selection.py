"""Which of several backend servers gets a job."""

from abc import ABC, abstractmethod
from math import inf


class BaseSelection(ABC):
    """Chooses one of the backend servers that may run a job."""

    @abstractmethod
    def select(self, candidates, job):
        """Return the :class:`Offer` to take, or None if there is none.

        :param candidates: :class:`CandidateList`, whose ``list_eligible`` yields
            entries by ascending base cost, and whose ``price`` prices one of them.
        :param job: :class:`Job`.
        """


class LowestCost(BaseSelection):
    """Takes the backend server with the lowest cost."""

    def select(self, candidates, job):
        best = None
        best_cost = inf
        for entry in candidates.list_eligible(job):
            # Uncached tokens only add to the base cost, by which entries are sorted.
            if entry.base_cost >= best_cost:
                break
            if not candidates.allows(entry):
                continue
            offer = candidates.price(job, entry)
            if offer.cost < best_cost:
                best, best_cost = offer, offer.cost
        return best


LOWEST_COST = LowestCost()
