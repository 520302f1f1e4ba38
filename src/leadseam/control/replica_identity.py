"""The identity of a replica: kept on its disk, drawn anew with a new disk."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from leadseam.control.raft_log import Membership
from leadseam.control.storage import format_folder, read_identity

if TYPE_CHECKING:
    from pathlib import Path

FIRST_INCARNATION = "first"


def first_identity(name: str) -> str:
    """Return the identity of a box in a newly founded group."""
    return f"{name}#{FIRST_INCARNATION}"


def prepare_folder(folder: Path, name: str, *, bootstrap_boxes: tuple[str, ...]) -> str:
    """Format a data folder if it is empty.

    Args:
        folder: The data folder; must exist.
        name: Name of the box.
        bootstrap_boxes: Boxes that found a group, this one included; empty to join one.

    Returns:
        The replica's identity.

    Raises:
        StorageError: If the folder cannot be used.
    """
    known = read_identity(folder)
    if known is not None:
        return known
    if bootstrap_boxes:
        identity = first_identity(name)
        voters = tuple(first_identity(box) for box in sorted(bootstrap_boxes))
    else:
        identity = f"{name}#{secrets.token_hex(6)}"
        voters = ()
    format_folder(folder, identity, Membership(voters))
    return identity
