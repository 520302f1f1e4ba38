"""Whether the head of an upstream's answer can be passed on. No I/O.

The HTTP library accepts more than a caller should get: any three digits as a status,
and transfer codings that it does not decode.
"""

from __future__ import annotations

import re
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from multidict import MultiMapping

FINAL_STATUSES = range(200, 600)
"""Statuses of final answers. Below 200 are interim ones, and 101, which changes the
protocol of a connection and which no request asks for."""
READ_CODINGS = frozenset({"chunked", "identity"})
"""Values of `Transfer-Encoding` that leave the body as the upstream made it."""

_UNSAFE_VALUE = re.compile("[\x00-\x08\x0a-\x1f\x7f\ud800-\udfff]")
"""Control characters but the tab, and bytes that are not UTF-8."""


class HeadFault(StrEnum):
    """Why an answer is not the one due, by its head.

    `OTHER_REQUEST`: it states another request's id, none, or several. `UNSIGNED`: it is
    a success without one signature of the upstream. `ENCODED`: its body has a content
    encoding or transfer coding, which no request asks for. `NO_EVENTS`: its body is no
    event stream, where one is due. `INVALID_STATUS`: its status is none of a final
    answer. `MALFORMED`: it has a header that cannot be passed on unchanged.
    `UNREADABLE`: it is no HTTP.
    """

    OTHER_REQUEST = "other_request"
    UNSIGNED = "unsigned"
    ENCODED = "encoded"
    NO_EVENTS = "no_events"
    INVALID_STATUS = "invalid_status"
    MALFORMED = "malformed"
    UNREADABLE = "unreadable"


def read_head_fault(status: int, headers: MultiMapping[str]) -> HeadFault | None:
    """Return why no answer with this head can be passed on, or None if it can be.

    Args:
        status: Status of the answer.
        headers: Its headers, with bytes that are not UTF-8 as surrogates.
    """
    if status not in FINAL_STATUSES:
        return HeadFault.INVALID_STATUS
    for name, value in headers.items():
        # A space behind the name would hide it from whoever compares names.
        if name != name.strip() or _UNSAFE_VALUE.search(value):
            return HeadFault.MALFORMED
    codings = headers.getall("Transfer-Encoding", [])
    if len(codings) > 1 or any(one.lower() not in READ_CODINGS for one in codings):
        return HeadFault.ENCODED
    return None
