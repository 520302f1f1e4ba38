"""Ends attempts at upstreams that have restarted in the meantime. No I/O.

A restarted upstream has lost all requests of its previous incarnation. Their
connections may stay silent for seconds if the box failed too, so the attempts are ended
at once.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from leadseam.incarnation import Incarnation


class Restarts:
    """Callbacks that end current attempts, by the incarnation of their upstream."""

    def __init__(self) -> None:
        self._callbacks: dict[Incarnation, list[Callable[[], None]]] = {}

    def __repr__(self) -> str:
        return f"Restarts(incarnations={len(self._callbacks)})"

    @contextmanager
    def watch(
        self, incarnation: Incarnation, on_restart: Callable[[], None]
    ) -> Iterator[None]:
        """Register a callback for the end of an incarnation within a `with` block."""
        callbacks = self._callbacks.setdefault(incarnation, [])
        callbacks.append(on_restart)
        try:
            yield
        finally:
            callbacks.remove(on_restart)
            if not callbacks:
                self._callbacks.pop(incarnation, None)

    def end_attempts(self, incarnations: Iterable[Incarnation]) -> int:
        """End the attempts at incarnations that are over; return their number."""
        called = [
            on_restart
            for incarnation in incarnations
            for on_restart in self._callbacks.get(incarnation, ())
        ]
        for on_restart in called:
            on_restart()
        return len(called)
