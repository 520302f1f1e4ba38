"""The sidecar's agent frees a slot however its attempt ends."""

from __future__ import annotations

import asyncio

from leadseam.clock import ManualClock
from leadseam.control.configuration import Configuration, Pool, PoolKind, Upstream
from leadseam.runtime.metrics import Metrics, SidecarMetrics
from leadseam.sidecar.agent import Agent
from leadseam.sidecar.breaker import MAX_FAILURES
from leadseam.wire.dispatch import Accepted, Backlog, BacklogRow, Dispatch, Final, Grant
from leadseam.wire.link import Link, dial, listen
from leadseam.wire.messages import Hello
from leadseam.wire.traffic import Traffic
from tools.ports import LOOPBACK

TIMEOUT_S = 60


def agent() -> Agent:
    """Return an agent for a configured upstream on whose port nothing listens."""
    made = Agent(
        node="sidecar",
        incarnation=1,
        upstream_name="u",
        clock=ManualClock(),
        metrics=SidecarMetrics(Metrics()),
    )
    made.breaker.probe_succeeded(0)
    row = Upstream("u", "p", LOOPBACK, 9, LOOPBACK, 9, slots=1)
    pool = Pool("p", PoolKind.SERVICE)
    made.configure(Configuration(1, pools={"p": pool}, upstreams={"u": row}))
    return made


async def request_grant(link: Link) -> int:
    """Request a slot and return the number of the grant."""
    link.send(Hello("entry", 1))
    link.send(Backlog((BacklogRow("a", 1, 0),)))
    async for message in link.messages():
        if isinstance(message, Grant):
            return message.grant
    raise AssertionError("the link ended")


async def test_work_fetched_ahead_of_a_dead_upstream_is_not_run() -> None:
    made = agent()
    traffic = Traffic()
    server = await listen(LOOPBACK, 0, made.serve, traffic)
    port = next(iter(server.sockets)).getsockname()[1]
    async with asyncio.timeout(TIMEOUT_S), dial(LOOPBACK, port, traffic) as link:
        grant = await request_grant(link)
        for _ in range(MAX_FAILURES):
            made.breaker.request_failed(0)
        made._update_slots()
        link.send(Dispatch(1, grant, "a", "POST", "/", (), b"", False, 1, 0, 1_000))
        async for message in link.messages():
            if isinstance(message, Accepted):
                made._abort_hanging()
            if isinstance(message, Final):
                assert message == Final(1, 0, 0, "upstream_broken", started=False)
                break
        await made.wait_idle()
    server.close()
    await made.close()


async def test_an_attempt_cancelled_before_its_first_step_frees_its_slot() -> None:
    made = agent()
    traffic = Traffic()
    server = await listen(LOOPBACK, 0, made.serve, traffic)
    port = next(iter(server.sockets)).getsockname()[1]
    async with asyncio.timeout(TIMEOUT_S), dial(LOOPBACK, port, traffic) as link:
        grant = await request_grant(link)
        peer = next(iter(made._peers.values()))
        req = Dispatch(1, grant, "a", "POST", "/", (), b"", True, 1, 0, 1_000)
        made._handle(peer, req)
        assert made.scheduler.running == 1
        made._disconnect(peer)
        await made.wait_idle()
    assert made.scheduler.is_idle()
    server.close()
    await made.close()
