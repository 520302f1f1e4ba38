"""Operators' files: the desired configuration, and the operations that create it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from leadseam.control.configuration import (
    Account,
    ConfigRecord,
    Configuration,
    Delete,
    NeverRepeat,
    Operation,
    Pool,
    Put,
    Section,
    Upstream,
)
from leadseam.errors import SettingsError

if TYPE_CHECKING:
    from collections.abc import Sequence


class Desired(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of a file. A section that the file omits is not changed."""

    accounts: tuple[Account, ...] | None = None
    pools: tuple[Pool, ...] | None = None
    upstreams: tuple[Upstream, ...] | None = None
    never_repeat: tuple[NeverRepeat, ...] | None = None

    def section(self, section: Section) -> Sequence[ConfigRecord] | None:
        """Return the rows of a section, or None if the file omits it."""
        rows: Sequence[ConfigRecord] | None = getattr(self, section.value)
        return rows


def parse_desired(data: object, name: str) -> Desired:
    """Validate the content of a file.

    Args:
        data: The parsed YAML or JSON.
        name: Name of the file, for the error message.

    Raises:
        SettingsError: If it is invalid; names the file, the key path and what was
            expected.
    """
    try:
        return msgspec.convert(data, Desired)
    except msgspec.ValidationError as exc:
        raise SettingsError(f"{name}: {exc}") from exc


def difference(current: Configuration, desired: Desired) -> tuple[Operation, ...]:
    """Return the operations that turn the current configuration into the desired."""
    operations: list[Operation] = []
    for section in Section:
        rows = desired.section(section)
        if rows is None:
            continue
        table = current.table(section)
        operations += [Put(row) for row in rows if table.get(row.name) != row]
        desired_names = {row.name for row in rows}
        operations += [
            Delete(section, name) for name in table if name not in desired_names
        ]
    return tuple(operations)


def describe(operations: Sequence[Operation], current: Configuration) -> list[str]:
    """Return a readable line for each operation."""
    return [_describe_one(operation, current) for operation in operations]


def _describe_one(operation: Operation, current: Configuration) -> str:
    match operation:
        case Put(record=record):
            tables = (current.table(section) for section in Section)
            known = any(
                type(old) is type(record)
                for table in tables
                if (old := table.get(record.name))
            )
            sign = "~" if known else "+"
            kind = type(record).__struct_config__.tag
            return f"{sign} {kind} {record.name}: {msgspec.to_builtins(record)}"
        case Delete(section=section, name=name):
            return f"- {section.value} {name}"
        case _:
            return f"~ upstream {operation.upstream}: draining={operation.draining}"
