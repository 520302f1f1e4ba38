"""Answers that a stand-in sends with a chosen framing, end and length."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Self

from leadseam.answer_end import Framing
from leadseam.runtime.sockets import reset_connection
from leadseam.standin.spoilt_streams import Spoil

if TYPE_CHECKING:
    from aiohttp import web

PLAN_PREFIX = "plan-"
CRLF = b"\r\n"


class Finish(StrEnum):
    """What the server does once it has sent its bytes."""

    CLOSE = "close"
    RESET = "reset"
    HOLD = "hold"
    CRASH = "crash"


@dataclass(frozen=True, slots=True)
class AnswerPlan:
    """How a server sends one answer.

    Args:
        framing: What delimits the body.
        finish: What the server does after the last byte that it sends.
        sent: Bytes of the body that it sends; -1 for all of it and what ends it.
        crlf: Whether the lines of an event stream end with CR LF.
        number: Makes the path of each request unique.
        spoil: How an event stream is spoilt.
    """

    framing: Framing
    finish: Finish = Finish.CLOSE
    sent: int = -1
    crlf: bool = False
    number: int = 0
    spoil: Spoil = Spoil.NONE

    @property
    def whole(self) -> bool:
        """Whether the server sends its whole body."""
        return self.sent < 0

    def path(self) -> str:
        """Return the last component of the path that asks for this plan."""
        fields = (
            self.framing,
            self.finish,
            self.sent,
            int(self.crlf),
            self.number,
            self.spoil,
        )
        return PLAN_PREFIX + ",".join(map(str, fields))

    @classmethod
    def parse(cls, component: str) -> Self | None:
        """Return the plan that a component of a path asks for, or None."""
        if not component.startswith(PLAN_PREFIX):
            return None
        framing, finish, sent, crlf, number, spoil = component[
            len(PLAN_PREFIX) :
        ].split(",")
        return cls(
            Framing(framing),
            Finish(finish),
            int(sent),
            crlf == "1",
            int(number),
            Spoil(spoil),
        )

    def encode(self, status: int, headers: dict[str, str], body: bytes) -> bytes:
        """Return the bytes of the answer, as far as they are sent.

        Args:
            status: Status of the answer.
            headers: Its headers, without those that delimit the body.
            body: Its whole body.
        """
        sent = body if self.whole else body[: self.sent]
        framing = {}
        match self.framing:
            case Framing.LENGTH:
                framing["Content-Length"] = str(len(body))
            case Framing.CHUNKS:
                framing["Transfer-Encoding"] = "chunked"
                last = b"0\r\n\r\n" if self.whole else b""
                chunk = b"%x\r\n%b\r\n" % (len(sent), sent) if sent else b""
                sent = chunk + last
            case Framing.CONNECTION:
                pass
        if self.finish is Finish.CLOSE:
            # Without it, the next request may be sent on the connection as it closes.
            framing["Connection"] = "close"
        lines = [f"{name}: {value}" for name, value in (headers | framing).items()]
        head = CRLF.join(
            [f"HTTP/1.1 {status} Stated".encode(), *(line.encode() for line in lines)]
        )
        return head + CRLF + CRLF + sent

    def finish_connection(self, http: web.BaseRequest) -> None:
        """Close or reset the connection, as planned."""
        transport = http.transport
        if transport is None:
            return
        match self.finish:
            case Finish.RESET:
                reset_connection(transport)
            case Finish.CLOSE:
                transport.close()
            case Finish.HOLD | Finish.CRASH:
                return
