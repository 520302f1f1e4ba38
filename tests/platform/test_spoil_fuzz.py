"""Answers that are mutated at random reach no caller as what no run made."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tools.spoil.fuzz import run_seed
from tools.spoil.judge import Judge, Kind, Made
from tools.spoil.mutations import LINE_ENDS, Mutation

if TYPE_CHECKING:
    from pathlib import Path

ANSWERS = 800
OTHERS = frozenset(Mutation) - LINE_ENDS


@pytest.mark.parametrize("seed", [1, 2])
async def test_no_mutated_answer_passes_for_one_that_a_run_made(
    tmp_path: Path, seed: int
) -> None:
    result = await run_seed(tmp_path, seed, ANSWERS, mutations=OTHERS)
    assert not result.wrong, "\n".join([str(result), *result.wrong])
    assert result.kinds.total() == ANSWERS
    assert result.resumable["whole by another server"] > 0


async def test_no_answer_with_a_mutated_frame_passes_for_one_that_a_run_made(
    tmp_path: Path,
) -> None:
    result = await run_seed(tmp_path, 1, ANSWERS, mutations=LINE_ENDS)
    assert not result.wrong, "\n".join([str(result), *result.wrong])


HEAD = b"HTTP/1.1 200 OK\r\n"


def run(name: str, first: int = 1, *, sent: bytes = b"") -> Made:
    """Return a run that made the events of a stream of three from a number on."""
    blocks = tuple(event(name, number) for number in range(first, 4))
    return Made(first, blocks, sent, Mutation.NONE)


def event(name: str, number: int) -> bytes:
    return b"id: %d\ndata: %b %d\n\n" % (number, name.encode(), number)


def judge(body: bytes, *made: Made, cut: bool = False) -> Kind:
    judged = Judge(events=3)
    judged.made["r"] = list(made)
    return judged.judge("r", 0 if cut else 200, body, cut=cut, is_stream=True).kind


A = [event("a", number) for number in range(4)]
B = [event("b", number) for number in range(4)]


@pytest.mark.parametrize(
    ("events", "cut", "kind"),
    [
        ([A[1], A[2], A[3]], False, Kind.WHOLE),
        ([A[1], B[2], B[3]], False, Kind.WHOLE),
        ([A[1], b": comment\n\n", A[2], A[3]], False, Kind.WHOLE),
        ([A[1], A[2]], True, Kind.BROKEN),
        ([A[1], A[2]], False, Kind.WRONG),
        ([], False, Kind.WRONG),
        ([A[1], A[2], B[3]], False, Kind.WRONG),
        ([A[1], B[2], A[3]], False, Kind.WRONG),
        ([A[1], A[1], A[2], A[3]], True, Kind.WRONG),
        ([A[1], A[3]], True, Kind.WRONG),
        ([A[2], A[1], A[3]], True, Kind.WRONG),
        ([A[1], b"data: none\n\n"], True, Kind.WRONG),
        ([A[1], b"\xff\n\n"], True, Kind.WRONG),
        ([A[1], b"id: 2\nid: 2\ndata: a 2\n\n"], True, Kind.WRONG),
        ([A[1], A[2][:-1]], True, Kind.WRONG),
        ([A[1], b"id: 2\ndata: other\n\n", A[3]], False, Kind.DATA),
        ([A[1], A[2], A[3], b"id: 4\ndata: a 4\n\n"], False, Kind.EXTRA),
    ],
)
def test_the_judge_knows_what_the_runs_of_a_request_made(
    events: list[bytes], cut: bool, kind: Kind
) -> None:
    assert judge(b"".join(events), run("a"), run("b", first=2), cut=cut) is kind


@pytest.mark.parametrize(
    ("sent", "kind"),
    [
        (HEAD + b"\r\n" + A[1], Kind.SHORT),
        (HEAD + b"Content-Length: %d\r\n\r\n" % len(A[1]) + A[1], Kind.SHORT),
        (HEAD + b"Content-Length: 99\r\n\r\n" + A[1], Kind.WRONG),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n12\r\n" + A[1], Kind.WRONG),
        (HEAD + b"\r\n" + A[1] + A[2], Kind.WRONG),
        (HEAD + b"\r\n" + A[1] + b"id: 2", Kind.WRONG),
    ],
)
def test_only_a_sound_answer_that_ends_early_may_end_early_at_the_caller(
    sent: bytes, kind: Kind
) -> None:
    assert judge(A[1], run("a", sent=sent)) is kind
