"""Engines of the entry's own failure domain.

Guards against bytes between failure domains: with one preferred engine in the fleet for
each prompt, two thirds of the requests crossed between three domains.
"""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec

from leadseam.control.routes import EngineProfile
from leadseam.routing.balance import Balancer
from leadseam.routing.dialect import PromptPart
from leadseam.routing.engine_order import ranked_for
from leadseam.routing.load import Load
from leadseam.routing.part_holders import PartHolders
from leadseam.routing.placement import Placement
from leadseam.routing.prefix_fetch import PrefixFetch
from leadseam.routing.scope import Scope
from tests.routing.samples import make_request, make_upstream

DOMAINS = ("d0", "d1", "d2")
ROWS = [
    msgspec.structs.replace(
        make_upstream(number), slots=64, failure_domain=DOMAINS[number % 3]
    )
    for number in range(12)
]
PROFILE = EngineProfile(slots=64, memory_tokens=200_000)
SCOPE = Scope("p")
CHAT = replace(
    make_request(),
    parts=(PromptPart("s", 100), PromptPart("t", 70), PromptPart("own", 540)),
    tokens_in=710,
)
LETTER = replace(
    make_request(),
    parts=(PromptPart("s", 2_500), PromptPart("t", 3_800), PromptPart("own", 540)),
    tokens_in=6_840,
)


def make_balancer(*, enabled: bool = True, domain: str = "d1") -> Balancer:
    """Return the balancer of an entry in a failure domain."""
    fetches = PrefixFetch(
        PartHolders(),
        enabled=lambda _, _profile: enabled,
        sources=lambda _: {},
        usable=lambda _, _now: True,
    )
    return Balancer(random.Random(1), fetches=fetches, failure_domain=domain)


def place(balancer: Balancer) -> Placement | None:
    """Place a chat."""
    ranked = balancer.order_for(SCOPE, ROWS, CHAT, PROFILE)
    return balancer.place(ranked, CHAT, PROFILE, 400, 0, scope=SCOPE)


def test_each_domain_prefers_its_own_engines_for_short_prefixes() -> None:
    for domain in DOMAINS:
        balancer = make_balancer(domain=domain)
        ranked = balancer.order_for(SCOPE, ROWS, CHAT, PROFILE)
        order = ranked_for(ROWS, CHAT)
        near = [row for row in order if row.failure_domain == domain]
        assert ranked == near + [row for row in order if row not in near]


def test_all_domains_agree_on_the_engine_of_a_long_prefix() -> None:
    ranked = make_balancer().order_for(SCOPE, ROWS, LETTER, PROFILE)
    assert ranked == ranked_for(ROWS, LETTER)


def test_the_order_is_as_before_where_engines_do_not_fetch() -> None:
    ranked = make_balancer(enabled=False).order_for(SCOPE, ROWS, CHAT, PROFILE)
    assert ranked == ranked_for(ROWS, CHAT)


def test_requests_overflow_to_other_domains_while_their_own_is_full() -> None:
    balancer = make_balancer()
    placement = place(balancer)
    assert placement is not None
    assert placement.upstream.failure_domain == "d1"
    for row in ROWS:
        if row.failure_domain == "d1":
            balancer.loads.begin(row.incarnation, Load(requests=64))
    placement = place(balancer)
    assert placement is not None
    assert placement.upstream.failure_domain != "d1"


def test_requests_overflow_from_a_domain_without_engines() -> None:
    assert place(make_balancer(domain="lost")) is not None
