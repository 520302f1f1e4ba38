"""A picture of how requests ended: by second, and by client account.

Needs matplotlib, which is the package's extra `plots`.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.errors import LeadseamError
from leadseam.explain.records import Ending
from leadseam.explain.tables import MILLIS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from pathlib import Path

    from matplotlib.axes import Axes

    from leadseam.explain.records import EndedRequest

MOST_ACCOUNTS = 12
"""Accounts shown: those that lost most."""
WIDTH_INCHES = 10
HEIGHT_INCHES = 7
COLOURS = {
    Ending.IN_TIME: "tab:green",
    Ending.LATE: "tab:olive",
    Ending.REFUSED: "tab:orange",
    Ending.FAILED: "tab:red",
}


class PlotError(LeadseamError):
    """A picture cannot be drawn."""


@dataclass(frozen=True, slots=True)
class Series:
    """Counts of ended requests by some key, in order.

    Args:
        keys: The keys: seconds from the first one, or names of accounts.
        counts: For each way to end, the number for each key.
    """

    keys: tuple[str, ...]
    counts: dict[Ending, tuple[int, ...]]


def by_second(requests: Sequence[EndedRequest]) -> Series:
    """Return counts for each second from the first to the last, none left out."""
    if not requests:
        return _series((), Counter())
    seconds = [one.logged_at // MILLIS_PER_SECOND for one in requests]
    first = min(seconds)
    ended = Counter(
        (str(second - first), one.ending)
        for second, one in zip(seconds, requests, strict=True)
    )
    keys = tuple(str(number) for number in range(max(seconds) - first + 1))
    return _series(keys, ended)


def by_account(requests: Iterable[EndedRequest]) -> Series:
    """Return counts for the accounts that lost most, the worst first."""
    ended = Counter((one.account or "none", one.ending) for one in requests)
    lost = Counter[str]()
    for (account, ending), count in ended.items():
        lost[account] += count if ending in (Ending.REFUSED, Ending.FAILED) else 0
    worst = sorted(lost, key=lambda account: (-lost[account], account))
    return _series(tuple(worst[:MOST_ACCOUNTS]), ended)


def draw(requests: Sequence[EndedRequest], path: Path) -> None:
    """Draw requests into a file; its suffix says whether as PNG or as SVG.

    Raises:
        PlotError: If matplotlib is missing or cannot write such a file.
    """
    try:
        import matplotlib
        from matplotlib.figure import Figure
    except ImportError as exc:
        raise PlotError("needs matplotlib: install leadseam[plots]") from exc
    # Text stays text, so that a picture can be searched.
    with matplotlib.rc_context({"svg.fonttype": "none"}):
        figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
        above, below = figure.subplots(2)
        _stack(above, by_second(requests), "second")
        _stack(below, by_account(requests), "client account, by requests lost")
        handles, names = above.get_legend_handles_labels()
        figure.legend(handles, names, loc="outside upper center", ncols=len(Ending))
        try:
            figure.savefig(path)
        except (OSError, ValueError) as exc:
            raise PlotError(f"{path}: {exc}") from exc


def _stack(axes: Axes, series: Series, label: str) -> None:
    places = range(len(series.keys))
    bottom = [0] * len(series.keys)
    for ending, counts in series.counts.items():
        axes.bar(places, counts, bottom=bottom, color=COLOURS[ending], label=ending)
        bottom = [low + count for low, count in zip(bottom, counts, strict=True)]
    step = max(len(series.keys) // MOST_ACCOUNTS, 1)
    axes.set_xticks(places[::step], series.keys[::step])
    axes.set_xlabel(label)
    axes.set_ylabel("requests")


def _series(keys: tuple[str, ...], ended: Counter[tuple[str, Ending]]) -> Series:
    counts = {ending: tuple(ended[key, ending] for key in keys) for ending in Ending}
    return Series(keys, counts)
