"""The plan and the table of evidence, with a stand-in for the bench."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tools.evidence.plan import missing
from tools.evidence.records import CodeComparison, collect, read_records
from tools.evidence.runner import Runner
from tools.evidence.sites import find_sites
from tools.evidence.table import read_policy, render

SITE = """
name = "{name}"
machines = [{{ class = "front", count = {count}, spare = 2 }}]
[[day]]
name = "quiet-1"
"""
BENCH = """#!{python}
import json, pathlib, sys
verb, site, *args = sys.argv[1:]
folder = pathlib.Path({folder!r})
if "fails" in site:
    sys.exit(1)
name = pathlib.Path(site).stem
days = int(args[1]) if verb == "hunt" else 3 if verb == "score" else 0
number = len(list(folder.iterdir()))
entry = dict(cmd=verb, argv=[site, *args], site=name, head="same", dirty=False, ok=True)
entry["at"] = [f"2026-12-04T10:00:{{number:02}}Z", ""]
entry["days"] = [
    dict(name=f"trouble-{{n}}", slot="trouble", G=0.5, rules={{}}, gate=True)
    for n in range(days)
]
(folder / f"{{number}}.json").write_text(json.dumps(entry))
"""


@pytest.fixture
def sites_folder(tmp_path: Path) -> Path:
    """Return a folder with a small and a large deployment."""
    for folder, name, count in (("a", "small", 9), ("b", "big", 71)):
        path = tmp_path / "sites" / folder / f"{name}.toml"
        path.parent.mkdir(parents=True)
        path.write_text(SITE.format(name=name, count=count))
    (tmp_path / "sites" / "wire.toml").write_text("names = []")
    return tmp_path / "sites"


@pytest.fixture
def journal(tmp_path: Path) -> Path:
    """Return the folder of an empty journal."""
    folder = tmp_path / "journal"
    folder.mkdir()
    return folder


def write_entry(journal: Path, name: str, **fields: Any) -> None:
    """Write a journal entry."""
    entry = {
        "cmd": "score",
        "argv": ["big.toml"],
        "site": "big",
        "head": "same",
        "dirty": False,
        "at": ["2026-12-04T10:00:00Z", ""],
        "ok": True,
        "days": [],
    }
    (journal / f"{name}.json").write_text(json.dumps(entry | fields))


def make_day(name: str, worth: float, **rules: int) -> dict[str, Any]:
    """Return a day of an entry."""
    slot = name.partition("-")[0]
    return {"name": name, "slot": slot, "G": worth, "rules": rules, "gate": not rules}


def plan(sites_folder: Path, journal: Path) -> list[str]:
    """Return the missing tasks as text."""
    records = read_records(journal)
    known = collect(records, lambda commit: commit == "same")
    return [str(one) for one in missing(find_sites(sites_folder), known, records)]


def test_all_is_missing_at_first(sites_folder: Path, journal: Path) -> None:
    assert plan(sites_folder, journal) == [
        "score big",
        "hunt big --days 8",
        "sweep big",
        "score small",
        *["hunt small --days 8"] * 5,
        "sweep small",
    ]


def test_deployments_with_the_oldest_evidence_come_first(
    sites_folder: Path, journal: Path
) -> None:
    write_entry(journal, "1", head="earlier")
    assert plan(sites_folder, journal)[0] == "score small"


def test_only_what_was_played_on_the_same_code_counts(
    sites_folder: Path, journal: Path
) -> None:
    days = [make_day("mix-1", 0.5)] * 5
    write_entry(journal, "1", cmd="hunt", days=days)
    write_entry(journal, "2", cmd="hunt", days=days, head="earlier")
    write_entry(journal, "3", cmd="hunt", days=days, dirty=True)
    write_entry(journal, "4", argv=["big.toml", "--quick"])
    write_entry(journal, "5", cmd="sweep", ok=False)
    (journal / "6.json").write_text("{")
    tasks = [task for task in plan(sites_folder, journal) if "big" in task]
    assert tasks == ["score big", "hunt big --days 3", "sweep big"]


def test_a_day_that_broke_a_rule_is_replayed(sites_folder: Path, journal: Path) -> None:
    days = [make_day("mix --seed 7", 0.5, FAIR=1), make_day("mix --seed 8", 0.5)]
    write_entry(journal, "1", cmd="hunt", days=days)
    assert "replay big mix --seed 7" in plan(sites_folder, journal)
    write_entry(journal, "2", cmd="replay", argv=["big.toml", "mix", "--seed", "7"])
    assert "replay big mix --seed 7" not in plan(sites_folder, journal)


def test_the_table_compares_the_worth_with_the_policy(
    sites_folder: Path, journal: Path
) -> None:
    days = [
        make_day("quiet-1", 0.9),
        make_day("trouble-1", 0.5),
        make_day("scale-1", 0.6, FAIR=2),
        make_day("fresh-12", 0.1),
    ]
    write_entry(journal, "1", days=days)
    known = collect(read_records(journal), lambda _: True)
    policy = read_policy("| b | 0.581 (0.560, 0.602) | older |\n| b | 0.1 |\n")
    lines = render(find_sites(sites_folder), known, policy, "abc").splitlines()
    assert lines[0] == "Code: abc"
    assert lines[4:] == [
        "| big | 0 of 8 | FAIR 2 | 0.550 | 0.581 | -0.031 (finding) | failed | no |",
        "| small | 0 of 40 | - | - | - | - | - | no |",
    ]


async def test_a_plan_is_run_to_its_end_and_needs_nothing_more(
    sites_folder: Path, journal: Path, tmp_path: Path
) -> None:
    bench = tmp_path / "bench"
    bench.write_text(BENCH.format(python=sys.executable, folder=str(journal)))
    bench.chmod(0o755)
    records = read_records(journal)
    tasks = missing(find_sites(sites_folder), {}, records)
    runner = Runner(str(bench), why="test", jobs=1, min_memory=0)
    assert await runner.run(tasks) == []
    assert plan(sites_folder, journal) == []
    known = collect(read_records(journal), lambda _: True)
    assert (known["small"].hunted, known["small"].mean_worth) == (40, 0.5)


async def test_a_failed_task_does_not_end_the_plan(
    sites_folder: Path, journal: Path, tmp_path: Path
) -> None:
    (sites_folder / "fails.toml").write_text(SITE.format(name="fails", count=1))
    bench = tmp_path / "bench"
    bench.write_text(BENCH.format(python=sys.executable, folder=str(journal)))
    bench.chmod(0o755)
    tasks = missing(find_sites(sites_folder), {}, [])
    failed = await Runner(str(bench), why="", jobs=2, min_memory=0).run(tasks)
    assert {one.site.name for one in failed} == {"fails"}
    assert len(failed) == 7


async def test_a_plan_that_is_stopped_ends_its_plays(
    sites_folder: Path, tmp_path: Path
) -> None:
    bench, started = tmp_path / "bench", tmp_path / "started"
    bench.write_text(f"#!/bin/sh\necho $$ > {started}\nexec sleep 600\n")
    bench.chmod(0o755)
    tasks = missing(find_sites(sites_folder), {}, [])
    run = asyncio.ensure_future(
        Runner(str(bench), why="", jobs=1, min_memory=0).run(tasks)
    )
    while not started.exists() or not started.read_text():
        await asyncio.sleep(0.01)
    run.cancel()
    with pytest.raises(asyncio.CancelledError):
        await run
    assert not Path(f"/proc/{started.read_text().strip()}").exists()


def test_code_is_compared_by_sources_and_dependencies(tmp_path: Path) -> None:
    def git(*args: str) -> str:
        identity = ("-c", "user.name=t", "-c", "user.email=t@example.org")
        command = ["git", *identity, *args]
        return subprocess.run(
            command, cwd=tmp_path, check=True, capture_output=True, encoding="utf-8"
        ).stdout.strip()

    def commit(path: str, text: str) -> str:
        (tmp_path / path).parent.mkdir(exist_ok=True)
        (tmp_path / path).write_text(text)
        git("add", "-A")
        git("commit", "-qm", path)
        return git("rev-parse", "HEAD")

    project = "[project]\ndependencies = {}\n"
    git("init", "-q")
    commit("pyproject.toml", project.format('["a"]'))
    changed = commit("src/a.py", "1")
    same = commit("src/a.py", "2")
    commit("docs/page.md", "text")
    commit("pyproject.toml", project.format('["a"]') + "[tool.x]\n")
    code = CodeComparison(tmp_path)
    assert [code.is_same(one) for one in (changed, same, "unknown")] == [
        False,
        True,
        False,
    ]
    commit("pyproject.toml", project.format('["a", "b"]'))
    assert not CodeComparison(tmp_path).is_same(same)
