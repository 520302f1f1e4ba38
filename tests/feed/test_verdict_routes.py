"""What the list of verdicts contains, and from where a verdict may be lifted."""

from __future__ import annotations

from leadseam.feed.verdict_routes import is_from_own_box, to_json
from tests.crashes.samples import DEADLY, make_row


def test_a_verdict_shows_neither_body_nor_key() -> None:
    assert to_json(make_row(3, 1, 2, 4, void=(4,))) == {
        "fingerprint": DEADLY.fingerprint,
        "account": "bank",
        "body_bytes": 7,
        "ended": ["i-1", "i-2", "i-3"],
    }


def test_verdicts_are_lifted_only_from_the_box_itself() -> None:
    assert is_from_own_box("10.1.0.4", "10.1.0.4")
    assert is_from_own_box("127.0.0.1", "10.1.0.4")
    assert not is_from_own_box("10.1.0.5", "10.1.0.4")
    assert not is_from_own_box("", "10.1.0.4")
