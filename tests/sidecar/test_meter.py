"""Usage that engines report in their answers, possible and impossible."""

from __future__ import annotations

import pytest

from leadseam.fairness.service import OUTPUT_TOKEN
from leadseam.sidecar.meter import (
    MAX_TOKENS,
    BodyMeter,
    EventStreamMeter,
    parse_usage,
)

IMPOSSIBLE = [
    "-1",
    str(MAX_TOKENS + 1),
    str(2**63 - 1),
    str(2**64),
    "1" + "0" * 400,
    "1" + "0" * 5_000,
    "NaN",
    "Infinity",
    "1e400",
    "1e300",
    "1.5",
    "true",
    '"7"',
    '"1_000"',
    '"٣"',
    '""',
    "null",
    "[]",
]


def usage(tokens: str, *, cached: str = "0") -> bytes:
    """Return a completion that reports a number of tokens as prompt and as output."""
    return (
        f'{{"usage":{{"completion_tokens":{tokens},"prompt_tokens":{tokens},'
        f'"prompt_tokens_details":{{"cached_tokens":{cached}}}}}}}'
    ).encode()


@pytest.mark.parametrize(
    ("tokens", "service"), [("0", 0), ("7", 35), (str(MAX_TOKENS), 5 * MAX_TOKENS)]
)
def test_possible_numbers_of_tokens_are_charged(tokens: str, service: int) -> None:
    assert parse_usage(usage(tokens)) == service


def test_cached_tokens_are_optional() -> None:
    assert parse_usage(usage("7", cached="5")) == 30
    assert parse_usage(usage("7", cached="null")) == 35
    assert parse_usage(b'{"usage":{"completion_tokens":7,"prompt_tokens":7}}') == 35


@pytest.mark.parametrize("tokens", IMPOSSIBLE)
def test_impossible_numbers_of_tokens_are_no_usage(tokens: str) -> None:
    assert parse_usage(usage(tokens)) is None
    if tokens != "null":
        assert parse_usage(usage("7", cached=tokens)) is None


@pytest.mark.parametrize("tokens", IMPOSSIBLE)
def test_an_impossible_usage_leaves_the_charge_as_it_was(tokens: str) -> None:
    stream = EventStreamMeter()
    charged = stream.feed(b"data: " + usage(tokens) + b"\n\n", 0)
    assert charged + stream.finish(0) == OUTPUT_TOKEN
    body = BodyMeter()
    body.feed(usage(tokens), 0)
    assert body.finish(0) == OUTPUT_TOKEN


def test_of_several_usages_the_last_possible_one_counts() -> None:
    meter = EventStreamMeter()
    charged = 0
    for tokens in ("9", "7", "-1"):
        charged += meter.feed(b"data: " + usage(tokens) + b"\n\n", 0)
    assert charged + meter.finish(0) == 35


@pytest.mark.parametrize(
    "data", [b"", b"[]", b"{}", b'{"usage":null}', b"\xff", b"[" * 100_000]
)
def test_a_body_without_usage_has_none(data: bytes) -> None:
    assert parse_usage(data) is None
