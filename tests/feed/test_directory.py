"""Which control replicas a node tries while boxes are added and replaced."""

from __future__ import annotations

from leadseam.feed.directory import ReplicaDirectory
from leadseam.settings.models import Endpoint


def at(number: int) -> Endpoint:
    return Endpoint(f"10.0.0.{number}", 7_000)


def test_the_one_tried_longest_ago_comes_next() -> None:
    directory = ReplicaDirectory([at(1), at(2)])
    assert [directory.next(()) for _ in range(3)] == [at(1), at(2), at(1)]
    assert directory.next({at(2)}) == at(1)
    assert directory.next({at(1), at(2)}) is None


def test_members_are_tried_as_well_as_the_seeds() -> None:
    directory = ReplicaDirectory([at(1)])
    directory.set_members(at(1), [at(1), at(2), at(3)])
    assert directory.endpoints == (at(1), at(2), at(3))


def test_a_box_that_is_no_longer_a_member_is_not_tried_again() -> None:
    """Addresses of replaced boxes are removed.

    They used to be dialled forever: after forty replacements, the few free tasks had to
    try forty dead addresses, a second for each, before they found a replica that was
    reachable again.
    """
    directory = ReplicaDirectory([at(1), at(2), at(3)])
    for number in range(3, 43):
        directory.set_members(at(1), [at(1), at(2), at(number)])
        directory.set_members(at(2), [at(1), at(2), at(number)])
    directory.set_seeds([at(1), at(2), at(42)])
    assert set(directory.endpoints) == {at(1), at(2), at(42)}


def test_members_named_only_by_a_lost_replica_are_dropped() -> None:
    directory = ReplicaDirectory([at(1), at(2)])
    directory.set_members(at(1), [at(1), at(2), at(9)])
    directory.set_members(at(2), [at(1), at(2)])
    directory.replica_lost(at(1))
    assert set(directory.endpoints) == {at(1), at(2)}


def test_with_all_replicas_lost_every_address_is_still_tried() -> None:
    directory = ReplicaDirectory([at(1)])
    directory.set_members(at(2), [at(2), at(3)])
    directory.replica_lost(at(2))
    assert set(directory.endpoints) == {at(1), at(2), at(3)}
