"""Sends a request to one upstream and classifies the answer."""

from __future__ import annotations

import errno
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

import aiohttp

from leadseam.answer_head import HeadFault, read_head_fault
from leadseam.control.routes import ReplyForm
from leadseam.outcome import Reason
from leadseam.routing.client import WithheldError
from leadseam.runtime.upstream_connection import read_end

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.answer_end import AnswerEnd
    from leadseam.routing.client import MaySend, UpstreamClient
    from leadseam.routing.dialect import (
        AnswerHead,
        AttemptHead,
        Dialect,
        Headers,
        RoutedRequest,
    )
    from leadseam.wire.feed import Registration

MAX_BUFFERED = 1024 * 1024
"""Bytes of an answer that are buffered until its end; longer answers are streamed."""
MAX_DRAINED = 64 * 1024
"""Bytes of an answer that is not passed on that are read to reuse its connection."""
FIRST_REDIRECTION = 300
"""Lowest status that is not a success."""
FIRST_SERVER_ERROR = 500
"""Lowest status that counts as a failure of the upstream."""
MISDIRECTED = 421
"""Status of an upstream that is not the incarnation that was addressed."""

LOCAL_FAULTS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors of opening a connection that are caused by this box, not by the upstream."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No byte of the request was sent.

    Args:
        local: Whether this box caused it, for lack of descriptors or memory.
        refused: Whether the upstream's address refused the connection.
    """

    local: bool = False
    refused: bool = False


@dataclass(frozen=True, slots=True)
class Withheld:
    """Nothing was sent, as the upstream must no longer get the request."""


@dataclass(frozen=True, slots=True)
class Declined:
    """The upstream declares that it did not run the request.

    Args:
        misdirected: Whether it states that it is not the upstream addressed.
    """

    misdirected: bool = False


@dataclass(frozen=True, slots=True)
class Broken:
    """There is no usable answer; the request may have run.

    Args:
        reason: Reason reported to the caller if this attempt was the last.
        end: How the body ended, or None if it was not read.
        head: Why its head is not the one due, or None if it is, or did not come.
    """

    reason: Reason
    end: AnswerEnd | None = None
    head: HeadFault | None = None


@dataclass(frozen=True, slots=True)
class Whole:
    """A complete answer of the upstream.

    Args:
        status: Its HTTP status.
        headers: Its end-to-end headers.
        body: Its body, at most `MAX_BUFFERED` bytes.
        end: How the body ended, or None if not known.
    """

    status: int
    headers: Headers
    body: bytes
    end: AnswerEnd | None = None


@dataclass(frozen=True, slots=True)
class Streaming:
    """A successful event stream, or an answer too large to buffer.

    Args:
        resp: The open response.
        headers: Its end-to-end headers.
        buffered: Bytes of the body that have already been read.
        events: Whether the body is an event stream.
        end: How the body ended, or None while it is open.
    """

    resp: aiohttp.ClientResponse
    headers: Headers
    buffered: bytes = b""
    events: bool = True
    end: AnswerEnd | None = None


Ending: TypeAlias = Withheld | Unreachable | Declined | Broken | Whole | Streaming


async def attempt(
    client: UpstreamClient,
    dialect: Dialect,
    req: RoutedRequest,
    body: bytes,
    *,
    upstream: Registration,
    head: AttemptHead,
    repeatable: bool,
    reply: ReplyForm,
    may_send: MaySend,
    on_head: Callable[[int, AnswerHead], None],
) -> Ending:
    """Send a request to an upstream and classify its answer.

    Args:
        client: HTTP client for upstreams.
        dialect: Reads and writes the headers of the wire format.
        req: The caller's request.
        body: Its body.
        upstream: Upstream to send it to.
        head: Values of the headers that the system itself adds.
        repeatable: Whether to reuse an idle connection, which may prove to be closed.
        reply: Form of a successful answer.
        may_send: Called with the connection before the first byte is written; if false,
            nothing is sent.
        on_head: Called with the status and head of any answer, good or not.

    Returns:
        How the attempt ended. The caller has to read or close a `Streaming` answer.
    """
    try:
        resp = await client.send(
            upstream.ip,
            upstream.port,
            method=req.method,
            target=req.target,
            headers=dialect.attempt_headers(req, head),
            body=body,
            repeatable=repeatable,
            may_send=may_send,
        )
    except WithheldError:
        return Withheld()
    except aiohttp.ClientConnectorError as exc:
        return Unreachable(
            local=exc.errno in LOCAL_FAULTS, refused=exc.errno == errno.ECONNREFUSED
        )
    except aiohttp.ConnectionTimeoutError:
        return Unreachable()
    except aiohttp.ClientResponseError:
        return Broken(Reason.UPSTREAM_BROKEN, head=HeadFault.UNREADABLE)
    except (aiohttp.ClientError, OSError, ValueError):
        return Broken(Reason.UPSTREAM_BROKEN)
    answer = dialect.read_answer(resp.status, resp.headers)
    on_head(resp.status, answer)
    return await _classify(answer, req, resp, reply)


async def _classify(
    answer: AnswerHead,
    req: RoutedRequest,
    resp: aiohttp.ClientResponse,
    reply: ReplyForm,
) -> Ending:
    if answer.request_id != req.request_id:
        resp.close()
        return Broken(Reason.UPSTREAM_BROKEN, head=HeadFault.OTHER_REQUEST)
    if answer.not_run or resp.status == MISDIRECTED:
        await _drain(resp)
        return Declined(misdirected=resp.status == MISDIRECTED)
    fault = _head_fault(answer, resp, reply)
    if fault is not None:
        resp.close()
        return Broken(Reason.UPSTREAM_BROKEN, head=fault)
    headers = end_to_end_headers(resp)
    if resp.status < FIRST_REDIRECTION and answer.event_stream:
        return Streaming(resp, headers)
    return await _buffer(resp, headers)


def _head_fault(
    answer: AnswerHead, resp: aiohttp.ClientResponse, reply: ReplyForm
) -> HeadFault | None:
    fault = read_head_fault(resp.status, resp.headers)
    if fault is not None:
        return fault
    success = resp.status < FIRST_REDIRECTION
    if answer.encoded:
        return HeadFault.ENCODED
    if success and not answer.signed:
        return HeadFault.UNSIGNED
    if success and reply is ReplyForm.EVENTS and not answer.event_stream:
        return HeadFault.NO_EVENTS
    return None


async def _buffer(resp: aiohttp.ClientResponse, headers: Headers) -> Ending:
    buffered = b""
    try:
        while data := await resp.content.readany():
            buffered += data
            if len(buffered) > MAX_BUFFERED:
                return Streaming(resp, headers, buffered, events=False)
    except (aiohttp.ClientError, OSError) as exc:
        resp.close()
        return Broken(Reason.UPSTREAM_BROKEN, read_end(resp, exc))
    except BaseException:
        resp.close()
        raise
    resp.release()
    return Whole(resp.status, headers, buffered, read_end(resp))


async def _drain(resp: aiohttp.ClientResponse) -> None:
    """Read a short body to its end so that the connection can be reused."""
    drained = 0
    try:
        while data := await resp.content.readany():
            drained += len(data)
            if drained > MAX_DRAINED:
                resp.close()
                return
    except (aiohttp.ClientError, OSError):
        resp.close()
    else:
        resp.release()


def end_to_end_headers(resp: aiohttp.ClientResponse) -> Headers:
    """Return the headers of a response without those that apply to one hop only."""
    return tuple(
        (str(name), str(value))
        for name, value in resp.headers.items()
        if name.lower() not in HOP_BY_HOP
    )
