"""Tables of bounded size."""

from collections import OrderedDict


class RecentTable(OrderedDict):
    """Dictionary that keeps the entries that were set last.

    :param max_entries: number of entries that are kept.
    """

    def __init__(self, max_entries):
        super().__init__()
        self.max_entries = max_entries

    def __setitem__(self, key, value):
        super().__setitem__(key, value)
        self.move_to_end(key)
        if len(self) > self.max_entries:
            self.popitem(last=False)
