"""Machines of the core lose their disks after the manifest has often been changed.

The manifest has the routes of two big manifests and is changed 200 times. Then one core
machine loses its disk and starts again, empty. Once it has had far more than
`catchUpS`, two others lose theirs at once. The group has to bear the loss of two, so
afterwards the manifest has to be read back. With `TROUBLE=0` no disk is lost.
"""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support.fleet import BOUNDS, CannotRunError, Fleet, wait_until
from support.operator import Operator
from support.record import Record

HELD, BROKEN, NO_RUN = 0, 1, 2
SERVICE = "order-core"
ROUTES = 16 + 2 * 400
CHANGES = 200
LONGEST_CHANGES_S = 45.0
DOWN_S = 1.0
RETURN_S = float(BOUNDS["catchUpS"]) + float(BOUNDS["contactMs"]) / 1_000 + 3.0
RECOVERY_S = float(BOUNDS["recoveryS"])
READ_BACK_S = 2 * float(BOUNDS["contactMs"]) / 1_000 + 2.0
ACK_S = float(BOUNDS["ackMs"]) / 1_000 + 0.003 * ROUTES
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def manifest(version: int) -> dict[str, Any]:
    """Return a manifest; each version has another time-out."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{number:07x}",
                "host": f"ficu{number % 13}.example",
                "pathPrefix": f"/lohu{number}/",
                "kind": "safe",
                "timeoutMs": 3000 + version,
                "targetLatencyMs": 400,
                "priority": 1,
                "service": SERVICE,
                "maxAttempts": 2,
                "allowAnonymous": False,
                "stickySessions": False,
                "resumable": False,
            }
            for number in range(ROUTES)
        ],
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/healthz",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": f"tenant-{number}",
                "apiKeys": [f"k{number:02}asnmgkcuyj8pjbvk"],
                "priority": 1,
            }
            for number in range(16)
        ],
    }


def lose_disks(fleet: Fleet, ips: list[str]) -> None:
    """Let machines lose their disks at once, and start them again, empty."""
    fleet.lose_disks(ips)
    time.sleep(DOWN_S)
    for ip in ips:
        fleet.start(ip)


def play(fleet: Fleet) -> int:
    """Play the case and return its exit code."""
    record = fleet.record
    operator = Operator(fleet.controls(), record)
    operator.replace(manifest(1))
    fleet.wait_ready()
    time.sleep(float(BOUNDS["catchUpS"]))
    began = time.monotonic()
    version = 1
    while version <= CHANGES:
        version += 1
        operator.replace(manifest(version))
        if time.monotonic() - began > LONGEST_CHANGES_S:
            raise CannotRunError("this machine is too slow for so many changes")

    if TROUBLE:
        lose_disks(fleet, fleet.cores[:1])
    time.sleep(RETURN_S)
    version += 1
    operator.replace(manifest(version), timeout=10)
    record.write("manifest acknowledged", version=version)
    if TROUBLE:
        lose_disks(fleet, fleet.cores[1:3])
    time.sleep(RECOVERY_S)
    acked = operator.try_replace(manifest(version + 1), timeout=ACK_S)
    newest = version if acked is None else version + 1
    read = operator.read(timeout=READ_BACK_S)
    fleet.check_running()
    record.write(
        "verdict",
        newest_acknowledged=newest,
        last_acknowledged=acked is not None,
        read_back=read,
    )
    return HELD if read is not None and read >= newest else BROKEN


def main() -> int:
    """Run the case and return its exit code."""
    record = Record(Path(__file__).with_name("record.txt"))
    fleet: Fleet | None = None
    try:
        fleet = Fleet(record, edges=1)
        fleet.start_all()
        wait_until(lambda: fleet.is_ready(fleet.edges[0]), "the edge machine answers")
        return play(fleet)
    except Exception as exc:
        record.write("the case could not run", cause=repr(exc))
        return NO_RUN
    finally:
        if fleet is not None:
            fleet.close()
        record.close()


if __name__ == "__main__":
    sys.exit(main())
