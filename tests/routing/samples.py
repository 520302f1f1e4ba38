"""Literal requests, routes and upstreams for the tests of the data path."""

from __future__ import annotations

from leadseam.control.routes import PoolShare, Repeat, Route
from leadseam.incarnation import NO_START, Incarnation
from leadseam.routing.admitted import AdmittedRequest
from leadseam.routing.dialect import AnswerHead, PromptPart, RoutedRequest
from leadseam.wire.feed import Registration


def make_request(*parts: str, request_id: str = "r-1") -> RoutedRequest:
    """Return a request whose prompt has parts of 100 tokens each."""
    return RoutedRequest(
        request_id=request_id,
        host="a.example",
        method="POST",
        target="/chat/1",
        headers=(),
        key=None,
        max_wait=None,
        parts=tuple(PromptPart(part, 100) for part in parts),
        tokens_in=100 * len(parts),
        tokens_out=50,
        resume_after=None,
    )


def make_upstream(
    number: int, *, pool: str = "p", sequence: int = 1, start: int = NO_START
) -> Registration:
    """Return a ready upstream with its own address."""
    return Registration(
        incarnation=Incarnation(f"i-{number}", start),
        pool=pool,
        ip=f"10.0.0.{number}",
        port=80,
        failure_domain="d",
        slots=4,
        ready=True,
        sequence=sequence,
    )


def make_route(
    name: str,
    prefix: str,
    *pools: str,
    host: str = "a.example",
    time_limit: int = 1_000,
) -> Route:
    """Return a safe route to pools of equal weight."""
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        pools=tuple(PoolShare(pool) for pool in pools),
        repeat=Repeat.SAFE,
        max_attempts=2,
        time_limit=time_limit,
    )


def make_admitted(
    request_id: str = "r-1", *, arrived: int = 0, deadline: int = 5_000
) -> AdmittedRequest:
    """Return a request for the pool `p` that came in through a safe route."""
    return AdmittedRequest(
        req=make_request(request_id=request_id),
        body=b"{}",
        route=make_route("r", "/chat/", "p"),
        pool="p",
        account="bank",
        arrived=arrived,
        deadline=deadline,
    )


def make_head(
    *,
    request_id: str = "r-1",
    not_run: bool = False,
    pause: int = 0,
    invalid_pause: str = "",
    leaving: bool = False,
) -> AnswerHead:
    """Return the head of a signed answer."""
    return AnswerHead(
        request_id=request_id,
        not_run=not_run,
        signed=True,
        event_stream=False,
        pause=pause,
        invalid_pause=invalid_pause,
        leaving=leaving,
    )
