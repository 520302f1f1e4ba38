"""Samples costs repeatedly and fits a line to them."""

from __future__ import annotations

import gc
import resource
import statistics
import tracemalloc
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SAMPLES = 5
IO_SAMPLES = 3
MICROSECONDS = 1_000_000


@dataclass(frozen=True, slots=True)
class Slope:
    """A line fitted to measured points.

    Args:
        name: Name of the cost.
        unit: Unit of the slope.
        points: Pairs of size and cost.
        spread: Largest relative spread between repeated samples of a point.
    """

    name: str
    unit: str
    points: tuple[tuple[float, float], ...]
    spread: float

    @property
    def line(self) -> tuple[float, float]:
        """Slope and intercept by least squares."""
        sizes = [size for size, _ in self.points]
        costs = [cost for _, cost in self.points]
        fit = statistics.linear_regression(sizes, costs)
        return fit.slope, fit.intercept

    @property
    def correlation(self) -> float:
        """Correlation of the points; 1 is an exact line."""
        sizes = [size for size, _ in self.points]
        costs = [cost for _, cost in self.points]
        return statistics.correlation(sizes, costs)

    def __str__(self) -> str:
        slope, intercept = self.line
        points = ", ".join(f"{size:g}: {cost:.4g}" for size, cost in self.points)
        return (
            f"| {self.name} | {slope:.4g} {self.unit} | {intercept:.4g} |"
            f" {self.correlation:.3f} | {self.spread:.0%} | {points} |"
        )


def cpu_now() -> float:
    """Return the processor seconds used so far by this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def sample_repeatedly(measure: Callable[[], float]) -> tuple[float, float]:
    """Return the median of `SAMPLES` measurements and their relative spread."""
    values = [measure() for _ in range(SAMPLES)]
    median = statistics.median(values)
    spread = (max(values) - min(values)) / median if median else 0.0
    return median, spread


def measure_slope(
    name: str, unit: str, sizes: tuple[int, ...], measure: Callable[[int], float]
) -> Slope:
    """Measure a cost at each size."""
    points = []
    spreads = []
    for size in sizes:
        median, spread = sample_repeatedly(lambda size=size: measure(size))  # type: ignore[misc]
        points.append((float(size), median))
        spreads.append(spread)
    return Slope(name, unit, tuple(points), max(spreads))


def measure_cpu(workload: Callable[[], None], repeat: int) -> float:
    """Return the processor microseconds of one call of `workload`."""
    before = cpu_now()
    for _ in range(repeat):
        workload()
    return (cpu_now() - before) / repeat * MICROSECONDS


def measure_memory(build: Callable[[int], object], count: int) -> float:
    """Return the traced bytes that an object of some size takes."""
    gc.collect()
    tracemalloc.start()
    built = build(count)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return float(size)


async def measure_async_slope(
    name: str,
    unit: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], Awaitable[float]],
    samples: int = IO_SAMPLES,
) -> Slope:
    """Measure a cost at each size by a coroutine."""
    points = []
    spreads = []
    for size in sizes:
        values = [await measure(size) for _ in range(samples)]
        median = statistics.median(values)
        points.append((float(size), median))
        spreads.append((max(values) - min(values)) / median if median else 0.0)
    return Slope(name, unit, tuple(points), max(spreads))
