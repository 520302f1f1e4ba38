"""Pauses that a gateway names to callers of accounts beyond their share.

Guards against pauses by outdated sums, and against a change where no pool states
engines or the caller has no account.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from leadseam.control.configuration import Configuration, Pool, PoolKind
from leadseam.control.routes import EngineProfile
from leadseam.routing.busy import SHORTEST_PAUSE
from leadseam.routing.gateway import EXCESS_LAG
from leadseam.routing.load import MAX_TOTALS_AGE
from leadseam.routing.return_time import ReturnTime, Rule
from leadseam.routing.scope import Scope
from leadseam.routing.usage import Standing, compute_shares
from leadseam.runtime.metrics import Metrics
from leadseam.wire.feed import LoadSums, UsageRow
from tests.routing.test_gateway import ACCOUNTS, Entry

if TYPE_CHECKING:
    from leadseam.routing.placer import Placer

ENGINES = Pool("p", PoolKind.ENGINE, engine=EngineProfile(slots=4, memory_tokens=1_000))
PLAIN = Pool("p", PoolKind.SERVICE)
ROWS = (UsageRow("large", 900, 4_000), UsageRow("small", 100, 1_000))


def make_entry(pool: Pool) -> Entry:
    """Return an entry where the account `large` was stopped by the newest sums."""
    entry = Entry(Metrics())
    entry.feed.configuration = Configuration(accounts=ACCOUNTS, pools={"p": pool})
    entry.gateway.placer.apply_sums(0, LoadSums((), ROWS))
    now = entry.gateway.now()
    assert entry.gateway.placer.standing("large", now) is Standing.STOPPED
    return entry


def rule_of(placer: Placer, account: str | None) -> Rule:
    """Return the rule of the pause for a request of an account."""
    found: ReturnTime = placer.return_time(account, Scope("p"), 6_000)
    return found.rule


@pytest.mark.parametrize(
    ("pool", "account", "age", "rule"),
    [
        (ENGINES, "large", 0, Rule.DECAY),
        (ENGINES, "small", 0, Rule.QUEUE),
        (ENGINES, None, 0, Rule.TIME_LEFT),
        (ENGINES, "large", MAX_TOTALS_AGE, Rule.DECAY),
        (ENGINES, "large", MAX_TOTALS_AGE + 1, Rule.TIME_LEFT),
        (ENGINES, "small", MAX_TOTALS_AGE + 1, Rule.TIME_LEFT),
        (PLAIN, "large", 0, Rule.TIME_LEFT),
    ],
)
def test_the_rule_follows_pool_account_and_age_of_the_sums(
    pool: Pool, account: str | None, age: int, rule: Rule
) -> None:
    entry = make_entry(pool)
    clock: Any = entry.gateway._clock
    clock.advance(age)
    assert rule_of(entry.gateway.placer, account) is rule


async def test_a_busy_entry_sends_accounts_beyond_their_share_away_for_longer() -> None:
    entry = make_entry(ENGINES)
    entry.lag.millis = EXCESS_LAG + 1
    response = await entry.serve("large")
    metrics = entry.metrics.render()
    assert b'refusals_by_standing_total{standing="stopped"} 1' in metrics
    assert b'return_time_seconds_count{rule="decay"} 1' in metrics
    # 4,000 requested decay to the level of 500 in 2,000 ms times ln(8), above the cap.
    assert 2_667 <= int(response.headers["Pause"]) <= 4_000


def test_without_engine_pools_shares_need_no_evidence_of_load() -> None:
    entry = make_entry(PLAIN)
    assert entry.gateway.placer._usage.used_part == 1.0
    assert entry.gateway.placer._usage.shares == compute_shares(ROWS, 0)


async def test_without_engine_pools_a_busy_entry_names_its_own_pause() -> None:
    entry = make_entry(PLAIN)
    entry.lag.millis = EXCESS_LAG + 1
    response = await entry.serve("large")
    assert int(response.headers["Pause"]) <= SHORTEST_PAUSE
