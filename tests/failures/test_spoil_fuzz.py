"""Answers that are mutated at random pass through no sidecar as what no run made."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tools.spoil.judge import states_numbers
from tools.spoil.sidecar_fuzz import run_seed

if TYPE_CHECKING:
    from pathlib import Path

ANSWERS = 300
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


@pytest.mark.parametrize("seed", [1, 2])
async def test_no_caller_behind_a_sidecar_gets_what_no_run_of_its_request_made(
    tmp_path: Path, seed: int
) -> None:
    result = await run_seed(tmp_path, seed, ANSWERS)
    assert not result.wrong, "\n".join([str(result), *result.wrong])
    # One mutated and one sound answer for each call.
    assert result.kinds.total() == 2 * ANSWERS
    assert result.kinds["mutated stream: broken"] > 0


@pytest.mark.parametrize(
    ("sent", "stated"),
    [
        (HEAD + b"id: 1\ndata: a\n\n", True),
        (HEAD + b": comment\n\nid: 0\ndata: a\n\n", True),
        (HEAD.replace(b"\r\n\r\n", b"; charset=utf-8\r\n\r\n") + b"id: 1\n\n", False),
        (HEAD + b"id: 3\ndata: a\n\n", False),
        (HEAD + b"data: a\n\n", False),
        (HEAD, False),
        (HEAD.replace(b"event-stream", b"plain") + b"id: 1\ndata: a\n\n", False),
    ],
)
def test_only_a_stream_that_numbers_its_first_event_says_which_are_due(
    sent: bytes, stated: bool
) -> None:
    assert states_numbers(sent) is stated
