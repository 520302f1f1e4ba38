"""Parsing of the platform's settings file."""

from __future__ import annotations

import pytest

from leadseam.errors import SettingsError
from leadseam.platform.settings import NodeSettings
from leadseam.routing.retry_budget import RetryLimits
from leadseam.settings.models import Endpoint

TEXT = """\
node=core-a-1
zone=a
ip=10.1.0.35
listen.control=10.1.0.35:8785
internalPorts=7400,7415
seeds=10.1.0.35:8785,10.2.0.20:8785
bootstrap=true
dataDir=/data/my-core
heartbeatMs=1200
tolerate.machines=2
bounds.graceS=8
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retrySlack=58
bounds.ackMs=4000
zones.a=north
zones.b=south
something.new=1
"""


def test_a_file_becomes_settings() -> None:
    assert NodeSettings.parse(TEXT, "f") == NodeSettings(
        node="core-a-1",
        ip="10.1.0.35",
        failure_domain="a",
        regions={"a": "north", "b": "south"},
        front=None,
        ready=None,
        control=Endpoint(ip="10.1.0.35", port=8785),
        internal_port=7400,
        metrics_port=7401,
        seeds=(
            Endpoint(ip="10.1.0.35", port=7400),
            Endpoint(ip="10.2.0.20", port=7400),
        ),
        bootstrap=True,
        data_dir="/data/my-core",
        loss_tolerance=2,
        heartbeat_interval=1_200,
        resend_limit=4_000,
        grace=8_000,
        retry_limits=RetryLimits(ratio=0.2, slack=58, window=10_000),
    )


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("ip=", None),
        ("no sign", "f: line 19: expected KEY=VALUE"),
        ("internalPorts=x", "f: internalPorts: expected whole numbers, got 'x'"),
        ("bounds.graceS=x", "f: bounds.graceS: expected a number, got 'x'"),
        ("seeds=10.1.0.1", "f: seeds: expected IP:PORT, got '10.1.0.1'"),
        ("limits.cpuShare=x", "f: limits.cpuShare: expected a number, got 'x'"),
        ("listen.front=:a", "f: listen.front: expected IP:PORT, got ':a'"),
    ],
)
def test_an_error_names_file_and_key(line: str, message: str | None) -> None:
    if message is None:
        assert NodeSettings.parse(TEXT + line, "f").ip == ""
        return
    with pytest.raises(SettingsError) as caught:
        NodeSettings.parse(TEXT + line, "f")
    assert caught.value.message == message


def test_the_limits_of_the_process_are_read_if_they_are_stated() -> None:
    limits = "limits.cpuShare=0.387\nlimits.memoryMb=128\n"
    settings = NodeSettings.parse(TEXT + limits, "f")
    assert (settings.processor_share, settings.memory_mb) == (0.387, 128)
    settings = NodeSettings.parse(TEXT, "f")
    assert (settings.processor_share, settings.memory_mb) == (0.0, 0)
