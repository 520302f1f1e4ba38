"""A caller's new connection until its first request has come in.

A busy entry refuses many requests. To answer one through the HTTP library takes a task,
a parser and a response, which costs twice as much as to look for a few fields. Where an
entry gets hundreds of them a second little is left for those that it could serve. So
the first request of a connection may be refused from its bytes. All others go on to the
library untouched.
"""

from __future__ import annotations

import asyncio
import json
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

from leadseam.entry.error_responses import error_body, http_status
from leadseam.platform import names
from leadseam.platform.headers import read_key, read_parts, read_tokens
from leadseam.routing.dialect import Sender

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.web_protocol import RequestHandler

    from leadseam.outcome import NotRun

    Refuse = Callable[[Sender], NotRun | None]

HEAD_END = b"\r\n\r\n"
_FIELD = re.compile(
    rb"\r\n(content-length|transfer-encoding|expect|%b):[ \t]*([^\r\n]*)"
    % b"|".join(
        re.escape(name.lower().encode())
        for name in (
            names.REQUEST_ID,
            names.AUTHORIZATION,
            names.TOKENS,
            names.PROMPT_PARTS,
        )
    ),
    re.IGNORECASE,
)
"""The fields of a head that decide."""
REASONS = {429: "Too Many Requests", 503: "Service Unavailable"}


@dataclass(frozen=True, slots=True)
class FirstHead:
    """The head of a first request, as far as a refusal needs it.

    Args:
        sender: Who sends it, and how much work it is.
        body_left: Bytes of its body that have not come in yet.
    """

    sender: Sender
    body_left: int


def read_first_head(data: bytes) -> FirstHead | None:
    """Read a head from the first bytes of a connection.

    Returns:
        None if these bytes do not hold one whole head of a request with a plain length:
        the library has to read it then.
    """
    head, end, body = data.partition(HEAD_END)
    if not end:
        return None
    fields: dict[bytes, str] = {}
    for name, value in _FIELD.findall(head):
        if name.lower() in fields:
            return None
        fields[name.lower()] = value.decode("latin-1").strip()
    if b"transfer-encoding" in fields or b"expect" in fields:
        return None
    length = fields.get(b"content-length", "0")
    if not (length.isascii() and length.isdigit()) or len(body) > int(length):
        return None
    return FirstHead(_sender(fields), int(length) - len(body))


def _sender(fields: dict[bytes, str]) -> Sender:
    def field(name: str) -> str:
        return fields.get(name.lower().encode(), "")

    tokens_in, tokens_out = read_tokens(field(names.TOKENS))
    parts = read_parts(field(names.PROMPT_PARTS))
    return Sender(
        field(names.REQUEST_ID),
        read_key(field(names.AUTHORIZATION) or None),
        own_tokens=parts[-1].tokens if parts else tokens_in,
        tokens_out=tokens_out,
    )


def encode_refusal(refusal: NotRun) -> bytes:
    """Return the whole HTTP response of a refusal, which ends the connection."""
    body = json.dumps(error_body(refusal)).encode()
    status = http_status(refusal)
    lines = [
        f"HTTP/1.1 {status} {REASONS.get(status, '')}",
        "Content-Type: application/json; charset=utf-8",
        "X-Leadseam-Outcome: not_run",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if refusal.retry_after is not None:
        lines.append(f"{names.RETRY_AFTER}: {refusal.retry_after / 1_000:.3f}")
    return "\r\n".join(lines).encode() + HEAD_END + body


class FirstBytes(asyncio.Protocol):
    """Refuses the first request of a connection, or hands the connection over.

    Args:
        make_handler: Makes the library's protocol of a connection.
        refuse: Returns the refusal of a request, or None to have it served.
        waiting: Where connections are noted that have sent nothing yet.
        idle_s: Seconds after which such a connection is closed.
    """

    def __init__(
        self,
        make_handler: Callable[[], RequestHandler],
        refuse: Refuse,
        waiting: set[FirstBytes],
        idle_s: float,
    ) -> None:
        self._make_handler = make_handler
        self._refuse = refuse
        self._waiting = waiting
        self._idle_s = idle_s
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._answer = b""
        self._body_left = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first bytes."""
        self._transport = cast("asyncio.Transport", transport)
        self._waiting.add(self)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._idle_s, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._done()

    def data_received(self, data: bytes) -> None:
        """Refuse the request, read its body out, or hand all over."""
        if self._answer:
            # The caller may not read an answer that comes before its body is read.
            self._body_left -= len(data)
            self._end_if_read()
            return
        head = read_first_head(data)
        refusal = self._refuse(head.sender) if head is not None else None
        if head is None or refusal is None:
            self._hand_over(data)
            return
        self._answer = encode_refusal(refusal)
        self._body_left = head.body_left
        self._end_if_read()

    def close(self) -> None:
        """Close the connection."""
        self._done()
        if self._transport is not None:
            self._transport.close()

    def _end_if_read(self) -> None:
        if self._body_left <= 0 and self._transport is not None:
            self._transport.write(self._answer)
            self.close()

    def _hand_over(self, data: bytes) -> None:
        assert self._transport is not None
        self._done()
        handler = self._make_handler()
        self._transport.set_protocol(handler)
        handler.connection_made(self._transport)
        handler.data_received(data)

    def _done(self) -> None:
        self._waiting.discard(self)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
