"""Costs of the parts without I/O: messages, decisions, and the state they hold."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from leadseam.control.claims import Acquire
from leadseam.control.configuration import Account, Put
from leadseam.control.routes import EngineProfile
from leadseam.control.state import Change, Claims, ControlState
from leadseam.entry.queue import WaitingQueue
from leadseam.entry.request import CallerRequest, Priority, WaitingRequest
from leadseam.fairness.ledger import Ledger
from leadseam.fairness.merge import ServiceMerge
from leadseam.fairness.picker import Picker
from leadseam.incarnation import Incarnation
from leadseam.routing.balance import Balancer
from leadseam.routing.dialect import PromptPart
from leadseam.routing.load import Load
from leadseam.routing.scope import Scope
from leadseam.sidecar.scheduler import Scheduler
from leadseam.wire.codec import decode_frame, encode, encode_frame
from leadseam.wire.dispatch import (
    Backlog,
    BacklogRow,
    Chunk,
    Grant,
    OthersService,
    Service,
    ServiceRow,
)
from leadseam.wire.feed import Current, Delta, LoadRow, LoadSums, UsageRow
from tests.routing.samples import make_request, make_upstream
from tools.slopes.sampling import measure_cpu, measure_memory

if TYPE_CHECKING:
    from collections.abc import Callable

ENGINES = (39, 156, 624)
ACCOUNTS = (50, 200, 800)


def service_rows(count: int) -> tuple[ServiceRow, ...]:
    """Return rows with counters as large as after a month of service."""
    return tuple(
        ServiceRow(f"account-{number:04d}", 10**12 + number, 10**6, 10**9)
        for number in range(count)
    )


def frame_size(count: int) -> float:
    """Return the bytes of a frame with this many service rows."""
    return float(len(encode_frame([Service(service_rows(count))])))


def backlog_size(count: int) -> float:
    """Return the bytes of a frame with this many backlog rows."""
    rows = tuple(BacklogRow(f"account-{n:04d}", 40, 30_000) for n in range(count))
    return float(len(encode_frame([Backlog(rows)])))


def snapshot_size(count: int) -> float:
    """Return the bytes of a snapshot with this many accounts."""
    return float(len(state_with(count).save()))


def state_with(count: int) -> ControlState:
    """Return a control state with this many accounts."""
    state = ControlState()
    rows = tuple(
        Put(Account(f"account-{n:04d}", key_hashes=(f"{n:064x}",)))
        for n in range(count)
    )
    state.apply(Change("seed", 0, rows, "anna"))
    return state


def cpu_service_codec(count: int) -> float:
    """Return the cost of encoding and decoding a frame of service rows."""
    message = Service(service_rows(count))

    def workload() -> None:
        decode_frame(encode_frame([message]))

    return measure_cpu(workload, 40)


def cpu_merge(count: int) -> float:
    """Return the cost of merging and reporting rows at an entry with 10 sidecars."""
    merge = ServiceMerge()
    rows = service_rows(count)
    for number in range(10):
        merge.connect(f"s{number}", 1)
        merge.update(f"s{number}", rows)
    names = [row.account for row in rows]
    tick = iter(range(1, 10**9))

    def workload() -> None:
        grown = next(tick)
        changed = [ServiceRow(n, 10**13 + grown, 0, 0) for n in names]
        merge.update("s0", changed)
        merge.report("s1", names)

    return measure_cpu(workload, 20)


def cpu_grant(count: int) -> float:
    """Return the cost of one grant, start and finish; this many accounts wait."""
    ledger = Ledger()
    scheduler = Scheduler(ledger, Picker(ledger), lambda _: 1)
    scheduler.slots = 1
    for number in range(count):
        row = BacklogRow(f"account-{number:04d}", 10**6, 0)
        scheduler.set_backlog("entry-1", row, 0)

    def workload() -> None:
        (lease,) = scheduler.schedule(0)
        scheduler.start("entry-1", lease.grant, lease.account)
        ledger.charge(lease.account, 1_000)
        ledger.reserve(lease.account, -lease.reserved)
        scheduler.finish(lease.account, 1_000)

    return measure_cpu(workload, 100)


def cpu_change(count: int) -> float:
    """Return the cost of changing one account in a state with this many accounts."""
    state = state_with(count)
    versions = iter(range(1, 10**6))

    def workload() -> None:
        version = next(versions)
        operation = Put(Account("account-0000", share=1 + version % 9))
        state.apply(Change(f"c{version}", version, (operation,), "anna"))

    return measure_cpu(workload, 20)


def cpu_claim_batch(count: int) -> float:
    """Return the cost of encoding, decoding and applying this many claims at once."""
    state = ControlState()
    numbers = iter(range(1, 10**9))

    def workload() -> None:
        commands = tuple(
            Acquire("account-0001", f"key-{next(numbers)}", 1, "o" * 32)
            for _ in range(count)
        )
        state.apply(Claims(commands, 1))
        encode(commands)

    return measure_cpu(workload, 20)


def sums_size(count: int) -> float:
    """Return the bytes of shared sums: half of the rows are engines, half accounts."""
    half = count // 2
    rows = tuple(
        LoadRow(Incarnation(f"i-{n:010x}").digest(), 9, 9_000, 250_000)
        for n in range(half)
    )
    usage = tuple(UsageRow(f"acct{n:05}", 400_000, 900_000) for n in range(half))
    return float(len(encode(LoadSums(rows, usage))))


def cpu_place(count: int) -> float:
    """Return the cost of placing at this many engines, half of their slots in use."""
    rng = random.Random(1)
    balancer = Balancer(random.Random(1))
    profile = EngineProfile(slots=12, memory_tokens=559_032)
    rows = [
        msgspec.structs.replace(make_upstream(number), slots=profile.slots)
        for number in range(count)
    ]
    for row in rows:
        balancer.loads.begin(row.incarnation, Load(requests=rng.randrange(13)))

    def workload() -> None:
        parts = (
            PromptPart(f"subject-{rng.randrange(400)}", 568),
            PromptPart("own", 1_800),
        )
        req = replace(make_request(), parts=parts, tokens_in=2_368)
        order = balancer.orders.order_for(Scope("p"), rows, req)
        balancer.place(order, req, profile, 212, 0, ahead=100)

    return measure_cpu(workload, 2_000)


def waiting_requests(count: int) -> WaitingQueue:
    """Return a queue of requests with bodies of 2 KB, without their HTTP objects."""
    queue = WaitingQueue(max_bytes=10**12)
    for number in range(count):
        req = CallerRequest(
            account=f"account-{number % 100}",
            pool="rates-1",
            method="POST",
            path="/v1/chat/completions",
            headers=(("Content-Type", "application/json"),),
            body=bytes(2_048),
            priority=Priority.NORMAL,
            deadline=10**9,
            repeatable=True,
            arrived=number,
        )
        queue.enqueue(WaitingRequest(req, number))
    return queue


def claims_held(count: int) -> ControlState:
    """Return a control state that holds this many claims."""
    state = ControlState()
    commands = tuple(
        Acquire(f"account-{n % 100}", f"key-{n:08d}", n, f"{n:032x}")
        for n in range(count)
    )
    state.apply(Claims(commands, 1))
    return state


def merged_rows(count: int) -> ServiceMerge:
    """Return an entry's merge of 10 sidecars with this many accounts each."""
    merge = ServiceMerge()
    for number in range(10):
        merge.connect(f"s{number}", 1)
        merge.update(f"s{number}", service_rows(count))
    return merge


