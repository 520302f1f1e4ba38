"""Stand-in of the operator, who sends manifests to the core machines."""

from __future__ import annotations

import itertools
import json
import time
from collections.abc import Mapping, Sequence
from typing import Any

from support.fleet import CannotRunError
from support.http import Address, request
from support.record import Record

FINAL = (400, 409, 412, 413, 422)
"""Answers that end a call at once."""


class Operator:
    """Sends each manifest until it is acknowledged, going from machine to machine.

    Args:
        controls: Addresses of the core machines.
        record: Record of the run.
    """

    def __init__(self, controls: Sequence[Address], record: Record) -> None:
        self._controls = itertools.cycle(controls)
        self._record = record

    def replace(self, manifest: Mapping[str, Any], *, timeout: float = 20) -> float:
        """Send a manifest and return the time of its acknowledgement.

        Raises:
            CannotRunError: If it is refused, or not acknowledged in time.
        """
        body = json.dumps(manifest).encode()
        end = time.monotonic() + timeout
        pause = 0.05
        while time.monotonic() < end:
            address = next(self._controls)
            reply = request(
                address,
                "POST",
                "/leadseam/config/replace",
                headers={"Content-Type": "application/json"},
                body=body,
                timeout=1,
            )
            self._record.write(
                "manifest sent",
                version=manifest["version"],
                to=address[0],
                answer=reply.status,
            )
            if reply.status == 200:
                return time.monotonic()
            if reply.status in FINAL:
                break
            time.sleep(pause)
            pause = min(pause * 2, 0.5)
        raise CannotRunError(f"manifest {manifest['version']} was not acknowledged")
