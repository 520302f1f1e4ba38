"""Headers of requests and responses on the platform.

Headers that only the system may set must not reach an upstream from a caller.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from aiohttp.test_utils import make_mocked_request
from multidict import CIMultiDict

from leadseam.answer_head import HeadFault, read_head_fault
from leadseam.platform.headers import (
    MAX_NUMBER,
    MAX_PAUSE,
    PlatformDialect,
    read_number,
    read_parts,
    read_pause,
    read_tokens,
)
from leadseam.routing.dialect import AnswerHead, AttemptHead

SYSTEM_HEADERS = (
    "Leadseam-Hold",
    "Leadseam-Pin-Ms",
    "Leadseam-Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
    "Leadseam-Tenant-Id",
    "Leadseam-Expect-Instance",
    "Leadseam-Deadline-Ms",
)

HEAD = AttemptHead(
    instance="i-1",
    account="bank",
    uses_account_keys=True,
    time_left=900,
    resume_after=None,
)


def sent_headers(*pairs: tuple[str, str]) -> list[tuple[str, str]]:
    """Return the headers that an upstream receives for a caller's headers."""
    headers = CIMultiDict([("Host", "h"), ("Leadseam-Request-Id", "r-1"), *pairs])
    dialect = PlatformDialect()
    req = dialect.read_request(make_mocked_request("POST", "/a/", headers=headers))
    assert req is not None
    return dialect.attempt_headers(req, HEAD)


@pytest.mark.parametrize("name", SYSTEM_HEADERS)
@pytest.mark.parametrize("change_case", [str, str.upper, str.lower, str.swapcase])
def test_a_forged_header_is_dropped(name: str, change_case: type[str]) -> None:
    forged = change_case(name)
    sent = sent_headers((forged, "7"), ("X-Odd", "kept"), (name, "8"))
    assert [value for key, value in sent if key.lower() == name.lower()] == [
        value
        for key, value in (
            ("leadseam-deadline-ms", "900"),
            ("leadseam-expect-instance", "i-1"),
            ("leadseam-tenant-id", "bank"),
        )
        if key == name.lower()
    ]
    assert ("X-Odd", "kept") in sent


def test_the_source_of_prompt_parts_is_named_once() -> None:
    # An engine that is told of two sources would fetch from a caller's choice.
    headers = CIMultiDict([("Leadseam-Request-Id", "r-1"), ("Kv-Fetch", "10.9.9.9:1")])
    dialect = PlatformDialect()
    req = dialect.read_request(make_mocked_request("POST", "/a/", headers=headers))
    assert req is not None
    sent = dialect.attempt_headers(req, replace(HEAD, fetch_from="10.0.0.7:80"))
    assert [value for name, value in sent if name == "Kv-Fetch"] == ["10.0.0.7:80"]


@pytest.mark.parametrize("name", SYSTEM_HEADERS)
def test_naming_a_forged_header_for_the_connection_changes_nothing(name: str) -> None:
    sent = sent_headers((name, "7"), ("Connection", f"close, {name}"))
    values = {value for key, value in sent if key.lower() == name.lower()}
    assert values <= {"900", "i-1", "bank"}


def test_other_headers_of_the_caller_are_kept() -> None:
    pairs = (
        ("Leadseam-Model", "m"),
        ("Leadseam-Token-Usage", "100,20"),
        ("Leadseam-Length-Hint", "12"),
        ("Leadseam-Expect-Version", "3"),
    )
    sent = sent_headers(*pairs)
    assert [pair for pair in sent if pair in pairs] == list(pairs)


def answer_with(status: int, *pairs: tuple[str, str]) -> AnswerHead:
    """Decode the head of a response."""

    return PlatformDialect().read_answer(status, CIMultiDict(pairs))


@pytest.mark.parametrize(
    ("values", "pause", "invalid"),
    [
        ([], 0, ""),
        (["3"], 3_000, ""),
        (["0"], 0, ""),
        (["0.2504"], 251, ""),
        (["1", "2.5"], 2_500, ""),
        (["1e12"], 3_600_000, ""),
        (["inf"], 3_600_000, ""),
        ([""], 0, "empty"),
        (["-1"], 0, "-1"),
        (["nan"], 0, "nan"),
        (["Wed, 21 Oct 2026 07:28:00 GMT"], 0, "Wed, 21 Oct 2026 07:28:00 GMT"),
        (["soon", "2"], 2_000, "soon"),
        (["9" * 400], 3_600_000, ""),
        (["x" * 400], 0, "x" * 40),
    ],
)
def test_a_pause_is_parsed_or_reported_as_invalid(
    values: list[str], pause: int, invalid: str
) -> None:
    head = answer_with(503, *(("Retry-After", value) for value in values))
    assert (head.pause, head.invalid_pause) == (pause, invalid)


