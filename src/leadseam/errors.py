"""Exceptions of this project, each with a stable error code."""

from __future__ import annotations


class LeadseamError(Exception):
    """Base class of all exceptions that this project defines.

    Args:
        message: One human-readable line.
    """

    code = "internal"

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.code}: {self.message})"


class SettingsError(LeadseamError):
    """A settings file is invalid."""

    code = "bad_settings"


class DocumentError(LeadseamError):
    """A document from a caller or an operator is invalid."""

    code = "bad_document"


class WireError(LeadseamError):
    """A frame from a peer cannot be decoded."""

    code = "bad_frame"


class StorageError(LeadseamError):
    """The data directory cannot be read or written."""

    code = "storage_failed"


class StorageDamagedError(StorageError):
    """A record in the middle of the log fails its checksum."""

    code = "storage_damaged"


class InvariantError(LeadseamError):
    """An invariant is violated; the process must stop."""

    code = "invariant_broken"
