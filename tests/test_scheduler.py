"""The scheduler's grants, leases and backlog."""

from __future__ import annotations

from leadseam.fairness.ledger import Ledger
from leadseam.fairness.picker import Picker
from leadseam.sidecar.scheduler import LEASE_DURATION, Scheduler
from leadseam.wire.dispatch import BacklogRow


def scheduler(slots: int = 1) -> Scheduler:
    """Return a scheduler for accounts of equal share."""
    ledger = Ledger()
    made = Scheduler(ledger, Picker(ledger), lambda _: 1)
    made.slots = slots
    return made


def test_entry_of_an_expired_lease_gets_no_slot_until_it_sends_a_message() -> None:
    made = scheduler()
    made.set_backlog("cut", BacklogRow("a", 5, 10), 0)
    made.set_backlog("well", BacklogRow("a", 5, 0), 0)
    assert [lease.entry for lease in made.schedule(0)] == ["cut"]
    assert len(made.expire(LEASE_DURATION)) == 1
    assert [lease.entry for lease in made.schedule(LEASE_DURATION)] == ["well"]
    made.expire(2 * LEASE_DURATION)
    assert made.schedule(2 * LEASE_DURATION) == []
    made.mark_responsive("cut")
    assert [lease.entry for lease in made.schedule(2 * LEASE_DURATION)] == ["cut"]


def test_an_expired_lease_starts_nothing() -> None:
    made = scheduler()
    made.set_backlog("e", BacklogRow("a", 1, 0), 0)
    (lease,) = made.schedule(0)
    made.expire(LEASE_DURATION)
    assert made.start("e", lease.grant, "a") is None


def test_a_closed_scheduler_grants_nothing() -> None:
    made = scheduler()
    made.set_backlog("e", BacklogRow("a", 1, 0), 0)
    made.open = False
    assert made.schedule(0) == []


def test_one_request_is_prefetched_with_several_slots() -> None:
    made = scheduler(slots=4)
    made.set_backlog("e", BacklogRow("a", 9, 0), 0)
    assert len(made.schedule(0)) == 5


def test_a_declined_grant_corrects_the_backlog() -> None:
    made = scheduler()
    made.set_backlog("e", BacklogRow("a", 3, 0), 0)
    (lease,) = made.schedule(0)
    made.decline("e", lease.grant)
    assert made.schedule(0) == []
    assert made.is_idle()


def test_a_lost_entry_frees_its_leases() -> None:
    made = scheduler()
    made.set_backlog("e", BacklogRow("a", 3, 0), 0)
    made.schedule(0)
    made.drop_entry("e")
    assert made.is_idle()
    assert made.schedule(0) == []