def compute_slopes() -> list[tuple[str, str, tuple[int, ...], Callable[[int], float]]]:
    """Return name, unit, sizes and measurement of each slope without I/O."""
    return [
        ("service frame", "B/row", ACCOUNTS, frame_size),
        ("backlog frame", "B/row", ACCOUNTS, backlog_size),
        ("snapshot", "B/account", ACCOUNTS, snapshot_size),
        ("service codec, both ends", "us/row", ACCOUNTS, cpu_service_codec),
        ("merge and report", "us/row", ACCOUNTS, cpu_merge),
        ("grant", "us/waiting account", ACCOUNTS, cpu_grant),
        ("apply a change", "us/account", ACCOUNTS, cpu_change),
        ("shared sums", "B/row", ACCOUNTS, sums_size),
        ("placing", "us/engine", ENGINES, cpu_place),
        ("claim batch", "us/claim", (16, 64, 256), cpu_claim_batch),
        (
            "waiting request, 2 KB body",
            "B/request",
            (500, 2_000, 8_000),
            lambda count: measure_memory(waiting_requests, count),
        ),
        (
            "claim held",
            "B/claim",
            (500, 2_000, 8_000),
            lambda count: measure_memory(claims_held, count),
        ),
        (
            "merge of 10 sidecars",
            "B/account",
            ACCOUNTS,
            lambda count: measure_memory(merged_rows, count),
        ),
    ]


def message_sizes() -> dict[str, int]:
    """Return the bytes of the single frames that CAPACITY.md refers to."""
    row = BacklogRow("account-0001", 40, 30_000)
    operation = Put(Account("account-0001", share=5, key_hashes=("f" * 64,)))
    return {
        "grant": len(encode_frame([Grant(123_456, "account-0001")])),
        "backlog row alone": len(encode_frame([Backlog((row,))])),
        "service row alone": len(encode_frame([Service(service_rows(1))])),
        "others row alone": len(encode_frame([OthersService(service_rows(1))])),
        "chunk less its 60 bytes": len(encode_frame([Chunk(123_456, 99, bytes(60))]))
        - 60,
        "feed heartbeat": len(encode_frame([Current(12_345)])),
        "feed change of an account": len(
            encode_frame([Delta(12_345, encode((operation,)))])
        ),
    }
