"""Runtime checks of the invariants of cores."""


class InvariantError(Exception):
    """An invariant of a core is violated.

    :param invariant: name of the invariant.
    :param detail: the values that violate it.
    """

    def __init__(self, invariant, detail):
        super().__init__(invariant, detail)
        self.invariant = invariant
        self.detail = detail

    def __str__(self):
        return f"invariant {self.invariant} does not hold: {self.detail}"


def check_invariant(condition, invariant, detail):
    """Raise :class:`InvariantError` unless a condition holds.

    :param condition: whether the invariant holds.
    :param invariant: name of the invariant.
    :param detail: the values to report.
    :raises InvariantError: if the condition is false.
    """
    if not condition:
        raise InvariantError(invariant, detail)
