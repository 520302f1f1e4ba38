"""Loading of settings and the `--check` option, shared by the binaries."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

from leadseam.errors import SettingsError
from leadseam.runtime.process import fail_on_settings
from leadseam.settings.load import load_settings

if TYPE_CHECKING:
    from collections.abc import Mapping

T = TypeVar("T")


def settings_or_exit(args: Mapping[str, str | bool | None], type_: type[T]) -> T:
    """Load the settings file given on the command line.

    Args:
        args: Parsed command line with `SETTINGS` and `--check`.
        type_: Class of the settings.

    Returns:
        The settings. With invalid settings, or with `--check`, the process exits
        instead.
    """
    path = Path(str(args["SETTINGS"]))
    try:
        settings = load_settings(path, type_)
    except SettingsError as exc:
        fail_on_settings(exc)
    if args["--check"]:
        print(f"{path}: ok")
        raise SystemExit(0)
    return settings
