"""Failures of the routing package."""


class InvariantError(Exception):
    """A state that the router must never reach; it shows a fault of the program.

    :param invariant: what must hold.
    :param detail: the values that contradict it.
    """

    def __init__(self, invariant, detail):
        super().__init__(invariant, detail)
        self.invariant = invariant
        self.detail = detail

    def __str__(self):
        return f"{self.invariant}: {self.detail}"


def check_invariant(holds, invariant, detail):
    """Raise :class:`InvariantError` unless a condition holds.

    :param holds: whether it holds.
    :param invariant: what must hold.
    :param detail: the values to report.
    :raises InvariantError: if it does not hold.
    """
    if not holds:
        raise InvariantError(invariant, detail)
