"""Early decision on the first request of a connection, from its raw bytes.

A busy entry refuses many requests. Answering one through the HTTP library takes a task,
a parser and a response object, which costs twice as much as searching the head for a
few fields. At hundreds of refusals a second, little processor time would be left for
the requests that the entry can serve. So the first request of a connection may be
refused from its bytes, or its connection handed over to another entry; every other
request goes to the library unchanged.
"""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

from leadseam.handover.sender import FirstRequest
from leadseam.handover.targets import HandOver
from leadseam.outcome import NotRun
from leadseam.platform import names
from leadseam.platform.headers import read_key, read_number, read_tokens
from leadseam.platform.refusal import encode_refusal
from leadseam.routing.dialect import Sender
from leadseam.runtime.held_connection import CONNECTION_PRICE, peer_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.web_protocol import RequestHandler

    from leadseam.peers.account import Holding, Shortage
    from leadseam.runtime.peer_guard import PeerGuard

    Decide = Callable[[Sender], NotRun | HandOver | None]
    PassOn = Callable[[HandOver, asyncio.Transport, Holding, FirstRequest], bool]

HEAD_TERMINATOR = b"\r\n\r\n"
_FIELD = re.compile(
    rb"\r\n(content-length|transfer-encoding|expect|%b):[ \t]*([^\r\n]*)"
    % b"|".join(
        re.escape(name.lower().encode())
        for name in (
            names.REQUEST_ID,
            names.AUTHORIZATION,
            names.TOKENS,
            names.PROMPT_PARTS,
            names.DEADLINE,
        )
    ),
    re.IGNORECASE,
)
"""The header fields that are read before the library parses a request."""
_LENGTH = re.compile(r"[0-9]{1,18}")
"""A length that fits into 64 bits; converting one of thousands of digits would fail."""


@dataclass(frozen=True, slots=True)
class FirstHead:
    """The parts of a request head that an early refusal needs.

    Args:
        sender: Who sends the request, and how many tokens it asks for.
        body_left: Bytes of the body that have not been received yet.
    """

    sender: Sender
    body_left: int


def read_first_head(data: bytes) -> FirstHead | None:
    """Parse a request head from the first bytes of a connection.

    Returns:
        The head, or None if the library has to parse the request: if the head is
        incomplete, repeats a field, uses `Transfer-Encoding` or `Expect`, has an
        invalid `Content-Length`, or if the bytes go beyond the body.
    """
    head, end, body = data.partition(HEAD_TERMINATOR)
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
    if not _LENGTH.fullmatch(length) or len(body) > int(length):
        return None
    return FirstHead(_sender(fields, int(length)), int(length) - len(body))


def _sender(fields: dict[bytes, str], body_size: int) -> Sender:
    def field(name: str) -> str:
        return fields.get(name.lower().encode(), "")

    tokens_in, tokens_out = read_tokens(field(names.TOKENS))
    return Sender(
        field(names.REQUEST_ID),
        read_key(field(names.AUTHORIZATION) or None),
        tokens_in=tokens_in,
        tokens_out=tokens_out,
        max_wait=read_number(field(names.DEADLINE) or None),
        body_size=body_size,
    )


class FirstBytes(asyncio.Protocol):
    """Refuses the first request of a connection, or passes the connection on.

    It goes to the HTTP library, or to another entry.

    Args:
        make_handler: Creates the library's protocol for the holding of a connection.
        guard: Account of the process.
        decide: Returns the refusal of a request, where to hand its connection over, or
            None if it is to be served.
        pass_on: Hands a connection over with its first request; returns whether it did.
        waiting: Set that holds this connection until its first request is refused or
            passed on.

    Attributes:
        since: When the connection was opened, by the event loop's time in seconds.
    """

    def __init__(
        self,
        make_handler: Callable[[Holding], RequestHandler],
        guard: PeerGuard,
        decide: Decide,
        pass_on: PassOn,
        waiting: set[FirstBytes],
    ) -> None:
        self._make_handler = make_handler
        self._guard = guard
        self._holding: Holding | None = None
        self._decide = decide
        self._pass_on = pass_on
        self._waiting = waiting
        self._transport: asyncio.Transport | None = None
        self.since = asyncio.get_running_loop().time()
        self._response = b""
        self._body_left = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first bytes, or close if there is no room for a connection."""
        self._transport = cast("asyncio.Transport", transport)
        self._holding = self._guard.open(self, "", CONNECTION_PRICE)
        if self._holding is None:
            self._transport.close()
            return
        self._waiting.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the waiting ones."""
        self._stop_waiting()
        if self._holding is not None:
            self._guard.close(self._holding)

    def shed(self, _: Shortage) -> None:
        """Close the connection, as others need what it holds."""
        self.close()

    def data_received(self, data: bytes) -> None:
        """Refuse the request, drain its body, or pass the connection on."""
        if self._holding is None:
            return
        if self._response:
            # A caller may not read a response that is sent before its body is drained.

            self._body_left -= len(data)
            self._respond_if_read()
            return
        head = read_first_head(data)
        decision = self._decide(head.sender) if head is not None else None
        match decision:
            case NotRun():
                assert head is not None
                self._response = encode_refusal(decision)
                self._body_left = head.body_left
                self._respond_if_read()
            case HandOver():
                assert head is not None
                self._to_other_entry(decision, head, data)
            case None:
                self._to_library(data)

    def note_address(self) -> None:
        """Look up the address of the peer; refused connections do without."""
        holding, transport = self._holding, self._transport
        if holding is not None and transport is not None and not holding.address:
            holding.address = peer_address(transport)

    def close(self) -> None:
        """Close the connection."""
        self._stop_waiting()
        if self._transport is not None:
            self._transport.close()

    def _respond_if_read(self) -> None:
        if self._body_left <= 0 and self._transport is not None:
            self._transport.write(self._response)
            self.close()

    def _to_other_entry(self, decision: HandOver, head: FirstHead, data: bytes) -> None:
        assert self._transport is not None
        assert self._holding is not None
        first = FirstRequest(data, head.body_left, head.sender.max_wait)
        if self._pass_on(decision, self._transport, self._holding, first):
            self._stop_waiting()
        else:
            self._to_library(data)

    def _to_library(self, data: bytes) -> None:
        assert self._transport is not None
        assert self._holding is not None
        self._stop_waiting()
        handler = self._make_handler(self._holding)
        self._transport.set_protocol(handler)
        handler.connection_made(self._transport)
        handler.data_received(data)

    def _stop_waiting(self) -> None:
        self._waiting.discard(self)
