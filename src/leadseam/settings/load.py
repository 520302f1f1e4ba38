"""Loader for settings files that reports errors by file and key path."""

from __future__ import annotations

import ipaddress
import re
from pathlib import Path
from typing import TypeVar

import msgspec
import yaml

from leadseam.errors import SettingsError
from leadseam.settings.models import ControlSettings, Endpoint

T = TypeVar("T")

_PATH_IN_MESSAGE = re.compile(r"^(?P<what>.*?)(?: - at `(?P<path>.*)`)?$", re.DOTALL)


def load_settings(path: Path, type_: type[T]) -> T:
    """Read and validate a settings file.

    Args:
        path: Path of the YAML file.
        type_: Class of the settings.

    Returns:
        The validated settings.

    Raises:
        SettingsError: If the file is invalid; the message names the file, the key path
            and the expected value.
    """
    settings = parse_settings(_read(path), type_, str(path))
    if isinstance(settings, ControlSettings):
        _check_control(settings, str(path))
    return settings


def parse_settings(data: object, type_: type[T], name: str) -> T:
    """Convert parsed YAML to a settings class and validate it.

    Args:
        data: Parsed content of the file.
        type_: Class of the settings.
        name: Name of the source, for error messages.

    Raises:
        SettingsError: If the data is invalid.
    """
    try:
        settings = msgspec.convert(data, type_)
    except msgspec.ValidationError as exc:
        raise SettingsError(f"{name}: {_format_error(str(exc))}") from exc
    _check_addresses(settings, name, "$")
    return settings


def read_yaml(path: Path) -> object:
    """Parse a YAML file.

    Raises:
        SettingsError: If the file cannot be read or is not valid YAML.
    """
    return _read(path)


def _read(path: Path) -> object:
    try:
        data: object = yaml.safe_load(path.read_text())
    except OSError as exc:
        raise SettingsError(f"{path}: cannot read: {exc.strerror}") from exc
    except (yaml.YAMLError, UnicodeDecodeError) as exc:
        line = " ".join(str(exc).split())
        raise SettingsError(f"{path}: not YAML: {line}") from exc
    return data


def _format_error(message: str) -> str:
    match = _PATH_IN_MESSAGE.match(message)
    assert match is not None
    return f"{match['path'] or '$'}: {match['what']}"


def _check_addresses(value: object, name: str, path: str) -> None:
    match value:
        case Endpoint(ip=ip):
            _check_ip(ip, name, f"{path}.ip")
        case msgspec.Struct():
            for field in value.__struct_fields__:
                _check_addresses(getattr(value, field), name, f"{path}.{field}")
        case tuple():
            for position, item in enumerate(value):
                _check_addresses(item, name, f"{path}[{position}]")
        case dict():
            for key, item in value.items():
                _check_addresses(item, name, f"{path}.{key}")
        case _:
            return


def _check_ip(ip: str, name: str, path: str) -> None:
    try:
        ipaddress.ip_address(ip)
    except ValueError as exc:
        message = f"{name}: {path}: expected an IP number, got {ip!r}"
        raise SettingsError(message) from exc


def _check_control(settings: ControlSettings, name: str) -> None:
    node = settings.identity.node
    if node not in settings.replicas:
        raise SettingsError(f"{name}: $.replicas: expected a key {node!r}")
    if not Path(settings.data_dir).is_dir():
        message = f"{name}: $.data_dir: expected a folder, got {settings.data_dir!r}"
        raise SettingsError(message)
