"""Pending commands that were submitted to this replica."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from leadseam.control.state import CommandResult
    from leadseam.wire.consensus import LogEntry

CommandFuture: TypeAlias = "asyncio.Future[CommandResult | None]"
"""Future of a command's result, or of None if its commit is unconfirmed."""


class Submissions:
    """Commands that this replica proposed as the leader or forwarded to the leader."""

    def __init__(self) -> None:
        self._proposed: dict[int, tuple[int, CommandFuture]] = {}
        self._forwarded: dict[int, CommandFuture] = {}
        self._next_ticket = 0

    def __repr__(self) -> str:
        return (
            f"Submissions(proposed={len(self._proposed)},"
            f" forwarded={len(self._forwarded)})"
        )

    def proposed(self, index: int, term: int, fut: CommandFuture) -> None:
        """Track a command that was proposed as the entry at an index and term."""
        self._proposed[index] = (term, fut)

    def applied(self, entry: LogEntry, result: CommandResult | None) -> None:
        """Resolve the command proposed at an applied entry's index.

        Its result is None if the entry has another term, that is, if another leader's
        entry replaced the proposed one.
        """
        term, fut = self._proposed.pop(entry.index, (0, None))
        if fut is not None and not fut.done():
            fut.set_result(result if term == entry.term else None)

    def forwarded(self, fut: CommandFuture) -> int:
        """Track a forwarded command and return the ticket that its reply carries."""
        self._next_ticket += 1
        ticket = self._next_ticket
        self._forwarded[ticket] = fut
        fut.add_done_callback(lambda _: self._forwarded.pop(ticket, None))
        return ticket

    def replied(self, ticket: int, result: CommandResult | None) -> None:
        """Resolve a forwarded command, unless its caller has given up."""
        fut = self._forwarded.get(ticket)
        if fut is not None and not fut.done():
            fut.set_result(result)

    def drop_proposed(self) -> None:
        """Resolve all proposed commands as unknown, as this replica cannot commit them.

        It is no longer the leader, or has stopped.
        """
        proposed, self._proposed = self._proposed, {}
        for _, fut in proposed.values():
            if not fut.done():
                fut.set_result(None)
