"""The replicated state machine: commands, their results and the state they change.

The state holds the configuration with its history, claims on idempotency keys,
departed upstreams, requests that crash upstreams, and evacuated failure domains.
"""

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
"""Changes whose results are kept to answer resends, and rows of the history."""
MAX_DELTAS = 512
"""Versions whose operations are kept for subscribers that lack some of them."""


class ChangeStatus(StrEnum):
    """Outcome of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


class Change(Record, frozen=True, array_like=True, tag=1):
    """An operator's change to the configuration.

    Args:
        change_id: Chosen by the operator; a resend carries the same id.
        expect_version: Version of the configuration that the change is based on.
        operations: Operations, applied all together or not at all.
        operator: Name of the operator.
        at: Wall time stamped by the leader.
    """

    change_id: str
    expect_version: int
    operations: tuple[Operation, ...]
    operator: str
    at: int = 0


class Claims(Record, frozen=True, array_like=True, tag=2):
    """A batch of claim commands.

    Args:
        commands: The commands, in the order in which they are applied.
        at: Wall time stamped by the leader, the same for the whole batch.
    """

    commands: tuple[ClaimCommand, ...]
    at: int = 0


class Barrier(Record, frozen=True, array_like=True, tag=3):
    """A command that changes nothing.

    Once it is applied, every command committed before it has been applied too.

    Args:
        at: Wall time stamped by the leader.
    """

    at: int = 0


class Replace(Record, frozen=True, array_like=True, tag=4):
    """Replaces the configuration if the new version is above the current one.

    Args:
        configuration: The configuration, already validated by the proposer.
        at: Wall time stamped by the leader.
    """

    configuration: Configuration
    at: int = 0


class Leave(Record, frozen=True, array_like=True, tag=5):
    """Records that a registered upstream leaves. This is final for its incarnation.

    Args:
        instance: Id of the upstream.
        at: Wall time stamped by the leader.
        start: Start number of the upstream; logs of older versions have none.
    """

    instance: str
    at: int = 0
    start: int = NO_START

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the upstream that leaves."""
        return Incarnation(self.instance, self.start)


class RecordCrashes(Record, frozen=True, array_like=True, tag=6):
    """Records requests that have crashed upstreams.

    Args:
        rows: Rows to merge into the table of crashes.
        at: Wall time stamped by the leader.
    """

    rows: tuple[CrashRow, ...]
    at: int = 0


class Evacuate(Record, frozen=True, array_like=True, tag=7):
    """Evacuates a failure domain, or restores it.

    Args:
        domain: Name of the failure domain.
        evacuated: Whether it is to be evacuated (True) or restored (False).
        expected: Number of switches of the domain that the replica had applied when it
            received the order.
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
        version: Version that the change created, or the current one if it was rejected.
        faults: Every fault of an invalid change.
    """

    status: str
    version: int
    faults: tuple[str, ...] = ()


class ClaimResults(Record, frozen=True, array_like=True, tag=2):
    """Outcomes of a batch of claim commands, in the same order."""

    results: tuple[ClaimResult, ...]


class BarrierResult(Record, frozen=True, array_like=True, tag=3):
    """Outcome of a barrier: the configuration's version when it was applied."""

    version: int


class LeaveResult(Record, frozen=True, array_like=True, tag=4):
    """Outcome of `Leave`: the incarnation is recorded as departed."""

    instance: str
    start: int = NO_START


class CrashesRecorded(Record, frozen=True, array_like=True, tag=5):
    """Outcome of `RecordCrashes`.

    Args:
        rows: Number of rows that were merged.
    """

    rows: int


class EvacuationResult(Record, frozen=True, array_like=True, tag=6):
    """Outcome of an order on a failure domain.

    Args:
        as_ordered: Whether the domain is now in the state that was ordered.
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
    """An accepted change, as `leadseamctl history` lists it."""

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
    """The operations that created a version of the configuration."""

    version: int
    operations: tuple[Operation, ...]


class ControlState:
    """State that every replica derives from the same log.

    Applying a command must be deterministic: it depends on the state and the command
    only, so that all replicas reach the same state.

    Attributes:
        configuration: The current configuration.
        history: The latest accepted changes, oldest first.
        deltas: Operations of the latest versions, oldest first.
        departed: Incarnations of upstreams that have left.
        crashes: Requests that have crashed upstreams.
        evacuations: Failure domains that are or were evacuated.
    """

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
        """Number of claims in the table."""
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
        """Return the operations since a version, or None if some are discarded."""
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
        """Replace the state by one that `save` encoded.

        Empty data stands for the initial state and changes nothing.
        """
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
            # Versions of whole configurations may skip numbers, so there are no
            # operations from which subscribers could build the new one.
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
