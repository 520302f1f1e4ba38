"""Prompt parts that an entry has sent to engines."""

from __future__ import annotations

import tracemalloc

from leadseam.incarnation import Incarnation
from leadseam.routing.dialect import PromptPart
from leadseam.routing.prompts import MAX_KEPT_PARTS, PromptTable

ENGINE = Incarnation("i-1")
HEADER_SIZE = 16_384
MB = 1 << 20


def test_parts_with_long_identities_take_no_more_memory_than_others() -> None:
    table = PromptTable()
    tracemalloc.start()
    for number in range(MAX_KEPT_PARTS):
        table.sent(ENGINE, (PromptPart(f"{number:x}".zfill(HEADER_SIZE), 1),), 0)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert used < 10 * MB


def test_a_part_with_a_long_identity_is_found_again() -> None:
    table = PromptTable()
    part, other = (PromptPart(name * HEADER_SIZE, 7) for name in "ab")
    table.sent(ENGINE, (part,), 0)
    assert table.holds(ENGINE, part, 1)
    assert table.holders(part.identity, 1) == {ENGINE}
    assert table.unread(ENGINE, (part, other), 1, home=False) == (7, 0)
