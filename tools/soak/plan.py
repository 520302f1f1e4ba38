"""Which faults come when: drawn from a seed, in series and overlapping. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Sequence

FAULTS_PER_SECOND = 0.8
"""Faults begun in a second; with their lengths, two are under way on average."""
LEAST_LENGTH, MOST_LENGTH = 0.3, 4.0
"""Seconds that a fault lasts."""
DELAYS = (0.02, 0.1, 0.4)
"""Seconds by which a slow link delays what it carries, each way."""
SIGNALLED_PART = 0.5
"""Part of the changes of settings that come with a signal."""
PLANNED_PART = 0.4
"""Part of the replacements in which the new box comes before the old one goes."""
ROLE_PART = 0.5
"""Part of the standstills that concern all boxes of a role."""
GROUP_PART = 0.3
"""Part of the kills of a control process that take all of them at once."""
SERVER_LINK_PART = 0.3
"""Part of the bad links that lead to servers."""


class LinkFault(StrEnum):
    """What a link does wrong."""

    RESET = "reset"
    DELAY = "delay"
    MUTE_TOWARDS = "mute towards"
    MUTE_BACK = "mute back"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class Kill:
    """A process is killed and started again later."""

    box: str


@dataclass(frozen=True, slots=True)
class KillControl:
    """All control processes are killed at once; their disks stay."""


@dataclass(frozen=True, slots=True)
class Freeze:
    """A process stands still for a time."""

    box: str


@dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop; the process is started again once it has ended."""

    box: str


@dataclass(frozen=True, slots=True)
class Wipe:
    """A control process is killed and comes back with an empty disk."""

    box: str


@dataclass(frozen=True, slots=True)
class ReplaceBox:
    """A control box is gone for good, and an empty one comes at another address.

    Args:
        box: The box; later faults that name it meet its successor.
        planned: Whether the new one comes first, and the old one is stopped.
    """

    box: str
    planned: bool


@dataclass(frozen=True, slots=True)
class FullDisk:
    """A control box's files cannot grow for a time."""

    box: str


@dataclass(frozen=True, slots=True)
class Reload:
    """The settings change, with or without a signal."""

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
    """A server ends without a word and comes back as a new incarnation."""

    server: str


@dataclass(frozen=True, slots=True)
class ServerLeaves:
    """A server announces its end, and a new one takes its address later."""

    server: str


@dataclass(frozen=True, slots=True)
class AnswersLost:
    """A server runs requests and resets their connections for a time."""

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
class Planned:
    """A fault with its time.

    Args:
        at: Seconds from the start.
        length: Seconds that it lasts.
        fault: What happens.
    """

    at: float
    length: float
    fault: Fault

    @property
    def end(self) -> float:
        """When it is over."""
        return self.at + self.length


@dataclass(frozen=True, slots=True)
class Boxes:
    """Addresses of all boxes.

    Args:
        controls: Control boxes.
        entries: Entry boxes.
        servers: Boxes with servers.
    """

    controls: tuple[str, ...]
    entries: tuple[str, ...]
    servers: tuple[str, ...]


def draw(
    seed: int, seconds: float, boxes: Boxes, *, standstills: bool = False
) -> tuple[Planned, ...]:
    """Return the faults of a seed, in the order of their times.

    With `standstills`, boxes stand still in place of faults that end a process; in half
    of the cases all control boxes or all entries do so at once.

    Disks are lost and filled, and boxes replaced, one at a time, as the group bears one
    loss; whatever else there is may overlap.
    """
    rng = random.Random(seed)
    planned: list[Planned] = []
    for _ in range(round(seconds * FAULTS_PER_SECOND)):
        at = rng.uniform(0, seconds)
        length = rng.uniform(LEAST_LENGTH, MOST_LENGTH)
        fault = _fault(rng, boxes)
        if standstills and isinstance(fault, Kill | Stop | KillControl):
            planned += _standstill(rng, at, length, boxes)
        else:
            planned.append(Planned(at, length, fault))
    planned.sort(key=lambda one: one.at)
    return _apart(planned)


def _fault(rng: random.Random, boxes: Boxes) -> Fault:
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
            return Reload(node, signal=rng.random() < SIGNALLED_PART)
        case 7:
            return ServerCrash(server)
        case 8:
            return ServerLeaves(server)
        case 9 | 10:
            return AnswersLost(server)
        case 11 | 12:
            return ReplaceBox(control, planned=rng.random() < PLANNED_PART)
        case 13:
            return KillControl() if rng.random() < GROUP_PART else Kill(control)
        case _:
            return _bad_link(rng, boxes)


def _standstill(
    rng: random.Random, at: float, length: float, boxes: Boxes
) -> list[Planned]:
    """Let one box stand still, or all of a role within some 100 ms."""
    role = rng.choice([boxes.controls, boxes.entries])
    some = role if rng.random() < ROLE_PART else (rng.choice(role),)
    return [Planned(at + rng.uniform(0, 0.1), length, Freeze(box)) for box in some]


def _bad_link(rng: random.Random, boxes: Boxes) -> BadLink:
    how = rng.choice(list(LinkFault))
    delay = rng.choice(DELAYS)
    if rng.random() < SERVER_LINK_PART:
        return BadLink("", rng.choice(boxes.servers), how, delay)
    source = rng.choice(boxes.controls + boxes.entries)
    target = rng.choice([box for box in boxes.controls if box != source])
    return BadLink(source, target, how, delay)


def _apart(planned: Sequence[Planned]) -> tuple[Planned, ...]:
    """Drop faults of a disk that may come before the last one is mended and caught up.

    A box that has lost its disk catches up only while the others run undisturbed, so
    each other fault of control boxes puts the next loss off as well.
    """
    kept: list[Planned] = []
    free_at = 0.0
    for one in planned:
        losing = isinstance(one.fault, Wipe | ReplaceBox | FullDisk)
        if losing and one.at < free_at:
            continue
        if losing or (free_at and _touches_control(one.fault)):
            free_at = max(free_at, one.end + MOST_LENGTH)
        kept.append(one)
    return tuple(kept)


def _touches_control(fault: Fault) -> bool:
    """Tell whether a fault may keep a control box from catching up."""
    match fault:
        case Kill() | KillControl() | Freeze():
            return True
        case BadLink(source=source):
            return bool(source)
        case _:
            return False
