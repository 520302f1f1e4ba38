"""The fairness gap and utilisation from samples of service over time."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ServiceSamples:
    """Cumulative tokens of each account at points in time.

    Args:
        shares: Share of each backlogged account.
    """

    shares: dict[str, int]
    rows: list[dict[str, float]] = field(default_factory=list)

    def add(self, tokens: dict[str, float]) -> None:
        """Add a sample of cumulative tokens by account."""
        row = {
            name: tokens.get(name, 0.0) / share for name, share in self._share_items()
        }
        self.rows.append(row)

    def gap(self, *, skip: int = 0) -> float:
        """Return the largest gap between two accounts over any interval.

        Args:
            skip: Samples at the start to leave out. Defaults to 0.

        The gap over an interval is the difference of what the two got in it, each
        divided by its share; over all intervals that is the spread of the running
        difference.
        """
        names = list(self.shares)
        rows = self.rows[skip:]
        largest = 0.0
        for position, one in enumerate(names):
            for other in names[position + 1 :]:
                series = [row[one] - row[other] for row in rows]
                largest = max(largest, max(series) - min(series))
        return largest

    def totals(self) -> dict[str, float]:
        """Return what each account got over the run, divided by its share."""
        first, last = self.rows[0], self.rows[-1]
        return {name: last[name] - first[name] for name in self.shares}

    def _share_items(self) -> list[tuple[str, int]]:
        return list(self.shares.items())


def gap_bound(
    *, slots: int, sidecars: int, max_tokens: int, rate: float, lag: float
) -> float:
    """Return the stated bound of the gap, in tokens at equal shares.

    At a grant, the chosen account is behind every other as far as the sidecar knows; it
    knows all but the service of the last `lag` seconds. What the account then has in
    flight may turn out longer than reserved, on every slot at the most. Either account
    of a pair may be the one ahead. See docs/design/fairness.md.

    Args:
        slots: Slots of the pool.
        sidecars: Sidecars, each of which fetches one request ahead.
        max_tokens: Tokens of the longest request.
        rate: Tokens a second of the whole pool.
        lag: Seconds until service is known everywhere.
    """
    return 2 * ((slots + sidecars) * max_tokens + rate * lag)


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile by the nearest rank; 0 for no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]
