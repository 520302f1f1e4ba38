"""Ports that test fleets reserve."""

from __future__ import annotations

import socket

import pytest

from tools.ports import LOOPBACK, ReservedPorts

OTHER = "127.0.0.2"


def test_a_reserved_port_can_be_used_and_is_given_to_nobody_else() -> None:
    ports = ReservedPorts()
    first = ports.reserve([LOOPBACK, OTHER], count=2)
    for port in (first, first + 1):
        with socket.socket() as sock, pytest.raises(OSError, match="in use"):
            sock.bind((LOOPBACK, port))
        for _ in range(2):
            with socket.create_server((LOOPBACK, port)):
                pass
    ports.close()
    with socket.socket() as sock:
        sock.bind((LOOPBACK, first))
