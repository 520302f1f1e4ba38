"""Requests that meet an entry before its first configuration."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from leadseam.routing import first_configuration
from leadseam.routing.first_configuration import FirstConfiguration


class Entry:
    """An entry whose feed has not brought a configuration yet."""

    def __init__(self) -> None:
        self.known = asyncio.Event()
        self.feed = SimpleNamespace(
            confirmed=False, first_configuration=self.known.wait
        )
        self.first = FirstConfiguration(cast("Any", self.feed))

    def come(self, max_wait: int | None = None) -> asyncio.Task[None]:
        """Let a request come."""
        return asyncio.create_task(self.first.wait(max_wait))


async def turns() -> None:
    """Let every task that can go on do so."""
    for _ in range(5):
        await asyncio.sleep(0)


async def test_a_request_waits_for_the_first_configuration() -> None:
    entry = Entry()
    waiting = entry.come()
    await turns()
    assert not waiting.done()
    entry.known.set()
    await waiting


async def test_it_does_not_wait_for_ever(monkeypatch: pytest.MonkeyPatch) -> None:
    await Entry().come(max_wait=1)
    monkeypatch.setattr(first_configuration, "LONGEST_WAIT", 1)
    await Entry().come()


async def test_nobody_waits_once_there_is_one() -> None:
    entry = Entry()
    entry.feed.confirmed = True
    await entry.come()


async def test_a_bounded_number_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(first_configuration, "MAX_WAITING", 2)
    entry = Entry()
    waiting = [entry.come() for _ in range(3)]
    await turns()
    assert [task.done() for task in waiting] == [False, False, True]
    # A caller that leaves makes room for another.
    waiting[0].cancel()
    await turns()
    another = entry.come()
    await turns()
    assert not another.done()
    entry.known.set()
    await asyncio.gather(waiting[1], another)
