"""Responses to callers."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from leadseam.routing.reply import CallerGoneError, Reply


async def test_a_caller_that_leaves_before_the_last_chunk_is_reported_as_gone() -> None:
    async def write_eof() -> None:
        raise ConnectionResetError("closing")

    reply = Reply(
        cast("Any", SimpleNamespace()),
        prepare=lambda _: None,
        now=lambda: 0,
        last_event=None,
    )
    reply._response = cast("Any", SimpleNamespace(write_eof=write_eof))
    with pytest.raises(CallerGoneError):
        await reply.end(cast("Any", SimpleNamespace()))
