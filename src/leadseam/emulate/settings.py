"""Settings of an emulated fleet and of an experiment with it."""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from leadseam.settings.load import parse_settings

AS_GIVEN = "as given"
"""Name of the fleet without a variant's changes."""

Fleet = TypeVar("Fleet", bound=msgspec.Struct)
Count = Annotated[int, Meta(ge=1)]
Span = Annotated[int, Meta(ge=0)]
Positive = Annotated[float, Meta(gt=0)]


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

    slots: Count = 12
    read_per_ms: Positive = 157.0
    step_ms: Positive = 3.55
    memory_tokens: Count = 559_032
    parts_kept: Count = 60


class Kind(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
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
    weight: Positive
    shared: Count
    own: Count
    made: Count
    objective: Count
    patience: Count
    worth: Positive
    late: float
    subjects: Count


class Flood(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One client account asks for more than usual for a while.

    Args:
        account: Rank of the account by size, from 0.
        at: When it begins, in milliseconds.
        span: How long it lasts, in milliseconds.
        times: How many times the usual.
    """

    account: Span
    at: Span
    span: Count
    times: Positive


class Spell(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Some engines turn all requests away for a while and ask for pauses.

    Args:
        engines: Number of engines, the first ones.
        at: When it begins, in milliseconds.
        span: How long it lasts, in milliseconds.
        pause: Milliseconds in which an engine wants nothing more from an entry.
    """

    engines: Count
    at: Span
    span: Count
    pause: Count = 3_000


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

    kinds: Annotated[tuple[Kind, ...], Meta(min_length=1)]
    entries: Count = 68
    engines: Count = 39
    accounts: Count = 60
    rate: Positive = 723.0
    stated: Count = 1_200_000
    engine: EngineSpeed = EngineSpeed()
    interval: Span = 0
    floods: tuple[Flood, ...] = ()
    crowded: Span = 0
    spells: tuple[Spell, ...] = ()
    span: Count = 10_000


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
    given: Fleet, variants: dict[str, dict[str, object]], name: str
) -> dict[str, Fleet]:
    """Return the fleets of an experiment by variant, the one as given first.

    Args:
        given: The fleet as given.
        variants: By name, fields of it with other values.
        name: Name of the experiment's file, for errors.

    Raises:
        SettingsError: If a variant is not a valid fleet.
    """
    fleets = {AS_GIVEN: given}
    for variant, changes in variants.items():
        data = msgspec.to_builtins(given) | changes
        where = f"{name}: variant {variant}"
        fleets[variant] = parse_settings(data, type(given), where)
    return fleets
