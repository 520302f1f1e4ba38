"""A plain service that one account floods while a small account also uses it.

Guards against a failure of a randomly generated load test (`mix`, seed 229169157007).
After two of three servers of a plain service had been removed, requests filled the
queue of the last one. Of 125 requests sent to all entries at separate moments 6 were
served, of the others a third to a half. Entries sent to plain services without a queue
of their own, so the time of arrival alone decided which account got a place there.
"""

from __future__ import annotations

import asyncio
import heapq
from types import SimpleNamespace
from typing import Any, cast

import pytest

from leadseam.clock import sleep
from leadseam.control.configuration import Configuration, Pool, PoolKind
from leadseam.emulate.virtual import VirtualClock, VirtualLoop
from leadseam.feed.entry_count import EntryCount
from leadseam.membership.view import UpstreamView
from leadseam.outcome import Reason
from leadseam.routing.admitted import AdmittedRequest
from leadseam.routing.health import UpstreamHealth
from leadseam.routing.placer import Placer
from tests.routing.samples import make_request, make_route, make_upstream

SLOTS, QUEUE, SERVICE_TIME = 6, 24, 45
"""Requests that the server runs, requests that it queues, and milliseconds each."""
SPAN = 10_000
FLOOD_EVERY = 3
"""Milliseconds between requests of the flooding account."""
BURST, BURST_EVERY = 22, 1_000
"""Requests in a burst of the small account, and milliseconds between bursts."""


class Server:
    """A server that runs some requests, queues some, and declines the rest."""

    def __init__(self) -> None:
        self._ends: list[int] = []

    def accept(self, now: int) -> int | None:
        """Return when a request that arrives now completes, or None if declined."""
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        if len(self._ends) >= SLOTS + QUEUE:
            return None
        waiting = len(self._ends) - SLOTS
        begin = now if waiting < 0 else sorted(self._ends)[waiting]
        heapq.heappush(self._ends, begin + SERVICE_TIME)
        return begin + SERVICE_TIME


def served_fractions() -> dict[str, float]:
    """Return the fraction of each account's requests that the service answers."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(_simulate(VirtualClock(loop)))
    finally:
        loop.close()


async def _simulate(clock: VirtualClock) -> dict[str, float]:
    placer = _make_placer(clock)
    server = Server()
    sent = {"flood": 0, "small": 0}
    answered = {"flood": 0, "small": 0}

    async def send_request(account: str) -> None:
        now = clock.now()
        sent[account] += 1
        req = make_request(request_id=f"{account}-{sent[account]}")
        admitted = AdmittedRequest(
            req=req,
            body=b"",
            route=make_route("r", "/", "p"),
            pool="p",
            account=account,
            arrived=now,
            deadline=now + 800,
        )
        placer.record_request(account, req, now)
        flight = await placer.place(admitted, set(), again=False)
        if isinstance(flight, Reason):
            return
        end = server.accept(clock.now())
        if end is not None:
            answered[account] += 1
            await sleep(end - clock.now())
        flight.end()

    async with asyncio.TaskGroup() as group:
        for now in range(SPAN):
            if now % FLOOD_EVERY == 0:
                group.create_task(send_request("flood"))
            if now % BURST_EVERY == BURST_EVERY // 2:
                for _ in range(BURST):
                    group.create_task(send_request("small"))
            await sleep(1)
    return {name: answered[name] / sent[name] for name in sent}


def _make_placer(clock: VirtualClock) -> Placer:
    view = UpstreamView()
    view.update("a", [make_upstream(1)], 0)
    pools = {"p": Pool("p", PoolKind.SERVICE)}
    feed = SimpleNamespace(
        view=view, entries=EntryCount(), configuration=Configuration(1, pools=pools)
    )
    return Placer(
        feed=cast("Any", feed),
        health=UpstreamHealth(),
        clock=clock,
        rng=cast("Any", SimpleNamespace(random=lambda: 0.5)),
    )


def test_a_small_account_is_served_as_often_as_one_that_floods() -> None:
    fractions = served_fractions()
    # It sends 22 requests per second; the service has capacity for 133.
    assert fractions["small"] >= fractions["flood"]


@pytest.mark.parametrize("now", [0, 100])
def test_the_modelled_server_declines_what_it_cannot_queue(now: int) -> None:
    server = Server()
    ends = [server.accept(now) for _ in range(SLOTS + QUEUE + 1)]
    assert ends[0] == now + SERVICE_TIME
    assert ends[SLOTS] == now + 2 * SERVICE_TIME
    assert ends[-1] is None
    assert server.accept(now + SERVICE_TIME) is not None
