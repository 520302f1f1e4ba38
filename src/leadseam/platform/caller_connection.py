"""A caller's connection that enforces the limits of the configuration.

The HTTP library bounds single lines of a head, but neither a whole head nor the time
that it takes, and its time limits can't change while a connection is open.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from leadseam.clock import Millis, seconds
from leadseam.outcome import NotRun, Reason
from leadseam.platform.refusal import encode_refusal
from leadseam.runtime.held_connection import (
    HEAD_END,
    BodyTimeoutError,
    HeldConnection,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.control.routes import CallerLimits

SHED_PAUSE: Millis = 1_000
"""Retry-After pause while the entry holds too much for its callers."""


class CallerConnection(HeldConnection):
    """A connection whose heads are limited in size and time, and its idle time.

    Args:
        limits: Returns the limits in force; 0 stands for no limit.
        on_refusal: Called with the reason of each refusal.
    """

    def __init__(
        self,
        *args: Any,
        limits: Callable[[], CallerLimits],
        on_refusal: Callable[[Reason], None],
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self._limits = limits
        self._on_refusal = on_refusal
        # Bytes of a head that is not complete, its last ones, and when it began.
        self._head_size = 0
        self._head_tail = b""
        self._head_since: float | None = None
        self._idle_since: float | None = None
        self._read_at = 0.0

    def data_received(self, data: bytes) -> None:
        """Process bytes."""
        if data:
            self._idle_since = None
            self._read_at = self._loop.time()
        super().data_received(data)

    def feed(self, piece: bytes) -> None:
        """Parse bytes; refuse a head that is too large."""
        if self.awaits_head and not self._accept_head(piece):
            self._refuse(Reason.HEADER_TOO_LARGE)
            return
        super().feed(piece)

    def refuse_shed(self) -> None:
        """Refuse a request whose head has not arrived completely."""
        self._refuse(Reason.MEMORY_FULL, SHED_PAUSE)

    def enforce_times(self, now: float) -> None:
        """Refuse a head that takes too long, or close an idle connection.

        Args:
            now: Time of the event loop, in seconds.
        """
        limits = self._limits()
        self.max_body = limits.body_bytes
        if self.is_dropping:
            return
        if self.awaits_body:
            if limits.idle_timeout and now - self._read_at > seconds(
                limits.idle_timeout
            ):
                self.fail_body(BodyTimeoutError())
        elif self._head_since is not None:
            if limits.header_timeout and now - self._head_since > seconds(
                limits.header_timeout
            ):
                self._refuse(Reason.HEADER_TIMEOUT)
        elif not self.is_idle:
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now
        elif limits.idle_timeout and now - self._idle_since > seconds(
            limits.idle_timeout
        ):
            self.force_close()

    def _accept_head(self, data: bytes) -> bool:
        """Count the bytes of a head; return whether it is within the limit."""
        limit = self._limits().header_bytes
        joined = self._head_tail + data
        end = joined.find(HEAD_END)
        if end < 0:
            self._head_size += len(data)
            self._head_tail = joined[1 - len(HEAD_END) :]
            if self._head_since is None:
                self._head_since = self._loop.time()
            return not limit or self._head_size <= limit
        size = self._head_size - len(self._head_tail) + end + len(HEAD_END)
        self._head_size = 0
        self._head_tail = b""
        self._head_since = None
        return not limit or size <= limit

    def _refuse(self, reason: Reason, retry_after: Millis | None = None) -> None:
        self.drop()
        self._head_since = None
        self._on_refusal(reason)
        if self.transport is not None:
            refusal = encode_refusal(NotRun(reason, retry_after))
            self.transport.write(refusal)
        self.linger()
