"""Draws the faults of a run from a seed: in sequence and overlapping. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Sequence

FAULTS_PER_SECOND = 0.8
"""Faults that begin in a second; with their durations, two overlap on average."""
MIN_DURATION, MAX_DURATION = 0.3, 4.0
"""Shortest and longest duration of a fault, in seconds."""
DELAYS = (0.02, 0.1, 0.4)
"""Seconds by which a slow link delays bytes, in each direction."""
SIGNAL_FRACTION = 0.5
"""Fraction of the changes of settings that come with a signal."""
PLANNED_FRACTION = 0.4
"""Fraction of the replacements that start the new box before the old one stops."""
WHOLE_ROLE_FRACTION = 0.5
"""Fraction of the freezes that hit all boxes of a role."""
GROUP_KILL_FRACTION = 0.3
"""Fraction of the kills of a control process that kill all of them at once."""
SERVER_LINK_FRACTION = 0.3
"""Fraction of the bad links that lead to servers."""


class LinkFault(StrEnum):
    """How a link misbehaves."""

    RESET = "reset"
    DELAY = "delay"
    MUTE_TO_TARGET = "mute towards"
    MUTE_FROM_TARGET = "mute back"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class Kill:
    """A process is killed and restarted later."""

    box: str


@dataclass(frozen=True, slots=True)
class KillControl:
    """All control processes are killed at once; their disks are kept."""


@dataclass(frozen=True, slots=True)
class Freeze:
    """A process is stopped for some time, or its box is suspended."""

    box: str


@dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop; the process is restarted after it has ended."""

    box: str


@dataclass(frozen=True, slots=True)
class Wipe:
    """A control process is killed and restarted with an empty disk."""

    box: str


@dataclass(frozen=True, slots=True)
class ReplaceBox:
    """A control box is replaced by an empty one at another address.

    Args:
        box: The box; later faults that name it hit its successor.
        planned: Whether the new box is started first and the old one then stopped.
    """

    box: str
    planned: bool


@dataclass(frozen=True, slots=True)
class FullDisk:
    """The files of a control box cannot grow for some time."""

    box: str


@dataclass(frozen=True, slots=True)
class Reload:
    """The settings of a box change, with or without a signal."""

    box: str
    signal: bool


@dataclass(frozen=True, slots=True)
class BadLink:
    """The link between two boxes misbehaves; `delay` in seconds."""

    source: str
    target: str
    how: LinkFault
    delay: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerCrash:
    """A server ends without notice and restarts as a new incarnation."""

    server: str


@dataclass(frozen=True, slots=True)
class ServerLeaves:
    """A server announces that it leaves; a new one takes its address later."""

    server: str


@dataclass(frozen=True, slots=True)
class AnswersLost:
    """For some time, a server runs requests and then resets their connections."""

    server: str


Fault: TypeAlias = (
    Kill
    | KillControl
    | Freeze
    | Stop
    | Wipe
    | ReplaceBox
    | FullDisk
    | Reload
    | BadLink
    | ServerCrash
    | ServerLeaves
    | AnswersLost
)


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault with its time and duration.

    Args:
        at: Seconds from the start of the run.
        duration: Seconds that the fault lasts.
        fault: The fault.
    """

    at: float
    duration: float
    fault: Fault

    @property
    def end(self) -> float:
        """End of the fault, in seconds from the start of the run."""
        return self.at + self.duration


@dataclass(frozen=True, slots=True)
class Boxes:
    """Addresses of all boxes.

    Args:
        controls: Control boxes.
        entries: Entry boxes.
        servers: Boxes that run servers.
    """

    controls: tuple[str, ...]
    entries: tuple[str, ...]
    servers: tuple[str, ...]


def draw_faults(
    seed: int, seconds: float, boxes: Boxes, *, freezes: bool = False
) -> tuple[PlannedFault, ...]:
    """Return the faults of a seed, ordered by time.

    With `freezes`, boxes are frozen instead of faults that end a process; in half of
    the cases, all control boxes or all entries at once.

    Only one disk is lost or filled, or box replaced, at a time, since the group
    tolerates one loss. All other faults may overlap.
    """
    rng = random.Random(seed)
    planned: list[PlannedFault] = []
    for _ in range(round(seconds * FAULTS_PER_SECOND)):
        at = rng.uniform(0, seconds)
        duration = rng.uniform(MIN_DURATION, MAX_DURATION)
        fault = _draw_fault(rng, boxes)
        if freezes and isinstance(fault, Kill | Stop | KillControl):
            planned += _draw_freezes(rng, at, duration, boxes)
        else:
            planned.append(PlannedFault(at, duration, fault))
    planned.sort(key=lambda one: one.at)
    return _space_disk_losses(planned)


def _draw_fault(rng: random.Random, boxes: Boxes) -> Fault:
    control, entry = rng.choice(boxes.controls), rng.choice(boxes.entries)
    server = rng.choice(boxes.servers)
    node = rng.choice(boxes.controls + boxes.entries)
    match rng.randrange(16):
        case 0 | 1:
            return Kill(node)
        case 2:
            return Freeze(node)
        case 3:
            return Stop(entry)
        case 4:
            return Wipe(control)
        case 5:
            return FullDisk(control)
        case 6:
            return Reload(node, signal=rng.random() < SIGNAL_FRACTION)
        case 7:
            return ServerCrash(server)
        case 8:
            return ServerLeaves(server)
        case 9 | 10:
            return AnswersLost(server)
        case 11 | 12:
            return ReplaceBox(control, planned=rng.random() < PLANNED_FRACTION)
        case 13:
            return (
                KillControl() if rng.random() < GROUP_KILL_FRACTION else Kill(control)
            )
        case _:
            return _draw_bad_link(rng, boxes)


def _draw_freezes(
    rng: random.Random, at: float, duration: float, boxes: Boxes
) -> list[PlannedFault]:
    """Freeze one box, or all boxes of a role within 100 ms."""
    role = rng.choice([boxes.controls, boxes.entries])
    some = role if rng.random() < WHOLE_ROLE_FRACTION else (rng.choice(role),)
    return [
        PlannedFault(at + rng.uniform(0, 0.1), duration, Freeze(box)) for box in some
    ]


def _draw_bad_link(rng: random.Random, boxes: Boxes) -> BadLink:
    how = rng.choice(list(LinkFault))
    delay = rng.choice(DELAYS)
    if rng.random() < SERVER_LINK_FRACTION:
        return BadLink("", rng.choice(boxes.servers), how, delay)
    source = rng.choice(boxes.controls + boxes.entries)
    target = rng.choice([box for box in boxes.controls if box != source])
    return BadLink(source, target, how, delay)


def _space_disk_losses(planned: Sequence[PlannedFault]) -> tuple[PlannedFault, ...]:
    """Drop each disk fault that could begin before the previous one is recovered from.

    A box that has lost its disk catches up only while the others run undisturbed, so
    any other fault of a control box postpones the next permitted loss as well.
    """
    kept: list[PlannedFault] = []
    next_loss_at = 0.0
    for one in planned:
        loses_disk = isinstance(one.fault, Wipe | ReplaceBox | FullDisk)
        if loses_disk and one.at < next_loss_at:
            continue
        if loses_disk or (next_loss_at and _disturbs_control(one.fault)):
            next_loss_at = max(next_loss_at, one.end + MAX_DURATION)
        kept.append(one)
    return tuple(kept)


def _disturbs_control(fault: Fault) -> bool:
    """Return whether a fault may keep a control box from catching up."""
    match fault:
        case Kill() | KillControl() | Freeze():
            return True
        case BadLink(source=source):
            return bool(source)
        case _:
            return False
