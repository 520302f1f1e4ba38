"""Judges what a caller got by what the runs of its request made. No I/O."""

from __future__ import annotations

import re
from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

from tools.spoil.mutations import CRLF, HEAD_END, Mutation

COUNTER = "leadseam-weight-versions"
"""Field of an event whose value is a whole number."""
_NUMBER = re.compile(r"0|[1-9][0-9]{0,17}")
_STATUS = re.compile(rb"HTTP/1\.[01] ([0-9]{3})(?: .*)?")
_BLOCK = re.compile(rb"(.*?)(?:\r\n|\n|\r)(?:\r\n|\n|\r)", re.DOTALL)
_LINE_END = re.compile(r"\r\n|\n|\r")
_NO_BODY = (204, 304)


class Kind(StrEnum):
    """What a caller got.

    `WHOLE`, `BROKEN`, `REFUSED`: what a run made, as far as it came. `WRONG`: what no
    run made, or in another order, or part of it as if it were whole. The others differ
    from what a run made in a way that the bytes of the server do not show: `DATA` in
    the data of an event that is sound, `EXTRA` in an event with the due number behind
    the last, `SHORT` in the end of a sound answer behind an event, `PLAIN` in a plain
    body in a sound frame.
    """

    WHOLE = "whole"
    BROKEN = "broken"
    REFUSED = "refused"
    WRONG = "wrong"
    DATA = "undecidable_data"
    EXTRA = "undecidable_extra"
    SHORT = "undecidable_short"
    PLAIN = "undecidable_plain"


