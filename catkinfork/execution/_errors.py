"""Failures of the execution package."""


class InvariantError(Exception):
    """A property that the agent must keep does not hold.

    :param invariant: short name of the property.
    :param detail: the values that contradict it.
    """

    def __init__(self, invariant: str, detail: str):
        super().__init__(invariant, detail)
        self.invariant = invariant
        self.detail = detail

    def __str__(self):
        return f"invariant {self.invariant} does not hold: {self.detail}"


def check_invariant(condition, invariant, detail):
    """Raise :class:`InvariantError` unless a condition holds.

    :param condition: whether the property holds.
    :param invariant: short name of the property.
    :param detail: the values that are compared.
    :raises InvariantError: if the condition is false.
    """
    if not condition:
        raise InvariantError(invariant, detail)
