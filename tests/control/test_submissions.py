"""Results of commands that were proposed or forwarded."""

from __future__ import annotations

import asyncio

from leadseam.control.state import BarrierResult
from leadseam.control.submissions import CommandFuture, Submissions
from leadseam.wire.consensus import LogEntry

DONE = BarrierResult(7)


async def test_a_proposed_command_gets_the_result_of_its_own_entry() -> None:
    submissions = Submissions()
    kept: CommandFuture = asyncio.Future()
    replaced: CommandFuture = asyncio.Future()
    submissions.proposed(4, 2, kept)
    submissions.proposed(5, 2, replaced)
    submissions.applied(LogEntry(2, 4, 1, b""), DONE)
    # Another leader's entry replaced the second one.
    submissions.applied(LogEntry(3, 5, 1, b""), DONE)
    assert (kept.result(), replaced.result()) == (DONE, None)


async def test_a_proposed_command_is_unresolved_once_leadership_is_lost() -> None:
    submissions = Submissions()
    fut: CommandFuture = asyncio.Future()
    submissions.proposed(4, 2, fut)
    submissions.drop_proposed()
    assert fut.result() is None
    submissions.applied(LogEntry(2, 4, 1, b""), DONE)


async def test_a_late_reply_to_a_forwarded_command_is_dropped() -> None:
    submissions = Submissions()
    fut: CommandFuture = asyncio.Future()
    ticket = submissions.forwarded(fut)
    submissions.replied(ticket, DONE)
    await asyncio.sleep(0)
    submissions.replied(ticket, None)
    assert fut.result() == DONE
    assert repr(submissions) == "Submissions(proposed=0, forwarded=0)"
