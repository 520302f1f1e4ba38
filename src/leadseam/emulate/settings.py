"""Settings of an emulated fleet and of experiments that compare variants of it."""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from leadseam.settings.load import parse_settings

BASE_VARIANT = "as given"
"""Name under which the base fleet is listed among the variants."""

Fleet = TypeVar("Fleet", bound=msgspec.Struct)
PositiveInt = Annotated[int, Meta(ge=1)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
PositiveFloat = Annotated[float, Meta(gt=0)]


class EngineSpeed(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Capacity and speed of the engines.

    Args:
        slots: Number of requests that run concurrently.
        read_per_ms: Prompt tokens prefilled per millisecond.
        step_ms: Milliseconds per output token of a request.
        memory_tokens: Tokens that fit into the KV cache, as stated by operators.
        parts_kept: Number of prompt parts that stay cached; the least recently used
            one is evicted first.
        token_bytes: Bytes of one cached token.
        link_mbps: Bandwidth of an engine's link for cached tokens, in Mbit/s; 0 if
            engines cannot fetch prompt parts from each other.
    """

    slots: PositiveInt = 12
    read_per_ms: PositiveFloat = 157.0
    step_ms: PositiveFloat = 3.55
    memory_tokens: PositiveInt = 559_032
    parts_kept: PositiveInt = 60
    token_bytes: PositiveInt = 131_072
    link_mbps: Annotated[float, Meta(ge=0)] = 0.0


class RequestKind(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A kind of request.

    Args:
        name: Name of the kind.
        weight: Frequency of the kind, relative to the weights of the other kinds.
        shared: Number of prompt tokens that requests on the same subject share.
        own: Median number of prompt tokens that are not shared.
        made: Median number of output tokens.
        objective: Milliseconds within which a first token is in time.
        patience: Milliseconds that a caller waits.
        worth: Value of an answer in time to its caller.
        late: Value of a late answer.
        subjects: Number of different subjects.
        ranks: Ranks of the accounts that send it; empty if all do. Each account needs a
            kind to send.
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
    ranks: tuple[NonNegativeInt, ...] = ()


class Flood(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A period in which one client account sends more requests than usual.

    Args:
        account: Rank of the account by size, from 0.
        at: Start of the period in milliseconds.
        span: Duration of the period in milliseconds.
        times: Factor by which the account's request rate rises.
    """

    account: NonNegativeInt
    at: NonNegativeInt
    span: PositiveInt
    times: PositiveFloat


class RefusalPeriod(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A period in which some engines refuse all requests and ask for pauses.

    Args:
        engines: Number of engines that refuse, counted from the first one.
        at: Start of the period in milliseconds.
        span: Duration of the period in milliseconds.
        pause: Milliseconds for which an engine asks an entry to send it nothing.
    """

    engines: PositiveInt
    at: NonNegativeInt
    span: PositiveInt
    pause: PositiveInt = 3_000


class BusyPeriod(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A period in which some entries refuse requests because they are busy.

    Args:
        entries: Number of busy entries, counted from the first one.
        at: Start of the period in milliseconds.
        span: Duration of the period in milliseconds.
        part: Fraction of the requests that they refuse.
    """

    entries: PositiveInt
    at: NonNegativeInt
    span: PositiveInt
    part: Annotated[float, Meta(gt=0, le=1)] = 1.0


class AggregatorLoss(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A period without load sums, after which an aggregator starts without reports.

    Args:
        at: Start of the period in milliseconds.
        span: Duration of the period in milliseconds.
    """

    at: NonNegativeInt
    span: PositiveInt


class FleetSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """An emulated fleet and its workload.

    Args:
        kinds: Kinds of request.
        entries: Number of entries.
        engines: Number of engines.
        domains: Number of failure domains that the engines are spread over.
        accounts: Number of client accounts; their request rates fall as 1 / rank.
        rate: Requests per second without floods.
        stated: Capacity in tokens per second, as stated by operators.
        engine: Capacity and speed of each engine.
        interval: Milliseconds between load sums; 0 for the interval that production
            code chooses.
        floods: Periods in which an account sends more than usual.
        crowded: Number of entries to which a load balancer hashes half of all callers;
            0 if callers are spread evenly.
        spells: Periods in which engines refuse requests.
        cache_events: Milliseconds between the times at which all entries learn which
            prompt parts engines hold; 0 if they never do.
        busy: Periods in which entries refuse requests.
        losses: Periods without load sums.
        hurried: Ranks of the accounts whose callers state half of the time that they
            wait, so that their first requests look like retries.
        span: Simulated time in milliseconds.
    """

    kinds: Annotated[tuple[RequestKind, ...], Meta(min_length=1)]
    entries: PositiveInt = 68
    engines: PositiveInt = 39
    domains: PositiveInt = 1
    accounts: PositiveInt = 60
    rate: PositiveFloat = 723.0
    stated: PositiveInt = 1_200_000
    engine: EngineSpeed = EngineSpeed()
    interval: NonNegativeInt = 0
    floods: tuple[Flood, ...] = ()
    crowded: NonNegativeInt = 0
    spells: tuple[RefusalPeriod, ...] = ()
    cache_events: NonNegativeInt = 0
    busy: tuple[BusyPeriod, ...] = ()
    losses: tuple[AggregatorLoss, ...] = ()
    hurried: tuple[NonNegativeInt, ...] = ()
    span: PositiveInt = 10_000


class Experiment(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A fleet and its variants, each simulated with the same seeds.

    Args:
        fleet: The base fleet.
        seeds: Seeds of the random generators, one simulation each.
        variants: Fields of the fleet that differ, by name of the variant.
    """

    fleet: FleetSettings
    seeds: Annotated[tuple[int, ...], Meta(min_length=1)] = (1, 2, 3)
    variants: dict[str, dict[str, object]] = {}


def expand_variants(
    base: Fleet, variants: dict[str, dict[str, object]], name: str
) -> dict[str, Fleet]:
    """Return the fleets of an experiment by name of the variant, the base fleet first.

    Args:
        base: The base fleet.
        variants: Fields of the fleet that differ, by name of the variant.
        name: Name of the experiment's file, for error messages.

    Raises:
        SettingsError: If a variant is not a valid fleet.
    """
    fleets = {BASE_VARIANT: base}
    for variant, overrides in variants.items():
        data = msgspec.to_builtins(base) | overrides
        where = f"{name}: variant {variant}"
        fleets[variant] = parse_settings(data, type(base), where)
    return fleets
