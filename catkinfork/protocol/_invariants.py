"""Checks of what a decision object must keep."""


class InvariantError(Exception):
    """A property that a decision object must keep does not hold.

    :param invariant: what must hold.
    :param detail: the values that contradict it.
    """

    def __init__(self, invariant, detail):
        super().__init__(invariant, detail)
        self.invariant = invariant
        self.detail = detail

    def __str__(self):
        return f"invariant {self.invariant} does not hold: {self.detail}"


def check_invariant(condition, invariant, detail):
    """Raise :class:`InvariantError` unless a condition holds.

    :param condition: whether the property holds.
    :param invariant: what must hold.
    :param detail: the values to report.
    :raises InvariantError: if the condition is false.
    """
    if not condition:
        raise InvariantError(invariant, detail)
