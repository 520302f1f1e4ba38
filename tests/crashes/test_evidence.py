"""How many ends convict, by when they came."""

from __future__ import annotations

import pytest

from leadseam.crashes.evidence import convicts, weight_of
from leadseam.crashes.table import CrashTable
from tests.crashes.samples import DEADLY, make_row


@pytest.mark.parametrize(
    ("ends", "late", "weight", "convicted"),
    [
        (2, 0, 10, False),
        (3, 0, 15, True),
        (3, 1, 14, False),
        (3, 3, 12, False),
        (4, 2, 18, True),
        (4, 4, 16, True),
    ],
)
def test_early_ends_weigh_more(
    ends: int, late: int, weight: int, convicted: bool
) -> None:
    numbers = range(1, ends + 1)
    row = make_row(*numbers, late=tuple(numbers[:late]))
    assert (weight_of(row), convicts(row)) == (weight, convicted)


def test_an_end_that_anybody_saw_early_is_early() -> None:
    book = CrashTable([make_row(1, 2, 3, late=(1, 2, 3))])
    assert not book.convicts(DEADLY.fingerprint)
    book.merge(make_row(1, 2))
    assert book.weight(DEADLY.fingerprint) == 14
    book.merge(make_row(3))
    assert book.convicts(DEADLY.fingerprint)


def test_what_is_void_weighs_nothing() -> None:
    assert weight_of(make_row(1, 2, 3, void=(1, 2))) == 5
