"""The attempt table: "not run" is final, and no attempt starts twice."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from leadseam.sidecar.attempts import AttemptKey, AttemptState, AttemptTable

keys = st.builds(
    AttemptKey,
    entry=st.sampled_from(["entry-1", "entry-2"]),
    incarnation=st.integers(1, 2),
    attempt=st.integers(1, 30),
)


class AttemptMachine(RuleBasedStateMachine):
    """Dispatches, queries and ends in any order, with a table that evicts attempts."""

    def __init__(self) -> None:
        super().__init__()
        self.table = AttemptTable(capacity=8)
        self.started: set[AttemptKey] = set()
        self.denied: set[AttemptKey] = set()

    @rule(key=keys)
    def dispatch(self, key: AttemptKey) -> None:
        if self.table.start(key) is None:
            assert key not in self.started, "started twice"
            assert key not in self.denied, (
                "started after it was reported as not started"
            )
            self.started.add(key)

    @rule(key=keys)
    def question(self, key: AttemptKey) -> None:
        if not self.table.has_started(key):
            assert key not in self.started, (
                "reported as not started, but it had started"
            )
            self.denied.add(key)

    @rule(key=keys)
    def end(self, key: AttemptKey) -> None:
        self.table.end(key)


TestAttempts = AttemptMachine.TestCase
TestAttempts.settings = settings(max_examples=200, stateful_step_count=60)


def test_a_question_forbids_a_late_dispatch() -> None:
    table = AttemptTable()
    key = AttemptKey("entry-1", 1, 5)
    assert not table.has_started(key)
    assert table.start(key) is AttemptState.NEVER


def test_a_started_attempt_is_never_denied() -> None:
    table = AttemptTable()
    key = AttemptKey("entry-1", 1, 5)
    assert table.start(key) is None
    table.end(key)
    assert table.has_started(key)
    assert table.start(key) is AttemptState.ENDED
