"""Figures of a configuration that are optional, and do not make it unreadable."""

import msgspec

from catkinfork.topology import InvalidValueError, check_number

# Value of a figure that is not stated.
NOT_STATED = msgspec.Raw(b"0")
# Errors of a figure that cannot be decoded or cannot be right.
INVALID = (msgspec.DecodeError, ValueError, OverflowError, RecursionError)


class FigureReader:
    """Reads optional figures, and keeps the last good value of an invalid one.

    Such a figure only tunes the placement, while the configuration that has it may
    withdraw a key or move a route.

    :param known: last good values by service and field.

    ``values`` has those that are in force with this configuration, and ``ignored`` the
    errors of the invalid ones.
    """

    def __init__(self, known):
        self.known = known
        self.values = {}
        self.ignored = []

    def read(self, service, what, raw, bounds):
        """Return a figure, 0 if it is not stated.

        :param service: name of the service that it belongs to.
        :param what: name of the field.
        :param raw: encoded value.
        :param bounds: pair of the smallest value beside 0 and the largest one.
        """
        key = (service, what)
        try:
            value = check_figure(msgspec.json.decode(raw, type=float), what, bounds)
        except INVALID as error:
            self.ignored.append(f"service {service!r}: {what}: {error}")
            value = self.known.get(key, 0.0)
        self.values[key] = value
        return value


def check_figure(value, what, bounds):
    """Check a number that is 0 or within bounds.

    :raises InvalidValueError: if it is not.
    """
    minimum, maximum = bounds
    check_number(value, what, maximum)
    if 0 < value < minimum:
        raise InvalidValueError(what, value, f"0 or {minimum:g} to {maximum:g}")
    return value
