"""Weighted fair queueing: service counters, charges, lift after idling and bound."""

from catkinfork.fairness._accounts import Account
from catkinfork.fairness._bound import BoundTerms, check_gap, check_order
from catkinfork.fairness._counters import ServiceCounters
from catkinfork.fairness._errors import (
    FairnessBoundError,
    FairnessError,
    FairOrderError,
)
from catkinfork.fairness._estimates import CostEstimates

__all__ = [
    "Account",
    "BoundTerms",
    "CostEstimates",
    "FairOrderError",
    "FairnessBoundError",
    "FairnessError",
    "ServiceCounters",
    "check_gap",
    "check_order",
]
