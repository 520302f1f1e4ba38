"""Each upstream that spoils answers has a line a second, and all are counted."""

from __future__ import annotations

from leadseam.routing.spoilt_answers import MAX_UPSTREAMS, SpoiltAnswers


def test_a_line_states_the_answers_since_the_one_before() -> None:
    spoilt = SpoiltAnswers()
    assert [spoilt.record("i-1", now) for now in (0, 10, 999, 1_000)] == [1, 0, 0, 3]


def test_upstreams_have_lines_of_their_own() -> None:
    spoilt = SpoiltAnswers()
    assert [spoilt.record(one, 0) for one in ("i-1", "i-2", "i-1")] == [1, 1, 0]


def test_the_number_of_upstreams_is_bounded() -> None:
    spoilt = SpoiltAnswers()
    for number in range(2 * MAX_UPSTREAMS):
        assert spoilt.record(f"i-{number}", 0) == 1
    assert repr(spoilt) == f"SpoiltAnswers(upstreams={MAX_UPSTREAMS})"
