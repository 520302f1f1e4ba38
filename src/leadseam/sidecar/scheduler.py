"""Grants the slots of one upstream to waiting requests. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.fairness.service import normalise

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.clock import Millis
    from leadseam.fairness.ledger import Ledger
    from leadseam.fairness.picker import Picker
    from leadseam.wire.dispatch import BacklogRow

LEASE_DURATION: Millis = 500
INITIAL_ESTIMATE = 200
PREFETCHED = 1
ESTIMATE_WEIGHT = 0.2


@dataclass(frozen=True, slots=True)
class Lease:
    """A slot granted to an entry for one request of an account.

    Args:
        grant: Number of the grant.
        entry: Entry that holds the lease.
        account: Account that the slot is granted for.
        reserved: Normalised service reserved for the request.
        expires: Time at which the lease ends if unused.
    """

    grant: int
    entry: str
    account: str
    reserved: int
    expires: Millis


@dataclass(slots=True)
class _Queue:
    waiting: int
    since: Millis
    granted: int = 0


@dataclass(slots=True)
class _AccountState:
    queues: dict[str, _Queue] = field(default_factory=dict)
    running: int = 0
    estimate: float = INITIAL_ESTIMATE

    def open_queues(self, unresponsive: set[str]) -> list[tuple[Millis, str]]:
        """List entries with more waiting requests than grants.

        Args:
            unresponsive: Entries to exclude.

        Returns:
            Pairs of the oldest request's arrival and the name of the entry.
        """
        return [
            (queue.since, entry)
            for entry, queue in self.queues.items()
            if queue.waiting > queue.granted and entry not in unresponsive
        ]


class Scheduler:
    """Decides which account at which entry is granted a free slot.

    Args:
        ledger: Service counters of the accounts.
        picker: Chooses the next account.
        share_of: Returns the share of an account.
    """

    def __init__(
        self, ledger: Ledger, picker: Picker, share_of: Callable[[str], int]
    ) -> None:
        self.slots = 0
        self.running = 0
        self.open = True
        self._ledger = ledger
        self._picker = picker
        self._share_of = share_of
        self._accounts: dict[str, _AccountState] = {}
        self._leases: dict[int, Lease] = {}
        self._unresponsive: set[str] = set()
        self._next_grant = 0

    def __repr__(self) -> str:
        return f"Scheduler({self.busy}/{self.slots}, leases={len(self._leases)})"

    @property
    def capacity(self) -> int:
        """Limit of running and granted requests, including `PREFETCHED` ones.

        A prefetched request takes over a slot that becomes free, which would otherwise
        be idle for a round trip. With a single slot, none is prefetched.
        """
        return self.slots + PREFETCHED if self.slots > 1 else self.slots

    @property
    def busy(self) -> int:
        """Number of running, prefetched and granted requests."""
        return self.running + len(self._leases)

    def schedule(self, now: Millis) -> list[Lease]:
        """Grant free slots as long as requests are waiting."""
        leases = []
        while self.open and self.busy < self.capacity:
            account = self._picker.pick(self._eligible())
            if account is None:
                break
            leases.append(self._grant(account, now))
        return leases

    def expire(self, now: Millis) -> list[Lease]:
        """End the expired leases and return them."""
        due = [lease for lease in self._leases.values() if lease.expires <= now]
        for lease in due:
            # The entry may be disconnected, so it gets no more slots until it sends a
            # message.
            self._unresponsive.add(lease.entry)
            self._end_lease(lease)
        return due

    def mark_responsive(self, entry: str) -> None:
        """Record that an entry has sent a message, so it may get slots again."""
        self._unresponsive.discard(entry)

    def set_backlog(self, entry: str, row: BacklogRow, now: Millis) -> None:
        """Update the number and age of an account's waiting requests at an entry."""
        state = self._accounts.get(row.account)
        if state is None:
            if not row.waiting:
                return
            state = self._accounts.setdefault(row.account, _AccountState())
        was_idle = not state.running and not state.queues
        if row.waiting:
            queue = state.queues.setdefault(entry, _Queue(0, now))
            queue.waiting = row.waiting
            queue.since = now - row.age
            if was_idle:
                self._picker.join(row.account)
        else:
            self._drop_queue(state, entry)

    def drop_entry(self, entry: str) -> None:
        """Remove the backlog and the leases of an entry whose link is lost."""
        for lease in [held for held in self._leases.values() if held.entry == entry]:
            self._end_lease(lease)
        for state in self._accounts.values():
            state.queues.pop(entry, None)

    def decline(self, entry: str, grant: int) -> None:
        """End a lease that its entry declined."""
        lease = self._leases.get(grant)
        if lease is None or lease.entry != entry:
            return
        queue = self._accounts[lease.account].queues.get(entry)
        if queue is not None:
            # The backlog row that led to this grant was out of date.
            queue.waiting = min(queue.waiting, queue.granted - 1)
        self._end_lease(lease)

    def start(self, entry: str, grant: int, account: str) -> Lease | None:
        """Turn a lease into a running request.

        Returns:
            The lease, or None if it has ended or belongs to another entry or account.
        """
        lease = self._leases.get(grant)
        if lease is None or (lease.entry, lease.account) != (entry, account):
            return None
        del self._leases[grant]
        state = self._accounts[account]
        state.running += 1
        self.running += 1
        queue = state.queues.get(entry)
        if queue is not None:
            queue.granted -= 1
            queue.waiting = max(queue.waiting - 1, 0)
            self._drop_if_done(state, entry, queue)
        return lease

    def finish(self, account: str, service: int | None) -> None:
        """Free the slot of a running request.

        Args:
            account: Account of the request.
            service: Measured service, or None if the request never started.
        """
        state = self._accounts[account]
        state.running -= 1
        self.running -= 1
        if service is not None:
            state.estimate += ESTIMATE_WEIGHT * (service - state.estimate)

    def is_idle(self) -> bool:
        """Return whether no request is running and no grant is outstanding."""
        return self.busy == 0

    def _eligible(self) -> list[str]:
        unresponsive = self._unresponsive
        accounts = self._accounts.items()
        return [name for name, state in accounts if state.open_queues(unresponsive)]

    def _grant(self, account: str, now: Millis) -> Lease:
        state = self._accounts[account]
        _, entry = min(state.open_queues(self._unresponsive))
        state.queues[entry].granted += 1
        self._next_grant += 1
        reserved = normalise(round(state.estimate), self._share_of(account))
        lease = Lease(self._next_grant, entry, account, reserved, now + LEASE_DURATION)
        self._leases[lease.grant] = lease
        self._ledger.reserve(account, reserved)
        return lease

    def _end_lease(self, lease: Lease) -> None:
        del self._leases[lease.grant]
        self._ledger.reserve(lease.account, -lease.reserved)
        state = self._accounts[lease.account]
        queue = state.queues.get(lease.entry)
        if queue is not None:
            queue.granted -= 1
            self._drop_if_done(state, lease.entry, queue)

    def _drop_queue(self, state: _AccountState, entry: str) -> None:
        queue = state.queues.get(entry)
        if queue is not None:
            queue.waiting = 0
            self._drop_if_done(state, entry, queue)

    @staticmethod
    def _drop_if_done(state: _AccountState, entry: str, queue: _Queue) -> None:
        if queue.waiting <= 0 and queue.granted <= 0:
            del state.queues[entry]
