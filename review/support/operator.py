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
ANSWER_TIMEOUT = 1.0
"""Seconds without an answer after which the next machine is called."""
BYTES_PER_S = 200_000
"""Rate by which that time is longer for a large body."""


class Operator:
    """Sends each manifest until it is acknowledged, going from machine to machine.

    Args:
        controls: Addresses of the core machines.
        record: Record of the run.
    """

    def __init__(self, controls: Sequence[Address], record: Record) -> None:
        self._count = len(controls)
        self._controls = itertools.cycle(controls)
        self._record = record

    def replace(self, manifest: Mapping[str, Any], *, timeout: float = 20) -> float:
        """Send a manifest and return the time of its acknowledgement.

        Raises:
            CannotRunError: If it is refused, or not acknowledged in time.
        """
        acked = self.try_replace(manifest, timeout=timeout)
        if acked is None:
            raise CannotRunError(f"manifest {manifest['version']} was not acknowledged")
        return acked

    def try_replace(
        self, manifest: Mapping[str, Any], *, timeout: float
    ) -> float | None:
        """Send a manifest; return the time of its acknowledgement, or None."""
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
                timeout=ANSWER_TIMEOUT + len(body) / BYTES_PER_S,
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
                return None
            time.sleep(pause)
            pause = min(pause * 2, 0.5)
        return None

    def read(self, *, timeout: float) -> int | None:
        """Read the manifest back from any machine, again and again.

        Returns:
            Its version, or None if no machine answers with a manifest in time.
        """
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for address in itertools.islice(self._controls, self._count):
                version = self._read_once(address)
                if version is not None:
                    return version
            time.sleep(0.5)
        return None

    def _read_once(self, address: Address) -> int | None:
        reply = request(
            address, "GET", "/leadseam/config/get", timeout=ANSWER_TIMEOUT + 1
        )
        version = None
        if reply.status == 200:
            version = int(json.loads(reply.body)["version"])
        self._record.write(
            "manifest read", of=address[0], answer=reply.status, version=version
        )
        return version
