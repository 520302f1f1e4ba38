"""The replicated state machine: configuration, its history and claims."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

import msgspec

from leadseam.control.claims import ClaimCommand, ClaimResult, ClaimRow, ClaimTable
from leadseam.control.configuration import (
    Configuration,
    Operation,
    operation_faults,
)
from leadseam.control.evacuations import EvacuationRow, EvacuationTable
from leadseam.crashes.table import CrashTable
from leadseam.incarnation import NO_START, Incarnation
from leadseam.membership.departures import Departures
from leadseam.wire.codec import decode, encode
from leadseam.wire.crashes import CrashRow
from leadseam.wire.record import Record

MAX_REMEMBERED_CHANGES = 10_000
MAX_DELTAS = 512


class ChangeStatus(StrEnum):
    """What became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


class Change(Record, frozen=True, array_like=True, tag=1):
    """An operator's change.

    Args:
        change_id: Chosen by the operator; a resend carries the same.
        expect_version: Version that the operator saw.
        operations: What to do, all or nothing.
        operator: Who asked.
        at: Wall time stamped by the leader.
    """

    change_id: str
    expect_version: int
    operations: tuple[Operation, ...]
    operator: str
    at: int = 0


class Claims(Record, frozen=True, array_like=True, tag=2):
    """A batch of claim commands at one wall time."""

    commands: tuple[ClaimCommand, ...]
    at: int = 0


class Barrier(Record, frozen=True, array_like=True, tag=3):
    """Changes nothing; its result is read after all that came before.

    Args:
        at: Wall time stamped by the leader.
    """

    at: int = 0


class Replace(Record, frozen=True, array_like=True, tag=4):
    """A whole configuration; it takes effect if its version is above the one held.

    Args:
        configuration: The configuration, checked by whoever proposes it.
        at: Wall time stamped by the leader.
    """

    configuration: Configuration
    at: int = 0


class Leave(Record, frozen=True, array_like=True, tag=5):
    """A registered upstream leaves; final for its incarnation.

    Args:
        instance: Its id.
        at: Wall time stamped by the leader.
        start: Its start; logs of older versions state none.
    """

    instance: str
    at: int = 0
    start: int = NO_START

    @property
    def incarnation(self) -> Incarnation:
        """Which start of the upstream leaves."""
        return Incarnation(self.instance, self.start)


class RecordCrashes(Record, frozen=True, array_like=True, tag=6):
    """Requests that have ended upstreams; merged with what is known of them.

    Args:
        rows: What to merge.
        at: Wall time stamped by the leader.
    """

    rows: tuple[CrashRow, ...]
    at: int = 0


class Evacuate(Record, frozen=True, array_like=True, tag=7):
    """Evacuate a failure domain, or take it back.

    Args:
        domain: Its name.
        evacuated: What it is to be.
        expected: Switches of the domain known to the replica that took the order.
        at: Wall time stamped by the leader.
    """

    domain: str
    evacuated: bool
    expected: int
    at: int = 0


Command: TypeAlias = (
    Change | Claims | Barrier | Replace | Leave | RecordCrashes | Evacuate
)


class ChangeResult(Record, frozen=True, array_like=True, tag=1):
    """Outcome of a change.

    Args:
        status: A `ChangeStatus`.
        version: Version it led to, or the version it met.
        faults: Every fault of an invalid change.
    """

    status: str
    version: int
    faults: tuple[str, ...] = ()


class ClaimResults(Record, frozen=True, array_like=True, tag=2):
    """Outcomes of a batch, in its order."""

    results: tuple[ClaimResult, ...]


class BarrierResult(Record, frozen=True, array_like=True, tag=3):
    """Version in force when the barrier was committed."""

    version: int


class LeaveResult(Record, frozen=True, array_like=True, tag=4):
    """The incarnation is known to be leaving."""

    instance: str
    start: int = NO_START


class CrashesRecorded(Record, frozen=True, array_like=True, tag=5):
    """The rows are merged."""

    rows: int


class EvacuationResult(Record, frozen=True, array_like=True, tag=6):
    """Outcome of an order on a failure domain.

    Args:
        as_ordered: Whether the domain is as ordered.
        revision: Revision of the table of evacuations.
    """

    as_ordered: bool
    revision: int


CommandResult: TypeAlias = (
    ChangeResult
    | ClaimResults
    | BarrierResult
    | LeaveResult
    | CrashesRecorded
    | EvacuationResult
)


class HistoryRow(Record, frozen=True, array_like=True):
    """An accepted change, for `leadseamctl history`."""

    version: int
    change_id: str
    operator: str
    at: int
    operations: int


class _SavedState(Record, frozen=True, array_like=True):
    configuration: Configuration
    changes: tuple[tuple[str, ChangeResult], ...]
    history: tuple[HistoryRow, ...]
    claims: tuple[tuple[str, str, ClaimRow], ...]
    left_without_start: tuple[str, ...] = ()
    departed: tuple[Incarnation, ...] = ()
    crashes: tuple[CrashRow, ...] = ()
    evacuations: tuple[EvacuationRow, ...] = ()


