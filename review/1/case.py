"""The last keys of the tenants are taken away while their clients go on sending.

Two tenants have one key each. Two manifests, 1.5 s apart, take away one key each. The
tenants stay in the manifest, so each request needs a known key and no key is known: an
entry has to answer 401. With `TROUBLE=0` the same two versions keep both keys.
"""

from __future__ import annotations

import itertools
import os
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support.fleet import BOUNDS, CannotRunError, Fleet, wait_until
from support.http import Reply, request
from support.operator import Operator
from support.record import Record
from support.server import Server

HELD, BROKEN, NO_RUN = 0, 1, 2
HOST = "orders.example"
SERVICE = "order-core"
KEYS = {"bakery": "k-bakery-7f3a91c2", "florist": "k-florist-5c1e07a2"}
APPLY_S = float(BOUNDS["configApplyMs"]) / 1_000
GAP_S = 1.5
CALLS = 20
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_ids = itertools.count(1)


def manifest(version: int, revoked: set[str]) -> dict[str, Any]:
    """Return a manifest in which some tenants have no keys."""
    return {
        "version": version,
        "routes": [
            {
                "name": "ping",
                "host": HOST,
                "pathPrefix": "/ping/",
                "kind": "safe",
                "timeoutMs": 3000,
                "targetLatencyMs": 400,
                "priority": 1,
                "service": SERVICE,
                "maxAttempts": 2,
                "allowAnonymous": False,
                "stickySessions": False,
                "resumable": False,
            }
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
                "name": name,
                "apiKeys": [] if name in revoked else [key],
                "priority": 1,
            }
            for name, key in KEYS.items()
        ],
    }


class Client:
    """Sends requests to all edge machines in turn and notes which it has sent.

    Args:
        fleet: The machines.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._edges = itertools.cycle(fleet.edges)
        self.sent_with: dict[str, str | None] = {}

    def call(self, key: str | None) -> Reply:
        """Send a request with a key, or with none, on a new channel."""
        request_id = f"r-{next(_ids):08x}"
        self.sent_with[request_id] = key
        headers = {
            "Host": HOST,
            "Leadseam-Request-Id": request_id,
            "Leadseam-Deadline-Ms": "3000",
        }
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        edge = next(self._edges)
        reply = request(
            self._fleet.front(edge), "GET", "/ping/1", headers=headers, timeout=4
        )
        self._fleet.record.write(
            "request answered", id=request_id, edge=edge, key=key, status=reply.status
        )
        return reply

    def calls(self, count: int) -> set[str]:
        """Send requests with each key and with none, and return their ids."""
        before = set(self.sent_with)
        for _ in range(count):
            for key in (*KEYS.values(), None):
                self.call(key)
            time.sleep(0.05)
        return set(self.sent_with) - before


def play(fleet: Fleet, servers: list[Server]) -> int:
    """Play the case and return its exit code."""
    record = fleet.record
    client = Client(fleet)
    operator = Operator(fleet.controls(), record)
    operator.replace(manifest(1, set()))
    fleet.wait_ready()
    for key in KEYS.values():
        wait_until(
            lambda key=key: all(client.call(key).status == 200 for _ in fleet.edges),
            "both edge machines serve",
        )
    time.sleep(float(BOUNDS["contactMs"]) / 1_000)
    if {client.call(None).status for _ in fleet.edges} != {401}:
        raise CannotRunError("a request without a key is not refused before the case")

    revoked: set[str] = set()
    acked = 0.0
    for version, name in enumerate(KEYS, start=2):
        if TROUBLE:
            revoked.add(name)
        acked = operator.replace(manifest(version, set(revoked)))
        record.write("manifest acknowledged", version=version, without_key=revoked)
        time.sleep(GAP_S)
    time.sleep(max(acked + APPLY_S + 0.5 - time.monotonic(), 0))
    sent = client.calls(CALLS)
    fleet.check_running()

    allowed = {key for name, key in KEYS.items() if name not in revoked}
    runs = [run for one in servers for run in one.runs if run.request_id in sent]
    wrong = [run for run in runs if client.sent_with[run.request_id] not in allowed]
    with_dropped_key = [run for run in wrong if client.sent_with[run.request_id]]
    passed_on = [run for run in runs if run.authorization is not None]
    record.write(
        "verdict",
        sent=len(sent),
        run=len(runs),
        run_with_dropped_key=len(with_dropped_key),
        run_without_key=len(wrong) - len(with_dropped_key),
        key_passed_on=len(passed_on),
    )
    return BROKEN if wrong or passed_on else HELD


def main() -> int:
    """Run the case and return its exit code."""
    record = Record(Path(__file__).with_name("record.txt"))
    fleet: Fleet | None = None
    servers: list[Server] = []
    try:
        fleet = Fleet(record)
        fleet.start_all()
        for ip, zone in zip(fleet.sides, ("north", "middle"), strict=False):
            servers.append(
                Server(ip, SERVICE, zone=zone, controls=fleet.controls(), record=record)
            )
        return play(fleet, servers)
    except Exception as exc:
        record.write("the case could not run", cause=repr(exc))
        return NO_RUN
    finally:
        for server in servers:
            server.close()
        if fleet is not None:
            fleet.close()
        record.close()


if __name__ == "__main__":
    sys.exit(main())