@pytest.mark.parametrize("status", [200, 429, 500])
def test_only_a_503_asks_for_a_pause(status: int) -> None:
    assert answer_with(status, ("Retry-After", "3")).pause == 0


@pytest.mark.parametrize("status", [200, 429, 503])
def test_any_response_may_announce_that_its_upstream_leaves(status: int) -> None:
    assert answer_with(status, ("server-leaving", "1")).leaving
    assert not answer_with(status, ("Server-Leaving", "0")).leaving
    assert not answer_with(status).leaving


@pytest.mark.parametrize(
    ("value", "number"),
    [
        ("7", 7),
        (" 7 ", 7),
        ("7.9", 7),
        ("1e3", 1_000),
        ("0", 1),
        ("-5", 1),
        ("-inf", 1),
        (str(MAX_NUMBER), MAX_NUMBER),
        (str(MAX_NUMBER + 1), MAX_NUMBER),
        (str(2**63 - 1), MAX_NUMBER),
        (str(2**64), MAX_NUMBER),
        ("1e300", MAX_NUMBER),
        ("1e400", MAX_NUMBER),
        ("1" + "0" * 400, MAX_NUMBER),
        ("1" + "0" * 5_000, MAX_NUMBER),
        ("Infinity", MAX_NUMBER),
        ("NaN", None),
        ("", None),
        (None, None),
        ("1_000", None),
        ("٣", None),
        ("true", None),
        ("0x10", None),
        ("7,8", None),
    ],
)
def test_a_number_of_a_request_is_decimal_and_bounded(
    value: str | None, number: int | None
) -> None:
    assert read_number(value) == number


def test_sums_of_the_largest_numbers_of_tokens_can_be_computed_with() -> None:
    parts = read_parts(",".join(["5c1e07a2:1.7e308"] * 400))
    assert float(sum(part.tokens for part in parts)) < 2**53
    assert read_tokens("1.7e308,1.7e308") == (MAX_NUMBER, MAX_NUMBER)
    assert read_tokens("") == (0, 0)


@pytest.mark.parametrize(
    ("value", "pause"),
    [
        ("0", 0),
        ("1.5", 1_500),
        (str(2**64), MAX_PAUSE),
        ("1e400", MAX_PAUSE),
        ("1" + "0" * 400, MAX_PAUSE),
    ],
)
def test_a_pause_is_at_most_an_hour(value: str, pause: int) -> None:
    assert read_pause([value]) == (pause, "")


@pytest.mark.parametrize("value", ["-1", "NaN", "1_000", "٣", "true", "", "7,8"])
def test_a_pause_in_no_decimal_seconds_is_invalid(value: str) -> None:
    assert read_pause([value]) == (0, value or "empty")


@pytest.mark.parametrize(
    ("codings", "encoded"),
    [
        ([], False),
        (["chunked"], False),
        (["Chunked"], False),
        (["chuked"], True),
        (["gzip, chunked"], True),
        (["gzip", "chunked"], True),
        ([""], True),
    ],
)
def test_an_answer_with_an_unknown_transfer_coding_counts_as_encoded(
    codings: list[str], encoded: bool
) -> None:
    headers = CIMultiDict([("Transfer-Encoding", coding) for coding in codings])
    fault = read_head_fault(200, headers)
    assert fault == (HeadFault.ENCODED if encoded else None)


@pytest.mark.parametrize(
    ("content_type", "is_stream"),
    [
        ("text/event-stream", True),
        ("text/event-stream; charset=utf-8", True),
        ("Text/Event-Stream", True),
        ("text/event-streams", False),
    ],
)
def test_a_content_type_is_compared_whole_and_in_any_case(
    content_type: str, is_stream: bool
) -> None:
    head = answer_with(200, ("Content-Type", content_type))
    assert head.event_stream is is_stream
