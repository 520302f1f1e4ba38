"""Settings of simulations with requests that crash upstreams."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from leadseam.crashes.answers import ANSWER_WEIGHS
from leadseam.emulate.settings import NonNegativeInt, PositiveFloat, PositiveInt

Fraction = Annotated[float, Meta(ge=0, le=1)]


class CrashFleet(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A fleet, its workload, and the causes of upstream crashes.

    Args:
        entries: Number of entries.
        upstreams: Number of upstreams.
        slots: Number of requests that an upstream runs concurrently.
        rate: Good requests per second. A good request never crashes an upstream.
        run: Median run time of a good request in milliseconds.
        first_byte: Fraction of its run time after which a request has its first byte.
        hot: Fraction of the good requests that are identical.
        attempts: Maximum number of upstreams that an entry sends a request to.
        patience: Milliseconds during which the caller of a good request retries it.
        pause: Milliseconds before each of these retries.
        deadly: Number of callers that send the same deadly request repeatedly.
        deadly_pause: Milliseconds between a failure and their next attempt.
        deadly_after: Milliseconds from the start of a deadly request to the crash.
        mass: Fraction of the upstreams that crash each second without such a cause.
        mass_span: Milliseconds during which upstreams crash without such a cause; 0 for
            the whole span.
        down: Minimum and maximum milliseconds until a crashed upstream is up again.
        certain: Milliseconds from a crash until the entry that saw it has confirmed it.
        heard: Milliseconds from a report until the other entries receive it.
        deadly_parts: Number of prompt parts that crash upstreams, of which each deadly
            request has one and is unlike all others; 0 if one request does, as a whole.
        documents: Number of prompt parts that good and deadly requests share, beside a
            part that all of them have; 0 for requests without a prompt. The popularity
            of a part falls with its number, as 1 / number.
        sessions: Number of parts that only good requests share; 0 for none.
        answer_weighs: Milliseconds after an answer during which crashes do not count
            against what was answered; negative for none.
        alternatives: Whether a request is sent that has only some of the parts that
            could explain the same crashes.
        trial_pause: Milliseconds from a verdict until it is first tried; 0 for never.
        alike: Whether every crash has the weight of an early one, regardless of when
            in the request it happened.
        span: Simulated time in milliseconds.
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
    mass_span: NonNegativeInt = 0
    down: tuple[PositiveInt, PositiveInt] = (1_000, 10_000)
    certain: PositiveInt = 25
    heard: PositiveInt = 30
    deadly_parts: NonNegativeInt = 0
    documents: NonNegativeInt = 0
    sessions: NonNegativeInt = 0
    answer_weighs: int = ANSWER_WEIGHS
    alternatives: bool = True
    trial_pause: NonNegativeInt = 0
    alike: bool = False
    span: PositiveInt = 60_000


class CrashExperiment(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A fleet and its variants, each simulated with the same seeds.

    Args:
        crashes: The base fleet.
        seeds: Seeds of the random generator, one simulation each.
        variants: Fields of the fleet that differ, by name of the variant.
    """

    crashes: CrashFleet
    seeds: Annotated[tuple[int, ...], Meta(min_length=1)] = (1,)
    variants: dict[str, dict[str, object]] = {}
