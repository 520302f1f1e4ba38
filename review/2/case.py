"""A server cuts a stream short while it keeps the channel alive with comments.

The servers send event streams with CR LF line ends. While a request waits for its next
token, its server writes a comment line every few ms, as the standard of event streams
suggests, and then goes on. Of fifty streams one is cut short after such a wait, in the
middle of an event. With `TROUBLE=0` that stream has the same comments but goes on like
the others.
"""

from __future__ import annotations

import http.client
import itertools
import os
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support.fleet import BOUNDS, CannotRunError, Fleet, wait_until
from support.http import send
from support.operator import Operator
from support.record import Record
from support.server import Run, Server, reset, write_chunk

HELD, BROKEN, NO_RUN = 0, 1, 2
HOST = "kiosk.example"
SERVICE = "kiosk-llm"
TIMEOUT_MS = 2_500
DEADLINE_MS = 6_000
EVENTS = 8
COMMENTS = 40
COMMENT_INTERVAL_S = 0.02
CALM_STREAMS = 50
CLIENTS = 12
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_ids = itertools.count(1)


def manifest() -> dict[str, Any]:
    """Return the only manifest: one route to model servers."""
    return {
        "version": 1,
        "routes": [
            {
                "name": "explain",
                "host": HOST,
                "pathPrefix": "/explain/",
                "kind": "streaming",
                "timeoutMs": TIMEOUT_MS,
                "targetLatencyMs": 250,
                "priority": 1,
                "service": SERVICE,
                "maxAttempts": 2,
                "allowAnonymous": False,
                "stickySessions": True,
                "resumable": True,
                "gapTargetMs": 200,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/healthz",
                "maxConnections": 300,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 48,
                    "kvCapacity": 986267,
                    "kvTokenBytes": 18432,
                    "linkMbps": 550000.0,
                    "moves": True,
                    "backups": True,
                    "stride": 6,
                    "most": 12,
                    "pinMs": 4000.0,
                    "holdMs": 2000.0,
                    "handleS": 5.0,
                    "models": [{"name": "m"}],
                },
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "tokensPerS": 140000,
        },
        "tenants": [{"name": "bank", "apiKeys": ["k-bank-7f3a91c2"], "priority": 1}],
    }


class Streams:
    """Answers requests with streams, of which those that are marked have a wait."""

    def __init__(self) -> None:
        self.waits: set[str] = set()

    def answer(self, handler: BaseHTTPRequestHandler, run: Run) -> None:
        """Send the events after the last one that the caller has."""
        first = int(handler.headers.get("Last-Event-Id", "0")) + 1
        marked = run.request_id in self.waits
        self.waits.discard(run.request_id)
        for number in range(first, EVENTS + 1):
            if marked and number == first + 2:
                for _ in range(COMMENTS):
                    write_chunk(handler, b":\r\n")
                    time.sleep(COMMENT_INTERVAL_S)
                if TROUBLE:
                    write_chunk(handler, b"id: %d\r\ndata: pi" % number)
                    time.sleep(COMMENT_INTERVAL_S)
                    reset(handler)
                    return
            write_chunk(handler, b"id: %d\r\ndata: piece %d\r\n\r\n" % (number, number))
            time.sleep(0.01)
        write_chunk(handler, b"")


class Client:
    """A client that keeps one channel to an edge machine.

    Args:
        fleet: The machines.
        edge: The edge machine.
    """

    def __init__(self, fleet: Fleet, edge: str) -> None:
        self.edge = edge
        self.answered_after: float | None = None
        self._fleet = fleet
        self._conn = http.client.HTTPConnection(
            *fleet.front(edge), timeout=DEADLINE_MS / 1_000
        )

    def call(self, request_id: str = "") -> int:
        """Send a request, note when its answer is whole, and return the status."""
        request_id = request_id or f"r-{next(_ids):08x}"
        headers = {
            "Host": HOST,
            "Leadseam-Request-Id": request_id,
            "Leadseam-Deadline-Ms": str(DEADLINE_MS),
            "Leadseam-Model": "m",
            "Leadseam-Token-Usage": "828,48",
            "Leadseam-Prompt-Prefix": f"5c1e07a2:198,{next(_ids):x}:630",
            "Authorization": "Bearer k-bank-7f3a91c2",
        }
        sent = time.monotonic()
        reply = send(self._conn, "POST", "/explain/1", headers=headers, body=b"{}")
        seconds = time.monotonic() - sent
        self.answered_after = seconds if reply.status else None
        self._fleet.record.write(
            "request answered" if reply.status else "request not answered",
            id=request_id,
            edge=self.edge,
            status=reply.status,
            bytes=len(reply.body),
            seconds=f"{seconds:.3f}",
        )
        return reply.status


def call_all(clients: list[Client]) -> None:
    """Let all clients send a request at once, and wait for the answers."""
    threads = [threading.Thread(target=client.call) for client in clients]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def play(fleet: Fleet, streams: Streams) -> int:
    """Play the case and return its exit code."""
    record = fleet.record
    Operator(fleet.controls(), record).replace(manifest())
    fleet.wait_ready()
    clients = [Client(fleet, edge) for edge in fleet.edges for _ in range(CLIENTS)]
    for one in (clients[0], clients[-1]):
        wait_until(lambda one=one: one.call() == 200, f"{one.edge} serves")
    time.sleep(float(BOUNDS["contactMs"]) / 1_000)
    call_all(clients)
    for client in itertools.islice(itertools.cycle(clients), CALM_STREAMS):
        if client.call() != 200:
            raise CannotRunError("a stream is not served before the case")

    marked = f"r-{next(_ids):08x}"
    streams.waits.add(marked)
    record.write("stream with a wait", id=marked, cut_short=TROUBLE)
    cut = threading.Thread(target=clients[0].call, args=(marked,))
    cut.start()
    time.sleep(COMMENTS * COMMENT_INTERVAL_S + 1.0)
    others = [client for client in clients if client is not clients[0]]
    call_all(others)
    cut.join()
    fleet.check_running()

    limit = TIMEOUT_MS / 1_000
    outlasting = [
        one
        for one in others
        if one.answered_after is None or one.answered_after > limit
    ]
    unanswered = [
        one
        for one in outlasting
        if one.answered_after is None or one.answered_after > limit + 0.5
    ]
    record.write(
        "verdict",
        requests=len(others),
        unanswered_at_timeout=len(outlasting),
        unanswered_half_a_second_later=len(unanswered),
        edges=sorted({one.edge for one in unanswered}),
        ready=[ip for ip in fleet.edges if fleet.is_ready(ip)],
    )
    return BROKEN if len(unanswered) >= 8 else HELD


def main() -> int:
    """Run the case and return its exit code."""
    record = Record(Path(__file__).with_name("record.txt"))
    fleet: Fleet | None = None
    servers: list[Server] = []
    streams = Streams()
    try:
        fleet = Fleet(record)
        fleet.start_all()
        for ip, zone in zip(fleet.sides, ("north", "middle"), strict=False):
            servers.append(
                Server(
                    ip,
                    SERVICE,
                    zone=zone,
                    controls=fleet.controls(),
                    record=record,
                    slots=48,
                    stream=streams.answer,
                )
            )
        return play(fleet, streams)
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
