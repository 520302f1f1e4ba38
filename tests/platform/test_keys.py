"""Keys that are taken away while their callers are connected."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from leadseam.platform import names
from tools.platform.nodes import document
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.platform.nodes import Platform


@pytest.mark.parametrize("tenants", [[], [{"name": "bank", "apiKeys": []}]])
async def test_taking_the_last_key_away_lets_nobody_in(
    platform: Platform, tenants: list[dict[str, Any]]
) -> None:
    """Guards against an empty list of keys that is read as if none was demanded."""
    entry = platform.entry_ips[0]
    assert (await platform.call(entry, "/once/a")).status == 200
    assert await platform.operator.replace(document(2, tenants=tenants)) == 200

    async def refused() -> bool:
        return (await platform.call(entry, "/once/a")).status == 401

    await wait_until(refused, "the key is refused")
    assert (await platform.call(entry, "/once/a", key=None)).status == 401
    # Callers without a key may use routes that allow it; a key that is gone may not.
    assert (await platform.call(entry, "/open/a", key=None)).status == 200
    assert (await platform.call(entry, "/open/a")).status == 401
    runs = [run for server in platform.servers for run in server.runs]
    assert not any(names.AUTHORIZATION in run.headers for run in runs)


async def test_a_deeply_nested_document_is_refused_and_changes_nothing(
    platform: Platform,
) -> None:
    nested = document(2)[:-1] + b', "x": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    assert await platform.operator.replace(nested) == 400
    assert await platform.operator.replace(document(2)) == 200


async def test_all_keys_of_a_tenant_that_is_listed_twice_are_in_force(
    platform: Platform,
) -> None:
    tenants = [{"name": "bank", "apiKeys": [key]} for key in ("key-1", "key-2")]
    assert await platform.operator.replace(document(2, tenants=tenants)) == 200

    async def served() -> bool:
        calls = [
            await platform.call(platform.entry_ips[0], "/once/a", key=key)
            for key in ("key-1", "key-2")
        ]
        return all(answer.status == 200 for answer in calls)

    await wait_until(served, "both keys are in force")
