"""Short soak runs, including each seed that has failed before."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from tools.soak.run import SoakOptions, run_seed

if TYPE_CHECKING:
    from pathlib import Path

OPTIONS = SoakOptions(seconds=8.0, callers=4, timed=False)
"""Time limits are not checked here, since CI may run beside other work."""


@pytest.mark.parametrize("seed", [41, 42])
async def test_promises_are_kept_where_servers_start_again_under_their_ids(
    tmp_path: Path, seed: int
) -> None:
    summary = await run_seed(tmp_path, seed, replace(OPTIONS, same_ids=True))
    assert not summary.broken, str(summary)
    assert summary.checked["strangers refused"] > 0
    assert summary.checked["recovered"] == 2


@pytest.mark.parametrize("seed", [100, 102])
async def test_promises_are_kept_beside_requests_that_crash_servers(
    tmp_path: Path, seed: int
) -> None:
    summary = await run_seed(tmp_path, seed, replace(OPTIONS, deadly=True))
    assert not summary.broken, str(summary)
    assert summary.checked["deadly stays known"] == 4
    assert summary.checked["recovered"] == 2


async def test_promises_are_kept_beside_a_prompt_part_that_crashes_servers(
    tmp_path: Path,
) -> None:
    summary = await run_seed(tmp_path, 6801, replace(OPTIONS, deadly_part=True))
    assert not summary.broken, str(summary)
    assert summary.checked["deadly stays known"] == 2
    assert summary.checked["sound parts are served"] == 2


async def test_promises_are_kept_where_a_box_that_wrote_verdicts_is_replaced(
    tmp_path: Path,
) -> None:
    summary = await run_seed(
        tmp_path, 7501, replace(OPTIONS, deadly=True, suspended=True)
    )
    assert not summary.broken, str(summary)
    assert summary.checked["deadly stays known"] == 4


@pytest.mark.parametrize("seed", [301, 302])
async def test_promises_are_kept_beside_evacuations(tmp_path: Path, seed: int) -> None:
    summary = await run_seed(tmp_path, seed, replace(OPTIONS, evacuations=True))
    assert not summary.broken, str(summary)
    assert summary.checked["evacuation held"] == 1
    assert summary.checked["evacuation taken back"] == 1


async def test_promises_are_kept_beside_servers_that_rest_and_leave(
    tmp_path: Path,
) -> None:
    summary = await run_seed(tmp_path, 501, replace(OPTIONS, pauses=True))
    assert not summary.broken, str(summary)
    assert summary.checked["recovered"] == 2


@pytest.mark.parametrize("seed", [701, 702])
async def test_promises_are_kept_where_servers_of_two_versions_serve(
    tmp_path: Path, seed: int
) -> None:
    summary = await run_seed(tmp_path, seed, replace(OPTIONS, versions=2))
    assert not summary.broken, str(summary)
    assert summary.checked["one version"] > 0
    assert summary.resumed["finished"] > 0


@pytest.mark.parametrize("seed", [901, 902])
async def test_promises_are_kept_beside_crowds_of_unfinished_requests(
    tmp_path: Path, seed: int
) -> None:
    summary = await run_seed(tmp_path, seed, replace(OPTIONS, crowds=True))
    assert not summary.broken, str(summary)
    assert summary.checked["crowd survived"] > 0
    assert summary.checked["recovered"] == 2


@pytest.mark.parametrize("seed", [801, 802])
async def test_promises_are_kept_where_answers_end_with_their_connection(
    tmp_path: Path, seed: int
) -> None:
    summary = await run_seed(tmp_path, seed, replace(OPTIONS, unframed=True))
    assert not summary.broken, str(summary)
    assert summary.checked["whole answer"] > 0
    assert summary.checked["whole stays whole"] > 0


async def test_promises_are_kept_where_servers_mutate_their_answers(
    tmp_path: Path,
) -> None:
    summary = await run_seed(tmp_path, 9101, replace(OPTIONS, spoil=True))
    assert not summary.broken, str(summary)
    assert summary.checked["made by its runs"] > 0
    assert summary.checked["recovered"] == 2


@pytest.mark.parametrize("seed", [202, 203])
async def test_promises_are_kept_where_boxes_are_suspended(
    tmp_path: Path, seed: int
) -> None:
    summary = await run_seed(tmp_path, seed, replace(OPTIONS, suspended=True))
    assert not summary.broken, str(summary)
    assert summary.faults["Freeze"] >= 4
    assert summary.checked["recovered"] == 2


@pytest.mark.parametrize("seed", [3, 5, 18, 22, 922])
async def test_promises_are_kept(tmp_path: Path, seed: int) -> None:
    summary = await run_seed(tmp_path, seed, OPTIONS)
    assert not summary.broken, str(summary)
    assert summary.checked["whole answer"] > 0
    # Once after all faults are repaired, and once after the largest tolerated loss.
    assert summary.checked["recovered"] == 2