@dataclass(frozen=True, slots=True)
class Made:
    """What one run made, and what its server sent.

    Args:
        first: Number of its first event; 0 for a plain answer.
        blocks: Its events, or its plain body as the only one.
        sent: All bytes that the server sent, or means to send.
        mutation: How they were mutated.
    """

    first: int
    blocks: tuple[bytes, ...]
    sent: bytes
    mutation: Mutation

    def has(self, number: int, event: dict[str, str]) -> bool:
        """Return whether it made an event."""
        position = number - self.first
        if not 0 <= position < len(self.blocks):
            return False
        return _read_event(self.blocks[position][:-2]) == event


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a caller got, and what is wrong with it."""

    kind: Kind
    detail: str = ""


@dataclass
class Judge:
    """Keeps what the runs of each request made.

    Args:
        events: Number of events of a whole stream.
        made: Runs by request, in the order in which they began.
    """

    events: int
    made: dict[str, list[Made]] = field(default_factory=lambda: defaultdict(list))

    def judge(
        self, request_id: str, status: int, body: bytes, *, cut: bool, is_stream: bool
    ) -> Verdict:
        """Judge an answer.

        Args:
            request_id: Identifier of the request.
            status: Its status; 0 if the connection was cut.
            body: What the caller got of the body.
            cut: Whether the connection was cut before the end of the answer.
            is_stream: Whether an event stream was due.
        """
        made = self.made.get(request_id, [])
        if not cut and not 200 <= status < 300:
            return Verdict(Kind.REFUSED, str(status))
        if is_stream:
            return self._judge_stream(made, body, complete=not cut)
        if cut:
            return Verdict(Kind.BROKEN)
        if any(body == b"".join(one.blocks) for one in made):
            return Verdict(Kind.WHOLE)
        if any(decode_answer(one.sent) == (status, body) for one in made):
            return Verdict(Kind.PLAIN)
        return Verdict(Kind.WRONG, f"plain body {body!r}")

    def _judge_stream(
        self, made: list[Made], body: bytes, *, complete: bool
    ) -> Verdict:
        blocks, rest = split_blocks(body)
        due, run, doubt = 1, None, None
        for block in blocks:
            event = _read_event(block)
            if event == {}:
                continue
            if event is None or "id" not in event:
                return Verdict(Kind.WRONG, f"no event of a run: {block!r}")
            if event["id"] != str(due):
                return Verdict(Kind.WRONG, f"{due} was due: {block!r}")
            makers = [one for one in made if one.has(due, event)]
            if not makers:
                doubt = Kind.DATA if due <= self.events else Kind.EXTRA
                run = None
            elif run not in makers:
                starts = [one for one in makers if one.first == due]
                if run is None and doubt is not None:
                    # The event before may be of any of them.
                    starts = makers
                if not starts:
                    return Verdict(Kind.WRONG, f"joins another run: {block!r}")
                run = starts[-1]
            due += 1
        if _is_part(rest):
            return Verdict(Kind.WRONG, f"a part of an event: {rest!r}")
        if not complete:
            return Verdict(doubt or Kind.BROKEN)
        if due == 1:
            return Verdict(Kind.WRONG, "complete without an event")
        if due <= self.events:
            if not any(_ends_behind(one, due - 1) for one in made):
                return Verdict(Kind.WRONG, f"complete ahead of event {due}")
            return Verdict(Kind.SHORT)
        return Verdict(doubt or Kind.WHOLE)


def states_numbers(sent: bytes) -> bool:
    """Return whether a sound answer says that it has events, and numbers the first one.

    Who knows neither the route nor the request of an answer has nothing else to tell
    what is due in it.
    """
    head = sent.partition(HEAD_END)[0]
    types = [
        value.partition(b";")[0].strip(b" \t").lower()
        for name, _, value in (line.partition(b":") for line in head.split(CRLF))
        if name.lower() == b"content-type"
    ]
    decoded = decode_answer(sent)
    if decoded is None or types != [b"text/event-stream"]:
        return False
    events = map(_read_event, split_blocks(decoded[1])[0])
    first = next((event for event in events if event != {}), None)
    return first is not None and first.get("id") in ("0", "1")


def split_blocks(body: bytes) -> tuple[list[bytes], bytes]:
    """Return the blocks of a stream, each without its end, and what follows them."""
    blocks = []
    end = 0
    for match in _BLOCK.finditer(body.removeprefix(b"\xef\xbb\xbf")):
        blocks.append(match[1])
        end = match.end()
    return blocks, body.removeprefix(b"\xef\xbb\xbf")[end:]


def decode_answer(sent: bytes) -> tuple[int, bytes] | None:
    """Return status and body of an answer whose frame is sound, or None.

    Bytes behind the end of the answer are not read.
    """
    head, end, rest = sent.partition(HEAD_END)
    status_line, *lines = head.split(CRLF)
    status = _STATUS.fullmatch(status_line)
    if not end or status is None:
        return None
    headers: dict[str, list[str]] = defaultdict(list)
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon:
            return None
        headers[name.decode("latin-1").lower()].append(
            value.decode("latin-1").strip(" \t")
        )
    body = _decode_body(headers, rest)
    if int(status[1]) in _NO_BODY:
        body = b""
    return None if body is None else (int(status[1]), body)


def _decode_body(headers: dict[str, list[str]], rest: bytes) -> bytes | None:
    if codings := headers.get("transfer-encoding"):
        return _decode_chunks(rest) if codings[-1].lower() == "chunked" else None
    lengths = set(headers.get("content-length", []))
    if not lengths:
        return rest
    length = lengths.pop()
    if lengths or not re.fullmatch("[0-9]+", length) or int(length) > len(rest):
        return None
    return rest[: int(length)]


def _decode_chunks(rest: bytes) -> bytes | None:
    body = b""
    while True:
        line, end, rest = rest.partition(CRLF)
        if not end or not re.fullmatch(rb"[0-9a-fA-F]+(?:;.*)?", line):
            return None
        size = int(line.partition(b";")[0], 16)
        if not size:
            return body if rest.startswith(CRLF) else None
        if rest[size : size + 2] != CRLF:
            return None
        body += rest[:size]
        rest = rest[size + 2 :]


def _read_event(block: bytes) -> dict[str, str] | None:
    """Return the fields of an event, none for comments, or None if it is not sound."""
    try:
        text = block.decode()
    except UnicodeDecodeError:
        return None
    event: dict[str, str] = {}
    for line in _LINE_END.split(text):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if not name or name == "retry":
            continue
        if name == "data" and "data" in event:
            event["data"] += "\n" + value
            continue
        if name not in ("data", "event", "id", COUNTER):
            return None
        if name in (COUNTER, "id") and not _NUMBER.fullmatch(value):
            return None
        if name == "id" and "id" in event:
            return None
        event[name] = value
    return event if not event or "data" in event else None


def _is_part(rest: bytes) -> bool:
    lines = rest.replace(b"\r", b"\n").split(b"\n")
    return any(line and not line.startswith(b":") for line in lines)


def _ends_behind(made: Made, number: int) -> bool:
    """Return whether its server sent a sound answer that ends behind a number."""
    decoded = decode_answer(made.sent)
    if decoded is None:
        return False
    blocks, rest = split_blocks(decoded[1])
    events = [event for event in map(_read_event, blocks) if event != {}]
    if _is_part(rest) or None in events:
        return False
    last = events[-1] if events else {"id": str(made.first - 1)}
    return last is not None and last.get("id") == str(number)
