"""Semaphore that admits accepted attempts to the upstream's slots in FIFO order."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType


class ResizableSemaphore:
    """FIFO semaphore whose size may change while it is in use."""

    def __init__(self) -> None:
        self._size = 0
        self._acquired = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    def __repr__(self) -> str:
        return (
            f"ResizableSemaphore({self._acquired}/{self._size},"
            f" waiting={len(self._waiting)})"
        )

    def resize(self, size: int) -> None:
        """Set the number of permits; those already acquired stay valid."""
        self._size = size
        self._wake_waiters()

    async def __aenter__(self) -> None:
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(fut)
        self._wake_waiters()
        try:
            await fut
        except asyncio.CancelledError:
            self._withdraw(fut)
            raise

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._release()

    def _wake_waiters(self) -> None:
        while self._waiting and self._acquired < self._size:
            fut = self._waiting.popleft()
            if not fut.done():
                self._acquired += 1
                fut.set_result(None)

    def _withdraw(self, fut: asyncio.Future[None]) -> None:
        if fut.done() and not fut.cancelled():
            self._release()
        elif fut in self._waiting:
            self._waiting.remove(fut)

    def _release(self) -> None:
        self._acquired -= 1
        self._wake_waiters()
