"""Computes the fairness gap from samples of service over time."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ServiceSamples:
    """Samples of the cumulative tokens of each account.

    Args:
        shares: Share of each backlogged account.
        rows: Samples in order of time: tokens by account, divided by its share.
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

        The gap over an interval is the difference between the tokens that the two
        accounts received in it, each divided by its share. Its maximum over all
        intervals is the spread of the running difference.

        Args:
            skip: Number of samples to skip at the start. Defaults to 0.
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
        """Return the tokens of each account over the run, divided by its share."""
        first, last = self.rows[0], self.rows[-1]
        return {name: last[name] - first[name] for name in self.shares}

    def _share_items(self) -> list[tuple[str, int]]:
        return list(self.shares.items())


def gap_bound(
    *, slots: int, sidecars: int, max_tokens: int, rate: float, lag: float
) -> float:
    """Return the stated bound of the gap, in tokens at equal shares.

    When a sidecar grants, the chosen account is behind all others as far as the sidecar
    knows, which is all service but that of the last `lag` seconds. The requests that
    the account then has in flight may run longer than reserved, at most on every slot.
    Either account of a pair may be the one ahead, hence the factor 2. See
    docs/design/fairness.md.

    Args:
        slots: Slots of the pool.
        sidecars: Sidecars of the pool, each of which fetches one request ahead.
        max_tokens: Tokens of the longest request.
        rate: Tokens per second of the whole pool.
        lag: Seconds until service is known everywhere.
    """
    return 2 * ((slots + sidecars) * max_tokens + rate * lag)


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile by nearest rank; 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]
