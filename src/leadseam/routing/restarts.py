"""Ends attempts at upstreams that have started again since. No I/O.

What ran at the start before is lost: an upstream knows nothing of it any more. Its
connection may stay silent for seconds, if the box went with it, so nobody waits for it.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from leadseam.incarnation import Incarnation


class Restarts:
    """Attempts under way, by the incarnation that they are at."""

    def __init__(self) -> None:
        self._attempts: dict[Incarnation, list[Callable[[], None]]] = {}

    def __repr__(self) -> str:
        return f"Restarts(incarnations={len(self._attempts)})"

    @contextmanager
    def watch(
        self, incarnation: Incarnation, on_restart: Callable[[], None]
    ) -> Iterator[None]:
        """Have something called if the incarnation is over while this is entered."""
        attempts = self._attempts.setdefault(incarnation, [])
        attempts.append(on_restart)
        try:
            yield
        finally:
            attempts.remove(on_restart)
            if not attempts:
                self._attempts.pop(incarnation, None)

    def end_attempts(self, incarnations: Iterable[Incarnation]) -> int:
        """End the attempts at incarnations that are over; return their number."""
        ended = [
            on_restart
            for incarnation in incarnations
            for on_restart in self._attempts.get(incarnation, ())
        ]
        for on_restart in ended:
            on_restart()
        return len(ended)
