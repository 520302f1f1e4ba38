"""Commands of this replica that wait for their outcome."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from leadseam.control.state import CommandResult
    from leadseam.wire.consensus import LogEntry

Outcome: TypeAlias = "asyncio.Future[CommandResult | None]"
"""Result of a command, or None if it is not known what became of it."""


class Submissions:
    """Commands proposed here as the leader, or forwarded to the one that is."""

    def __init__(self) -> None:
        self._proposed: dict[int, tuple[int, Outcome]] = {}
        self._forwarded: dict[int, Outcome] = {}
        self._next_ticket = 0

    def __repr__(self) -> str:
        return (
            f"Submissions(proposed={len(self._proposed)},"
            f" forwarded={len(self._forwarded)})"
        )

    def proposed(self, index: int, term: int, fut: Outcome) -> None:
        """Wait for the entry that was proposed at an index in a term."""
        self._proposed[index] = (term, fut)

    def applied(self, entry: LogEntry, result: CommandResult | None) -> None:
        """Resolve the command of an entry; another one may have taken its place."""
        term, fut = self._proposed.pop(entry.index, (0, None))
        if fut is not None and not fut.done():
            fut.set_result(result if term == entry.term else None)

    def forwarded(self, fut: Outcome) -> int:
        """Wait for the reply to a command that is forwarded; return its ticket."""
        self._next_ticket += 1
        ticket = self._next_ticket
        self._forwarded[ticket] = fut
        fut.add_done_callback(lambda _: self._forwarded.pop(ticket, None))
        return ticket

    def replied(self, ticket: int, result: CommandResult | None) -> None:
        """Resolve a forwarded command, unless nobody waits any more."""
        fut = self._forwarded.get(ticket)
        if fut is not None and not fut.done():
            fut.set_result(result)

    def drop_proposed(self) -> None:
        """Give up on all that was proposed: this replica leads no more."""
        proposed, self._proposed = self._proposed, {}
        for _, fut in proposed.values():
            if not fut.done():
                fut.set_result(None)
