"""Table of the standard days from score entries of the journal.

``python -m benchmarks.day_table BASE LATEST`` prints a table of worth and prices that
compares two entries of the same site, which are given by their ids.
"""

import json
import sys
from pathlib import Path
from typing import NamedTuple

JOURNAL_PATH = Path(__file__).parent.parent / "journal"

# Prefix of days that are generated for one score and have no earlier figure.
RANDOM_DAY_PREFIX = "fresh-"
# Columns of the table by name of the price in the journal.
PRICE_COLUMNS = {
    "machine-seconds": "machines",
    "processor seconds": "processor",
    "memory, GB x seconds": "memory",
    "GB between zones": "bytes between data centres",
    "new connections to servers": "connections",
    "cloud calls": "store",
    "1,000 tokens of shared parts read again": "parts read again",
}


class Day(NamedTuple):
    """One standard day of a score.

    :param mark: worth at which the day's score is 1.
    :param prices: deductions from the worth, by name of the price.
    :param processor_s: processor seconds of all processes.
    """

    name: str
    worth: float
    mark: float
    served: float
    prices: dict
    processor_s: float


def parse_days(entry):
    """Return a mapping from name to standard day of a journal entry.

    :param entry: journal entry of a score.
    """
    days = {}
    for item in entry["days"]:
        if item["name"].startswith(RANDOM_DAY_PREFIX):
            continue
        prices = {name: worth for name, _, worth in item["prices"]}
        amounts = {name: amount for name, amount, _ in item["prices"]}
        days[item["name"]] = Day(
            item["name"],
            item["G"],
            item["top"],
            item["served"],
            prices,
            amounts["processor seconds"],
        )
    return days


def format_table(base, latest):
    """Return the comparison as a Markdown table.

    :param base: days of the earlier entry by name.
    :param latest: days of the later entry by name.
    """
    columns = ["day", "mark", "first", "now", "served", "processor s"]
    columns += PRICE_COLUMNS.values()
    lines = ["| " + " | ".join(columns) + " |", "|---" * len(columns) + "|"]
    for name, day in latest.items():
        base_worth = f"{base[name].worth:.3f}" if name in base else ""
        cells = [name, f"{day.mark:.3f}", base_worth, f"{day.worth:.3f}"]
        cells += [f"{day.served:.3f}", f"{day.processor_s:.1f}"]
        cells += [f"{day.prices.get(price, 0.0):.4f}" for price in PRICE_COLUMNS]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def find_entry(entry_id):
    """Return the journal entry with the given id.

    :raises SystemExit: if there is none.
    """
    for path in JOURNAL_PATH.glob(f"*-{entry_id}.json"):
        return json.loads(path.read_text())
    raise SystemExit(f"no journal entry {entry_id!r}")


if __name__ == "__main__":
    base_entry, latest_entry = (find_entry(name) for name in sys.argv[1:3])
    print(format_table(parse_days(base_entry), parse_days(latest_entry)))
