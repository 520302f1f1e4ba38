"""HTTP calls of the stand-ins, each on a connection of its own."""

from __future__ import annotations

import http.client
from collections.abc import Mapping
from dataclasses import dataclass, field

Address = tuple[str, int]


@dataclass(frozen=True)
class Reply:
    """Answer to a call; `status` is 0 if there is none or it broke off."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


def request(
    address: Address,
    method: str,
    path: str,
    *,
    headers: Mapping[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 5,
) -> Reply:
    """Send a request and read its whole answer."""
    conn = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        return send(conn, method, path, headers=headers or {}, body=body)
    finally:
        conn.close()


def send(
    conn: http.client.HTTPConnection,
    method: str,
    path: str,
    *,
    headers: Mapping[str, str],
    body: bytes = b"",
) -> Reply:
    """Send a request on a connection and read its whole answer."""
    try:
        conn.putrequest(
            method, path, skip_host="Host" in headers, skip_accept_encoding=True
        )
        for name, value in headers.items():
            conn.putheader(name, value)
        if body or method == "POST":
            conn.putheader("Content-Length", str(len(body)))
        conn.endheaders(body or None)
        response = conn.getresponse()
        data = response.read()
    except (OSError, http.client.HTTPException):
        conn.close()
        return Reply(0)
    return Reply(response.status, data, dict(response.getheaders()))
