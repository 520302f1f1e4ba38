"""Refusals that callers receive, and the descriptors and children of processes."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
from typing import TYPE_CHECKING, Any

from tools.ports import LOOPBACK
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.fleet import Fleet

CHAT = "/v1/chat/completions"


async def refusal(
    fleet: Fleet,
    path: str,
    body: bytes,
    headers: dict[str, str] | None = None,
    account: str = "tellers",
) -> tuple[int, str, str]:
    """Send a request that will be refused; return status, code and outcome."""
    status, answer = await fleet.post("entry-1", path, account, body, headers)
    error = json.loads(answer)["error"]
    return status, error["code"], error["outcome"]


def chat(model: Any) -> bytes:
    """Return the body of a chat request for a model."""
    return json.dumps({"model": model, "messages": []}).encode()


async def test_refusals_have_stable_codes(small_fleet: Fleet) -> None:
    fleet = small_fleet
    no_key = {"Authorization": ""}
    late = {"X-Leadseam-Deadline-Ms": "soon"}
    odd_class = {"X-Leadseam-Class": "royal"}
    cases: list[tuple[tuple[Any, ...], tuple[int, str]]] = [
        ((CHAT, chat("rates"), no_key), (401, "no_key")),
        ((CHAT, chat("rates"), None, "stranger"), (401, "wrong_key")),
        ((CHAT, chat("nothing")), (404, "unknown_model")),
        ((CHAT, chat("rates:9")), (404, "unknown_model")),
        ((CHAT, b"{"), (400, "malformed_body")),
        ((CHAT, b"[]"), (400, "malformed_body")),
        ((CHAT, chat(7)), (400, "malformed_body")),
        ((CHAT, b"\xff\xfe"), (400, "malformed_body")),
        ((CHAT, b"[" * 200_000), (400, "malformed_body")),
        ((CHAT, chat("rates"), late), (400, "malformed_header")),
        ((CHAT, chat("rates"), odd_class), (400, "malformed_header")),
        ((CHAT, bytes(5 * 1024 * 1024)), (413, "body_too_large")),
        (("/services/rates-1/x", b""), (404, "unknown_service")),
        (("/services/none/x", b""), (404, "unknown_service")),
    ]
    for args, (status, code) in cases:
        assert await refusal(fleet, *args) == (status, code, "not_run")
    values = await fleet.metric("entry-1", "refusals_total")
    assert values['reason="unknown_model"'] == 2.0
    assert await fleet.runs() == {}


async def test_undecodable_header_does_not_affect_other_requests(fleet: Fleet) -> None:
    fleet.add_control()
    fleet.add_pool("rates-1", model="rates")
    fleet.add_upstream("engine-1", pool="rates-1", kind="engine", token_interval=20)
    fleet.add_account("tellers", models=("rates",))
    fleet.add_entry("entry-1")
    await fleet.start_all()
    other = asyncio.create_task(fleet.chat("entry-1", "tellers", "rates", tokens=60))
    await wait_until(lambda: engine_busy(fleet), "the engine is busy")
    body = chat("rates")
    port = fleet.nodes["entry-1"].admin
    for name in (b"X-Odd", b"Idempotency-Key"):
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer key-tellers\r\nX-Leadseam-Repeatable: no\r\n"
            + name
            + b": \xff\xfe\r\nContent-Length: %d\r\n\r\n" % len(body)
            + body
        )
        assert b" 400 " in await reader.readline()
        writer.close()
    status, answer = await other
    assert (status, answer.endswith(b"data: [DONE]\n\n")) == (200, True)


async def test_models_of_others_are_not_allowed(fleet: Fleet) -> None:
    fleet.add_control()
    fleet.add_pool("rates-1", model="rates")
    fleet.add_upstream("engine-1", pool="rates-1", kind="engine")
    fleet.add_account("tellers", models=("rates",))
    fleet.add_account("screens")
    fleet.add_entry("entry-1")
    await fleet.start_all()
    result = await refusal(fleet, CHAT, chat("rates"), account="screens")
    assert result == (403, "model_not_allowed", "not_run")
    status, _ = await fleet.chat("entry-1", "tellers", "rates:1")
    assert status == 200


async def test_limits_refuse_immediately_with_a_retry_time(fleet: Fleet) -> None:
    fleet.add_control()
    fleet.add_pool("rates-1", model="rates")
    fleet.add_upstream(
        "engine-1", pool="rates-1", kind="engine", slots=1, token_interval=50
    )
    fleet.add_account("menus", models=("rates",), max_waiting=3)
    fleet.add_entry("entry-1")
    await fleet.start_all()
    flood = [
        asyncio.create_task(fleet.chat("entry-1", "menus", "rates", tokens=100))
        for _ in range(12)
    ]
    done, _ = await asyncio.wait(flood, return_when=asyncio.FIRST_COMPLETED)
    status, body = next(iter(done)).result()
    error = json.loads(body)["error"]
    assert (status, error["code"]) == (429, "account_queue_full")
    assert error["retry_after_ms"] >= 1_000
    deadline = {"X-Leadseam-Deadline-Ms": "50"}
    for task in flood:
        task.cancel()
    await wait_until(lambda: nothing_waits(fleet), "the flood is gone")
    # The last cancelled request may still occupy the slot, which would go to the next
    # waiting request when it ends.
    await wait_until(lambda: engine_idle(fleet), "the flood's last request has ended")
    slow = asyncio.create_task(fleet.chat("entry-1", "menus", "rates", tokens=60))
    await wait_until(lambda: engine_busy(fleet), "the engine is busy")
    passed = await refusal(fleet, CHAT, chat("rates"), deadline, account="menus")
    assert passed == (504, "deadline_passed", "not_run")
    slow.cancel()


async def test_missing_upstream_is_reported_immediately(small_fleet: Fleet) -> None:
    fleet = small_fleet
    fleet.nodes["sidecar-engine-1"].kill()
    await wait_until(lambda: sees_no_engine(fleet), "the entry lost the sidecar")
    result = await refusal(fleet, CHAT, chat("rates"))
    assert result == (503, "no_upstream", "not_run")


async def test_processes_open_no_io_uring_and_have_no_children(
    small_fleet: Fleet,
) -> None:
    for node in small_fleet.nodes.values():
        proc = Path("/proc") / str(node.pid)
        links = [os.readlink(fd) for fd in (proc / "fd").iterdir()]
        assert not [link for link in links if "io_uring" in link]
        assert not [link for link in links if "/dev/shm" in link]
        children = [
            (task / "children").read_text() for task in (proc / "task").iterdir()
        ]
        assert "".join(children).strip() == ""


async def nothing_waits(fleet: Fleet) -> bool:
    """Return whether no request waits at the entry."""
    values = await fleet.metric("entry-1", "waiting_requests")
    return values[""] == 0.0


async def engine_busy(fleet: Fleet) -> bool:
    """Return whether the engine is processing a request."""
    async with fleet.http.get(fleet.url("engine-1", "/standin")) as resp:
        return bool((await resp.json())["busy"])


async def engine_idle(fleet: Fleet) -> bool:
    """Return whether the engine processes no request."""
    return not await engine_busy(fleet)


async def sees_no_engine(fleet: Fleet) -> bool:
    """Return whether the entry considers the engine's sidecar unusable."""
    values = await fleet.metric("entry-1", "sidecar_usable")
    return values['upstream="engine-1"'] == 0.0
