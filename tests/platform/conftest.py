"""Fixture with a small platform of real processes and stand-in servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tools.platform.nodes import Platform

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    """A running platform that is closed after the test."""
    platform = Platform(tmp_path)
    try:
        await platform.start_all()
        yield platform
    finally:
        await platform.close()