@dataclass(frozen=True, slots=True)
class VersionedOperations:
    """Operations that led to a version."""

    version: int
    operations: tuple[Operation, ...]


class ControlState:
    """State that every replica derives from the same log."""

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.history: list[HistoryRow] = []
        self.deltas: list[VersionedOperations] = []
        self.departed = Departures()
        self.crashes = CrashTable()
        self.evacuations = EvacuationTable()
        self._changes: OrderedDict[str, ChangeResult] = OrderedDict()
        self._claims = ClaimTable({})

    def __repr__(self) -> str:
        return f"ControlState({self.configuration!r}, claims={len(self._claims.rows)})"

    @property
    def claim_count(self) -> int:
        """Number of claims held."""
        return len(self._claims.rows)

    def apply(self, command: Command) -> CommandResult:
        """Apply a committed command and return its outcome."""
        match command:
            case Change():
                return self._apply_change(command)
            case Claims(commands=commands, at=at):
                results = (self._claims.apply(one, at) for one in commands)
                return ClaimResults(tuple(results))
            case Barrier():
                return BarrierResult(self.configuration.version)
            case Replace(configuration=configuration):
                return self._replace(configuration)
            case Leave(instance=instance, start=start):
                self.departed.add(command.incarnation)
                return LeaveResult(instance, start)
            case RecordCrashes(rows=rows):
                for row in rows:
                    self.crashes.merge(row)
                return CrashesRecorded(len(rows))
            case Evacuate(domain=domain, evacuated=evacuated):
                as_ordered = self.evacuations.switch(
                    domain, evacuated, expected=command.expected, at=command.at
                )
                return EvacuationResult(as_ordered, self.evacuations.revision)

    def deltas_after(self, version: int) -> list[VersionedOperations] | None:
        """Return the operations since a version, or None if some are forgotten."""
        if version == self.configuration.version:
            return []
        if not self.deltas or self.deltas[0].version > version + 1:
            return None
        return [delta for delta in self.deltas if delta.version > version]

    def save(self) -> bytes:
        """Encode the whole state."""
        claims = ((*key, row) for key, row in self._claims.rows.items())
        saved = _SavedState(
            self.configuration,
            tuple(self._changes.items()),
            tuple(self.history),
            tuple(claims),
            departed=tuple(self.departed),
            crashes=self.crashes.rows(),
            evacuations=self.evacuations.rows(),
        )
        return encode(saved)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by one that `save` encoded; empty means initial."""
        if not data:
            return
        saved = decode(data, _SavedState)
        self.configuration = saved.configuration
        self.history = list(saved.history)
        self.deltas = []
        self._changes = OrderedDict(saved.changes)
        rows = {(account, key): row for account, key, row in saved.claims}
        self._claims = ClaimTable(rows)
        older = map(Incarnation, saved.left_without_start)
        self.departed = Departures([*older, *saved.departed])
        self.crashes = CrashTable(saved.crashes)
        self.evacuations = EvacuationTable(saved.evacuations)

    def _replace(self, configuration: Configuration) -> ChangeResult:
        if configuration.version > self.configuration.version:
            self.configuration = configuration
            # Versions may rise unevenly, so no delta leads from one to the other.
            self.deltas.clear()
        return ChangeResult(ChangeStatus.ACCEPTED, self.configuration.version)

    def _apply_change(self, change: Change) -> ChangeResult:
        known = self._changes.get(change.change_id)
        if known is not None:
            return known
        result = self._decide(change)
        self._changes[change.change_id] = result
        while len(self._changes) > MAX_REMEMBERED_CHANGES:
            self._changes.popitem(last=False)
        return result

    def _decide(self, change: Change) -> ChangeResult:
        version = self.configuration.version
        if change.expect_version != version:
            return ChangeResult(ChangeStatus.CONFLICT, version)
        candidate = self.configuration.apply(change.operations)
        faults = operation_faults(self.configuration, change.operations)
        faults += candidate.faults()
        if faults:
            return ChangeResult(ChangeStatus.INVALID, version, faults)
        self._accept(change, candidate)
        return ChangeResult(ChangeStatus.ACCEPTED, candidate.version)

    def _accept(self, change: Change, candidate: Configuration) -> None:
        self.configuration = candidate
        row = HistoryRow(
            candidate.version,
            change.change_id,
            change.operator,
            change.at,
            len(change.operations),
        )
        self.history.append(row)
        del self.history[:-MAX_REMEMBERED_CHANGES]
        self.deltas.append(VersionedOperations(candidate.version, change.operations))
        del self.deltas[:-MAX_DELTAS]


def stamp(command: Command, now: int) -> Command:
    """Return a command stamped with the leader's wall time."""
    return msgspec.structs.replace(command, at=now)
