"""The exceptions of this project; each carries a stable code."""

from __future__ import annotations


class LeadseamError(Exception):
    """Base of all exceptions raised on purpose.

    Args:
        message: One line for a person.
    """

    code = "internal"

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.code}: {self.message})"


class SettingsError(LeadseamError):
    """A settings file that cannot be used."""

    code = "bad_settings"


class DocumentError(LeadseamError):
    """A caller's or operator's document that cannot be read."""

    code = "bad_document"


class WireError(LeadseamError):
    """A frame from a peer that cannot be decoded."""

    code = "bad_frame"


class StorageError(LeadseamError):
    """The data folder cannot be read or written."""

    code = "storage_failed"


class StorageDamagedError(StorageError):
    """A record in the middle of the log fails its checksum."""

    code = "storage_damaged"


class InvariantError(LeadseamError):
    """A broken invariant; the process must stop."""

    code = "invariant_broken"
