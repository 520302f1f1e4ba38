"""What the soak takes for a broken promise."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import pytest

from tools.soak.callers import Call, CallKind
from tools.soak.promise_checker import PromiseChecker

if TYPE_CHECKING:
    from tools.soak.soak_platform import SoakPlatform


def make_checker(
    *, goes_on: int, broken_off: int, refused: int, fails_elsewhere: int = 0
) -> PromiseChecker:
    """Return a checker of resumed streams, beside as many new ones that began.

    Args:
        goes_on: Streams that go on.
        broken_off: Streams that a server broke off.
        refused: Streams that no server ran.
        fails_elsewhere: Streams that a server broke off and another one finished, whose
            caller got no answer.
    """
    first = SimpleNamespace(runs=[], broken_off=set())
    second = SimpleNamespace(runs=[], broken_off=set())
    servers = [first, second]
    platform = SimpleNamespace(all_servers=servers, unframed=False, spoiler=None)
    checker = PromiseChecker(cast("SoakPlatform", platform), timed=False)
    statuses = [200] * goes_on + [502] * (broken_off + fails_elsewhere)
    statuses += [503] * refused
    for number, status in enumerate(statuses):
        new = Call(f"n{number}", CallKind.STREAM, "entry", 0.0, status=200)
        call = Call(f"r{number}", CallKind.STREAM, "entry", 0.0, status=status)
        call.resumes = new.request_id
        checker.calls += [new, call]
        run: Any = SimpleNamespace(request_id=call.request_id)
        if status != 503:
            first.runs.append(run)
        if status == 502:
            first.broken_off.add(call.request_id)
        if goes_on + broken_off <= number < goes_on + broken_off + fails_elsewhere:
            second.runs.append(run)
    checker._check_resumed()
    return checker


def test_resumed_streams_that_servers_break_off_themselves_break_no_promise() -> None:
    checker = make_checker(goes_on=11, broken_off=12, refused=1)
    assert not checker.broken
    assert checker.checked["resumed streams go on"] == 1


@pytest.mark.parametrize(
    ("broken_off", "refused", "fails_elsewhere"), [(0, 11, 0), (5, 7, 0), (5, 0, 7)]
)
def test_half_of_the_resumed_streams_lost_for_other_causes_breaks_a_promise(
    broken_off: int, refused: int, fails_elsewhere: int
) -> None:
    checker = make_checker(
        goes_on=13,
        broken_off=broken_off,
        refused=refused,
        fails_elsewhere=fails_elsewhere,
    )
    assert [one.promise for one in checker.broken] == ["resumed streams go on"]
