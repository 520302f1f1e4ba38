"""Settings files and the `--check` option of the binaries."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import yaml

from leadseam.control.configuration import Configuration, Section
from leadseam.control.desired import difference, parse_desired
from leadseam.errors import SettingsError
from leadseam.settings.load import load_settings, parse_settings, read_yaml
from leadseam.settings.models import ControlSettings, EntrySettings, SidecarSettings

EXAMPLES = Path(__file__).parent.parent / "examples"

GOOD: dict[str, Any] = {
    "identity": {"node": "entry-1"},
    "listen": {"ip": "127.0.0.1", "port": 8080},
    "control": [{"ip": "127.0.0.1", "port": 7001}],
}


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"colour": 1}, "$: Object contains unknown field `colour`"),
        ({"listen": {"ip": "127.0.0.1", "port": "x"}}, "$.listen.port: Expected `int`"),
        ({"listen": {"ip": "localhost", "port": 1}}, "$.listen.ip: expected an IP"),
        ({"control": [{"ip": "a.example", "port": 1}]}, "$.control[0].ip: expected"),
        ({"limits": {"body_bytes": 0}}, "$.limits.body_bytes: Expected `int` >= 1"),
        ({"identity": {"node": "Entry 1"}}, "$.identity.node: Expected `str`"),
    ],
)
def test_faults_name_the_key(change: dict[str, Any], message: str) -> None:
    with pytest.raises(SettingsError) as caught:
        parse_settings(GOOD | change, EntrySettings, "entry.yaml")
    assert caught.value.message.startswith(f"entry.yaml: {message}")


def test_a_missing_data_folder_is_named(tmp_path: Path) -> None:
    data: Any = read_yaml(EXAMPLES / "riga" / "control-1.yaml")
    data["data_dir"] = str(tmp_path / "none")
    path = tmp_path / "control.yaml"
    path.write_text(yaml.safe_dump(data))
    with pytest.raises(SettingsError, match=r"\$\.data_dir: expected a folder"):
        load_settings(path, ControlSettings)


@pytest.mark.parametrize("site", ["riga", "clachan"])
def test_examples_are_valid(site: str, tmp_path: Path) -> None:
    folder = EXAMPLES / site
    load_settings(folder / "entry-1.yaml", EntrySettings)
    (sidecar,) = folder.glob("sidecar-*.yaml")
    load_settings(sidecar, SidecarSettings)
    data: Any = read_yaml(folder / "control-1.yaml")
    parse_settings(data | {"data_dir": str(tmp_path)}, ControlSettings, site)
    desired = parse_desired(read_yaml(folder / "fleet.yaml"), site)
    empty = Configuration()
    configuration = empty.apply(difference(empty, desired))
    assert configuration.faults() == ()
    assert len(configuration.table(Section.ACCOUNTS)) == 16
    assert difference(configuration, desired) == ()


def test_check_prints_one_line_and_exits_with_2(tmp_path: Path) -> None:
    path = tmp_path / "entry.yaml"
    path.write_text("listen: [")
    command = [sys.executable, "-m", "leadseam.cli.entry", "--check", str(path)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 2
    assert done.stderr.startswith(f"settings: {path}: not YAML")
    assert done.stderr.count("\n") == 1
    path.write_text(yaml.safe_dump(GOOD))
    assert subprocess.run(command, check=False, capture_output=True).returncode == 0
