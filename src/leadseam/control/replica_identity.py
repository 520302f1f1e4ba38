"""The identity of a replica: stored on its disk, so a new disk gets a new one."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from leadseam.control.raft_log import Membership
from leadseam.control.storage import format_folder, read_identity

if TYPE_CHECKING:
    from pathlib import Path

BOOTSTRAP_INCARNATION = "first"


def bootstrap_identity(name: str) -> str:
    """Return the identity of a box in a newly bootstrapped group."""
    return f"{name}#{BOOTSTRAP_INCARNATION}"


def prepare_folder(folder: Path, name: str, *, bootstrap_boxes: tuple[str, ...]) -> str:
    """Format a data folder unless that was done before, and return the identity in it.

    Args:
        folder: The data folder; must exist.
        name: Name of the box.
        bootstrap_boxes: Boxes that bootstrap a group, including this one; empty to
            join an existing group.

    Returns:
        The identity of the replica.

    Raises:
        StorageError: If the folder cannot be used.
    """
    stored = read_identity(folder)
    if stored is not None:
        return stored
    if bootstrap_boxes:
        identity = bootstrap_identity(name)
        voters = tuple(bootstrap_identity(box) for box in sorted(bootstrap_boxes))
    else:
        identity = f"{name}#{secrets.token_hex(6)}"
        voters = ()
    format_folder(folder, identity, Membership(voters))
    return identity
