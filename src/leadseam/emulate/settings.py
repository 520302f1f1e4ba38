"""Settings of an emulated fleet and of an experiment with it."""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from leadseam.settings.load import parse_settings

BASE_VARIANT = "as given"
"""Name of the fleet without a variant's changes."""

Fleet = TypeVar("Fleet", bound=msgspec.Struct)
PositiveInt = Annotated[int, Meta(ge=1)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
PositiveFloat = Annotated[float, Meta(gt=0)]


class EngineSpeed(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """How fast the engines are.

    Args:
        slots: Requests that run at a time.
        read_per_ms: Prompt tokens read in a millisecond.
        step_ms: Milliseconds of a token made.
        memory_tokens: Tokens that fit into its KV cache, as operators state it.
        parts_kept: Prompt parts kept in memory; the one unused longest goes first.
    """

    slots: PositiveInt = 12
    read_per_ms: PositiveFloat = 157.0
    step_ms: PositiveFloat = 3.55
    memory_tokens: PositiveInt = 559_032
    parts_kept: PositiveInt = 60


class RequestKind(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A kind of request.

    Args:
        name: Its name.
        weight: Its part of all requests, against the other kinds.
        shared: Prompt tokens that requests on the same subject share.
        own: Median of its own prompt tokens.
        made: Median of the tokens made.
        objective: Milliseconds to a first token in time.
        patience: Milliseconds that a caller waits.
        worth: What callers value of an answer in time.
        late: What they value of a late one.
        subjects: Number of subjects.
    """

    name: str
    weight: PositiveFloat
    shared: PositiveInt
    own: PositiveInt
    made: PositiveInt
    objective: PositiveInt
    patience: PositiveInt
    worth: PositiveFloat
    late: float
    subjects: PositiveInt


class Flood(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One client account asks for more than usual for a while.

    Args:
        account: Rank of the account by size, from 0.
        at: When it begins, in milliseconds.
        span: How long it lasts, in milliseconds.
        times: How many times the usual.
    """

    account: NonNegativeInt
    at: NonNegativeInt
    span: PositiveInt
    times: PositiveFloat


class RefusalPeriod(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Some engines turn all requests away for a while and ask for pauses.

    Args:
        engines: Number of engines, the first ones.
        at: When it begins, in milliseconds.
        span: How long it lasts, in milliseconds.
        pause: Milliseconds in which an engine wants nothing more from an entry.
    """

    engines: PositiveInt
    at: NonNegativeInt
    span: PositiveInt
    pause: PositiveInt = 3_000


class FleetSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An emulated fleet and what its callers ask for.

    Args:
        kinds: Kinds of request.
        entries: Number of entries.
        engines: Number of engines.
        accounts: Number of client accounts; their sizes fall as 1 / rank.
        rate: Requests a second without floods.
        stated: Tokens a second that operators state.
        engine: How fast engines are.
        interval: Interval of the shared sums in ms; 0 as the product paces it.
        floods: Floods.
        crowded: Entries that half of all callers use, as a balancer hashes them; 0 if
            callers are spread evenly.
        spells: When engines turn requests away.
        span: Milliseconds played.
    """

    kinds: Annotated[tuple[RequestKind, ...], Meta(min_length=1)]
    entries: PositiveInt = 68
    engines: PositiveInt = 39
    accounts: PositiveInt = 60
    rate: PositiveFloat = 723.0
    stated: PositiveInt = 1_200_000
    engine: EngineSpeed = EngineSpeed()
    interval: NonNegativeInt = 0
    floods: tuple[Flood, ...] = ()
    crowded: NonNegativeInt = 0
    spells: tuple[RefusalPeriod, ...] = ()
    span: PositiveInt = 10_000


class Experiment(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Variants of a fleet, each played with the same seeds.

    Args:
        fleet: The fleet.
        seeds: Seeds of the callers' requests.
        variants: By name, fields of the fleet with other values.
    """

    fleet: FleetSettings
    seeds: Annotated[tuple[int, ...], Meta(min_length=1)] = (1, 2, 3)
    variants: dict[str, dict[str, object]] = {}


def expand_variants(
    base: Fleet, variants: dict[str, dict[str, object]], name: str
) -> dict[str, Fleet]:
    """Return the fleets of an experiment by variant, the one as given first.

    Args:
        given: The fleet as given.
        variants: By name, fields of it with other values.
        name: Name of the experiment's file, for errors.

    Raises:
        SettingsError: If a variant is not a valid fleet.
    """
    fleets = {BASE_VARIANT: base}
    for variant, overrides in variants.items():
        data = msgspec.to_builtins(base) | overrides
        where = f"{name}: variant {variant}"
        fleets[variant] = parse_settings(data, type(base), where)
    return fleets
