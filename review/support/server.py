"""Stand-in of an application server, which reports to the core and runs requests."""

from __future__ import annotations

import contextlib
import itertools
import json
import socket
import struct
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from support.http import Address, request
from support.record import Record

HEARTBEAT_S = 1.2
STREAM_HEADERS = {
    "Content-Type": "text/event-stream",
    "Leadseam-Weight-Versions": "1",
}
_ids = itertools.count(1)


@dataclass(frozen=True)
class Run:
    """A request that a server has begun to run.

    Args:
        request_id: Its identifier.
        tenant: Tenant that the system has named.
        authorization: Value of its `Authorization` header, or None.
        at: Time of its arrival.
    """

    request_id: str
    tenant: str | None
    authorization: str | None
    at: float


class Server:
    """A server that answers every request that is meant for it.

    Args:
        ip: Address that it listens on.
        service: Service that it reports for.
        zone: Zone that it reports.
        controls: Addresses of the core machines.
        record: Record of the run.
        slots: Requests that it works on at once.
        stream: Answers a request with a stream of events; None for plain answers.
        framed: Whether streams are sent in chunks; otherwise they end with the channel.
    """

    def __init__(
        self,
        ip: str,
        service: str,
        *,
        zone: str,
        controls: Sequence[Address],
        record: Record,
        slots: int = 6,
        stream: Callable[[BaseHTTPRequestHandler, Run], None] | None = None,
        framed: bool = True,
    ) -> None:
        self.framed = framed
        self.state = "ready"
        self.acked_state = ""
        self._state_changed = threading.Event()
        self.stream = stream
        self._slots = slots
        self.instance = f"i-{next(_ids):08x}"
        self.runs: list[Run] = []
        self.record = record
        self._service = service
        self._zone = zone
        self._controls = itertools.cycle(controls)
        self._ended = threading.Event()
        self._http = _HttpServer((ip, 0), _Handler)
        self._http.owner = self
        self._address: Address = (ip, self._http.server_address[1])
        for target in (self._http.serve_forever, self._report):
            threading.Thread(target=target, daemon=True).start()

    def close(self) -> None:
        """Stop serving and reporting."""
        self._ended.set()
        self._state_changed.set()
        self._http.shutdown()
        self._http.server_close()

    def drain(self) -> None:
        """Announce a planned end with the next report, which is sent at once."""
        self.state = "draining"
        self._state_changed.set()

    def _report(self) -> None:
        for sequence in itertools.count(1):
            state = self.state
            body = json.dumps(self._heartbeat(sequence)).encode()
            path = f"/leadseam/instances/{self.instance}/heartbeat"
            for address in itertools.islice(self._controls, 5):
                reply = request(
                    address,
                    "POST",
                    path,
                    headers={"Content-Type": "application/json"},
                    body=body,
                    timeout=1,
                )
                if reply.status == 200:
                    self.acked_state = state
                if reply.status == 200 or self._ended.is_set():
                    break
            self._state_changed.wait(HEARTBEAT_S)
            self._state_changed.clear()
            if self._ended.is_set():
                return

    def _heartbeat(self, sequence: int) -> dict[str, Any]:
        return {
            "service": self._service,
            "address": f"{self._address[0]}:{self._address[1]}",
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": sequence,
        }


class _HttpServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    owner: Server


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _HttpServer
    disable_nagle_algorithm = True

    def do_GET(self) -> None:
        self._serve()

    def do_POST(self) -> None:
        self._serve()

    def log_message(self, format: str, *args: Any) -> None:
        """Log nothing; the record has the runs."""

    def _serve(self) -> None:
        owner = self.server.owner
        if self.path.startswith("/leadseam/kv-events"):
            self._answer_events()
            return
        self.rfile.read(int(self.headers.get("Content-Length", "0")))
        request_id = self.headers.get("Leadseam-Request-Id")
        if request_id is None:
            self._answer(400, {"Leadseam-Not-Executed": "1"})
            return
        own = {"Leadseam-Request-Id": request_id}
        if self.headers.get("Leadseam-Expect-Instance") != owner.instance:
            self._answer(421, own)
            return
        run = Run(
            request_id,
            self.headers.get("Leadseam-Tenant-Id"),
            self.headers.get("Authorization"),
            time.monotonic(),
        )
        owner.runs.append(run)
        owner.record.write(
            "request run",
            id=run.request_id,
            server=owner.instance,
            tenant=run.tenant,
            authorization=repr(run.authorization),
        )
        signature = {"Leadseam-Response-Signature": f"{owner.instance}.{request_id}"}
        if owner.stream is None:
            self._answer(200, own | signature, b"done")
            return
        with contextlib.suppress(OSError):
            headers = own | signature | STREAM_HEADERS
            if owner.framed:
                headers["Transfer-Encoding"] = "chunked"
            else:
                headers["Connection"] = "close"
                self.close_connection = True
            self._begin(200, headers)
            owner.stream(self, run)

    def _answer_events(self) -> None:
        """Answer a call for cache events: there are none."""
        time.sleep(int(self.headers.get("Wait-Ms", "0")) / 1_000)
        page = {"epoch": 1, "nextPageToken": 1, "lost": False, "events": []}
        self._answer(
            200, {"Content-Type": "application/json"}, json.dumps(page).encode()
        )

    def _answer(self, status: int, headers: dict[str, str], body: bytes = b"") -> None:
        with contextlib.suppress(OSError):
            self._begin(status, headers | {"Content-Length": str(len(body))})
            self.wfile.write(body)

    def _begin(self, status: int, headers: dict[str, str]) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.end_headers()


def write_chunk(handler: BaseHTTPRequestHandler, data: bytes) -> None:
    """Write a chunk of a stream; an empty one ends it."""
    handler.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
    handler.wfile.flush()


def reset(handler: BaseHTTPRequestHandler) -> None:
    """Break a channel off with a reset."""
    linger = struct.pack("ii", 1, 0)
    handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    handler.close_connection = True
    handler.connection.close()
