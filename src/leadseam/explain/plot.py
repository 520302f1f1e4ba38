"""Plot of how requests ended, by second and by client account.

Needs matplotlib, which comes with the package's extra `plots`.
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

MAX_ACCOUNTS = 12
"""Maximum number of accounts shown: those that lost the most requests."""
WIDTH_INCHES = 10
HEIGHT_INCHES = 7
COLOURS = {
    Ending.IN_TIME: "tab:green",
    Ending.LATE: "tab:olive",
    Ending.REFUSED: "tab:orange",
    Ending.FAILED: "tab:red",
}


class PlotError(LeadseamError):
    """The plot cannot be drawn or written."""


@dataclass(frozen=True, slots=True)
class Series:
    """Counts of ended requests for an ordered list of keys.

    Args:
        keys: Seconds since the first request, or names of accounts.
        counts: Number of requests for each key, by ending.
    """

    keys: tuple[str, ...]
    counts: dict[Ending, tuple[int, ...]]


def by_second(requests: Sequence[EndedRequest]) -> Series:
    """Return counts for each second from the first to the last, without gaps."""
    if not requests:
        return _make_series((), Counter())
    seconds = [request.logged_at // MILLIS_PER_SECOND for request in requests]
    first = min(seconds)
    ended = Counter(
        (str(second - first), request.ending)
        for second, request in zip(seconds, requests, strict=True)
    )
    keys = tuple(str(number) for number in range(max(seconds) - first + 1))
    return _make_series(keys, ended)


def by_account(requests: Iterable[EndedRequest]) -> Series:
    """Return counts for the accounts that lost the most requests, in this order."""
    ended = Counter((request.account or "none", request.ending) for request in requests)
    lost = Counter[str]()
    for (account, ending), count in ended.items():
        lost[account] += count if ending in (Ending.REFUSED, Ending.FAILED) else 0
    worst = sorted(lost, key=lambda account: (-lost[account], account))
    return _make_series(tuple(worst[:MAX_ACCOUNTS]), ended)


def draw(requests: Sequence[EndedRequest], path: Path) -> None:
    """Plot requests into a file, as PNG or SVG depending on its suffix.

    Raises:
        PlotError: If matplotlib is missing or cannot write such a file.
    """
    try:
        import matplotlib
        from matplotlib.figure import Figure
    except ImportError as exc:
        raise PlotError("needs matplotlib: install leadseam[plots]") from exc
    # SVG text is written as text instead of paths, so that a plot can be searched.
    with matplotlib.rc_context({"svg.fonttype": "none"}):
        figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
        upper_axes, lower_axes = figure.subplots(2)
        _draw_stacked_bars(upper_axes, by_second(requests), "second")
        _draw_stacked_bars(
            lower_axes, by_account(requests), "client account, by requests lost"
        )
        handles, labels = upper_axes.get_legend_handles_labels()
        figure.legend(handles, labels, loc="outside upper center", ncols=len(Ending))
        try:
            figure.savefig(path)
        except (OSError, ValueError) as exc:
            raise PlotError(f"{path}: {exc}") from exc


def _draw_stacked_bars(axes: Axes, series: Series, label: str) -> None:
    positions = range(len(series.keys))
    bottom = [0] * len(series.keys)
    for ending, counts in series.counts.items():
        axes.bar(positions, counts, bottom=bottom, color=COLOURS[ending], label=ending)
        bottom = [height + count for height, count in zip(bottom, counts, strict=True)]
    step = max(len(series.keys) // MAX_ACCOUNTS, 1)
    axes.set_xticks(positions[::step], series.keys[::step])
    axes.set_xlabel(label)
    axes.set_ylabel("requests")


def _make_series(keys: tuple[str, ...], ended: Counter[tuple[str, Ending]]) -> Series:
    counts = {ending: tuple(ended[key, ending] for key in keys) for ending in Ending}
    return Series(keys, counts)
