"""Settings of plays with requests that crash upstreams."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from leadseam.emulate.settings import NonNegativeInt, PositiveFloat, PositiveInt

Fraction = Annotated[float, Meta(ge=0, le=1)]


class CrashFleet(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A fleet, what is asked of it, and what crashes its upstreams.

    Args:
        entries: Number of entries.
        upstreams: Number of upstreams.
        slots: Requests that an upstream runs at a time.
        rate: Good requests a second.
        run: Median milliseconds that a good request runs.
        first_byte: Part of its time after which it has a first byte.
        hot: Part of the good requests that are one and the same.
        attempts: Upstreams that an entry sends a request to at the most.
        patience: Milliseconds in which a caller of a good request sends it again.
        pause: Milliseconds until it does.
        deadly: Callers that each send the same deadly request again and again.
        deadly_pause: Milliseconds between an answer and their next send.
        deadly_after: Milliseconds from its begin to the crash.
        mass: Part of the upstreams that crash each second by themselves.
        down: Least and most milliseconds until an upstream is back.
        certain: Milliseconds from a crash until the entry that saw it is sure.
        heard: Milliseconds until the other entries hear of it.
        alike: Whether all ends weigh the same, however early.
        span: Milliseconds played.
    """

    entries: PositiveInt = 20
    upstreams: PositiveInt = 20
    slots: PositiveInt = 12
    rate: PositiveFloat = 100.0
    run: PositiveInt = 1_000
    first_byte: Fraction = 0.1
    hot: Fraction = 0.0
    attempts: PositiveInt = 2
    patience: PositiveInt = 15_000
    pause: PositiveInt = 300
    deadly: NonNegativeInt = 0
    deadly_pause: PositiveInt = 300
    deadly_after: PositiveInt = 40
    mass: Fraction = 0.0
    down: tuple[PositiveInt, PositiveInt] = (1_000, 10_000)
    certain: PositiveInt = 25
    heard: PositiveInt = 30
    alike: bool = False
    span: PositiveInt = 60_000


class CrashExperiment(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Variants of a fleet, each played with the same seeds.

    Args:
        crashes: The fleet.
        seeds: Seeds of all that is random.
        variants: By name, fields of the fleet with other values.
    """

    crashes: CrashFleet
    seeds: Annotated[tuple[int, ...], Meta(min_length=1)] = (1,)
    variants: dict[str, dict[str, object]] = {}
