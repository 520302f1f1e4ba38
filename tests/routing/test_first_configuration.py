"""Requests that meet an entry before its first configuration."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from leadseam.clock import ManualClock
from leadseam.control.configuration import Configuration
from leadseam.routing import gateway as gateway_module
from leadseam.routing.budget import RetryLimits
from leadseam.routing.gateway import Gateway
from leadseam.runtime.metrics import Metrics, RoutingMetrics
from tests.routing.samples import make_request


class Entry:
    """A gateway whose feed has not brought a configuration yet."""

    def __init__(self) -> None:
        self.known = asyncio.Event()
        feed = SimpleNamespace(
            configuration=Configuration(),
            confirmed=False,
            version=0,
            age=0,
            first_configuration=self.known.wait,
        )
        self.gateway = Gateway(
            feed=cast("Any", feed),
            dialect=cast("Any", None),
            client=cast("Any", None),
            clock=ManualClock(1_000),
            retry_limits=RetryLimits(),
            metrics=RoutingMetrics(Metrics()),
            rng=random.Random(1),
            lag=cast("Any", SimpleNamespace(millis=0)),
        )

    def wait(self) -> asyncio.Task[None]:
        """Let a request come."""
        request = self.gateway._first_configuration(make_request("own"))
        return asyncio.create_task(request)


async def turns() -> None:
    """Let every task that can go on do so."""
    for _ in range(5):
        await asyncio.sleep(0)


async def test_a_request_waits_for_the_first_configuration() -> None:
    entry = Entry()
    waiting = entry.wait()
    await turns()
    assert not waiting.done()
    entry.known.set()
    await waiting


async def test_it_does_not_wait_for_ever(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gateway_module, "FIRST_CONFIGURATION_LIMIT", 1)
    await Entry().wait()


async def test_a_bounded_number_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gateway_module, "MAX_UNCONFIGURED", 2)
    entry = Entry()
    waiting = [entry.wait() for _ in range(3)]
    await turns()
    assert [task.done() for task in waiting] == [False, False, True]
    # A caller that leaves makes room for another.
    waiting[0].cancel()
    await turns()
    another = entry.wait()
    await turns()
    assert not another.done()
    entry.known.set()
    await asyncio.gather(waiting[1], another)


async def test_a_stopping_entry_lets_nobody_wait() -> None:
    entry = Entry()
    entry.gateway.stopping = True
    await entry.wait()
