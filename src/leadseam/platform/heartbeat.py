"""The heartbeats of upstreams, decoded."""

from __future__ import annotations

import msgspec

from leadseam.errors import DocumentError
from leadseam.platform.names import DRAINING
from leadseam.platform.settings import read_address
from leadseam.wire.messages import Registration


class _Beat(msgspec.Struct, frozen=True, rename="camel"):
    """A heartbeat; `address` is the server's own, `sequence` grows with each."""

    service: str
    address: str
    zone: str = ""
    slots: int = 1
    state: str = "ready"
    cold_remaining_ms: float = 0
    sequence: int = 0


def read_heartbeat(instance: str, document: bytes) -> Registration:
    """Decode a heartbeat.

    Raises:
        DocumentError: If it cannot be read.
    """
    try:
        beat = msgspec.json.decode(document, type=_Beat)
        address = read_address(beat.address)
    except (msgspec.DecodeError, ValueError) as exc:
        raise DocumentError(f"cannot read the heartbeat: {exc}") from exc
    return Registration(
        instance=instance,
        pool=beat.service,
        ip=address.ip,
        port=address.port,
        failure_domain=beat.zone,
        slots=beat.slots,
        ready=beat.state != DRAINING,
        sequence=beat.sequence,
        cold_left=round(beat.cold_remaining_ms),
    )
