"""Choice of the entry that a connection is handed over to."""

from __future__ import annotations

from leadseam.handover.targets import (
    LINK_IDLE_TIME,
    LOST_PAUSE,
    MAX_OFFER_AGE,
    MAX_OFFERS,
    REJECTED_PAUSE,
    HandOver,
    HandOverTargets,
)
from leadseam.wire.feed import RoomOffer

OWN = "10.0.0.1:7000"


def make_offers(count: int, *, domain: str = "a", share: int = 300) -> list[RoomOffer]:
    """Return offers of some entries."""
    return [RoomOffer(domain, f"10.0.0.{n + 2}:7000", share) for n in range(count)]


def make_targets(offers: list[RoomOffer]) -> HandOverTargets:
    """Return targets with links to all entries that offer room."""
    targets = HandOverTargets("a", OWN)
    targets.apply(offers, 0)
    assert targets.choose(0) is None
    for address in targets.links_to_open(0):
        targets.linked(address)
    return targets


def choose_and_open(targets: HandOverTargets, now: int = 0) -> str:
    """Choose an entry, hand a connection over to it, and return its address."""
    chosen = targets.choose(now)
    assert chosen is not None
    targets.opened(chosen.target, now)
    return chosen.target


def test_connections_are_spread_by_processor_share() -> None:
    small, large = make_offers(2)
    large = RoomOffer("a", large.address, 900)
    targets = make_targets([small, large])
    chosen = [choose_and_open(targets) for _ in range(8)]
    assert (chosen.count(small.address), chosen.count(large.address)) == (2, 6)
    assert targets.handed == 8
    for _ in range(6):
        targets.closed(large.address)
    assert targets.choose(0) == HandOver(large.address)


def test_no_links_are_opened_before_they_are_needed() -> None:
    targets = HandOverTargets("a", OWN)
    targets.apply(make_offers(2), 0)
    assert targets.links_to_open(0) == []
    targets.choose(0)
    assert len(targets.links_to_open(0)) == 2
    assert targets.links_to_open(0) == []


def test_only_other_entries_of_the_same_failure_domain_are_chosen() -> None:
    offers = [RoomOffer("a", OWN, 300), *make_offers(1, domain="b")]
    targets = HandOverTargets("a", OWN)
    targets.apply(offers, 0)
    targets.choose(0)
    assert targets.links_to_open(0) == []


def test_an_entry_that_no_longer_offers_room_is_not_chosen() -> None:
    offers = make_offers(2)
    targets = make_targets(offers)
    targets.apply(offers[1:], 100)
    assert targets.choose(100) == HandOver(offers[1].address)
    targets.apply([], 200)
    assert targets.choose(200) is None


def test_an_offer_that_is_named_in_turn_holds_until_it_is_too_old() -> None:
    offers = make_offers(MAX_OFFERS + 1)
    targets = make_targets(offers[:1])
    targets.apply(offers[1:], 100)
    assert targets.choose(MAX_OFFER_AGE) == HandOver(offers[0].address)
    targets.apply(offers[1:], MAX_OFFER_AGE + 1)
    assert targets.choose(MAX_OFFER_AGE + 1) is None


def test_an_entry_is_left_alone_after_it_has_rejected_a_connection() -> None:
    (offer,) = make_offers(1)
    targets = make_targets([offer])
    targets.rejected(choose_and_open(targets), 0)
    targets.closed(offer.address)
    assert targets.choose(REJECTED_PAUSE - 1) is None
    assert targets.choose(REJECTED_PAUSE) == HandOver(offer.address)


def test_a_lost_link_is_opened_again_after_a_pause() -> None:
    (offer,) = make_offers(1)
    targets = make_targets([offer])
    choose_and_open(targets)
    targets.lost(offer.address, 0)
    assert targets.handed == 0
    targets.apply([offer], LOST_PAUSE)
    targets.choose(LOST_PAUSE - 1)
    assert targets.links_to_open(LOST_PAUSE - 1) == []
    assert targets.links_to_open(LOST_PAUSE) == [offer.address]


def test_an_offer_that_ends_while_its_link_is_opened_is_kept() -> None:
    # A process ended by itself: the entry that it opened a link to was forgotten.
    (offer,) = make_offers(1)
    targets = HandOverTargets("a", OWN)
    targets.apply([offer], 0)
    targets.choose(0)
    assert targets.links_to_open(0) == [offer.address]
    targets.apply([], MAX_OFFER_AGE + 1)
    targets.linked(offer.address)
    assert not targets.is_idle(offer.address, MAX_OFFER_AGE + 1)
    targets.lost(offer.address, MAX_OFFER_AGE + 1)
    targets.apply([], 3 * MAX_OFFER_AGE)
    assert targets.links_to_open(3 * MAX_OFFER_AGE) == []


def test_a_link_is_idle_once_nothing_was_handed_over_for_long() -> None:
    (offer,) = make_offers(1)
    targets = make_targets([offer])
    choose_and_open(targets)
    assert not targets.is_idle(offer.address, 2 * LINK_IDLE_TIME)
    targets.closed(offer.address)
    assert not targets.is_idle(offer.address, LINK_IDLE_TIME)
    assert targets.is_idle(offer.address, LINK_IDLE_TIME + 1)
