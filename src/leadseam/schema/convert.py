"""Conversion between protobuf messages and configuration records."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from google.protobuf.json_format import MessageToDict, ParseDict

from leadseam.control.configuration import (
    Account,
    ConfigRecord,
    Configuration,
    Delete,
    Drain,
    NeverRepeat,
    Operation,
    Pool,
    Put,
    Upstream,
)
from leadseam.errors import LeadseamError
from leadseam.schema import operator_pb2 as pb

if TYPE_CHECKING:
    from google.protobuf.message import Message


class OperationError(LeadseamError):
    """A malformed operation or configuration."""

    code = "bad_operation"


def operation_from_message(message: pb.Operation) -> Operation:
    """Convert a received message to an operation.

    Raises:
        OperationError: If the message is empty or has a value of the wrong type.
    """
    kind = message.WhichOneof("operation")
    try:
        match kind:
            case "put_account":
                return Put(_to_record(message.put_account, Account))
            case "put_pool":
                return Put(_to_record(message.put_pool, Pool))
            case "put_upstream":
                return Put(_to_record(message.put_upstream, Upstream))
            case "put_never_repeat":
                return Put(_to_record(message.put_never_repeat, NeverRepeat))
            case "delete":
                return msgspec.convert(_to_dict(message.delete), Delete)
            case "drain":
                return Drain(message.drain.upstream, message.drain.draining)
            case _:
                raise OperationError("empty operation")
    except msgspec.ValidationError as exc:
        raise OperationError(f"{kind}: {exc}") from exc


def operation_to_message(operation: Operation) -> pb.Operation:
    """Convert an operation to a message."""
    match operation:
        case Put(record=record):
            return _put_to_message(record)
        case Delete(section=section, name=name):
            return pb.Operation(delete=pb.Deletion(section=section, name=name))
        case Drain(upstream=upstream, draining=draining):
            drain = pb.Draining(upstream=upstream, draining=draining)
            return pb.Operation(drain=drain)


def _put_to_message(record: ConfigRecord) -> pb.Operation:
    match record:
        case Account():
            return pb.Operation(put_account=_to_message(record, pb.Account()))
        case Pool():
            return pb.Operation(put_pool=_to_message(record, pb.Pool()))
        case Upstream():
            return pb.Operation(put_upstream=_to_message(record, pb.Upstream()))
        case NeverRepeat():
            return pb.Operation(put_never_repeat=_to_message(record, pb.NeverRepeat()))


def configuration_to_message(configuration: Configuration) -> pb.Configuration:
    """Convert a configuration to a message."""
    message = pb.Configuration(version=configuration.version)
    for account in configuration.accounts.values():
        message.accounts.append(_to_message(account, pb.Account()))
    for pool in configuration.pools.values():
        message.pools.append(_to_message(pool, pb.Pool()))
    for upstream in configuration.upstreams.values():
        message.upstreams.append(_to_message(upstream, pb.Upstream()))
    for rule in configuration.never_repeat.values():
        message.never_repeat.append(_to_message(rule, pb.NeverRepeat()))
    return message


def configuration_from_message(message: pb.Configuration) -> Configuration:
    """Convert a received message to a configuration.

    Raises:
        OperationError: If a record is malformed.
    """
    try:
        return Configuration(
            version=message.version,
            accounts={row.name: _to_record(row, Account) for row in message.accounts},
            pools={row.name: _to_record(row, Pool) for row in message.pools},
            upstreams={
                row.name: _to_record(row, Upstream) for row in message.upstreams
            },
            never_repeat={
                row.name: _to_record(row, NeverRepeat) for row in message.never_repeat
            },
        )
    except msgspec.ValidationError as exc:
        raise OperationError(str(exc)) from exc


def _to_dict(message: Message) -> dict[str, Any]:
    return MessageToDict(message, preserving_proto_field_name=True)


def _to_record(message: Message, type_: type[Any]) -> Any:
    return msgspec.convert(_to_dict(message), type_)


def _to_message(record: ConfigRecord, message: Any) -> Any:
    return ParseDict(msgspec.to_builtins(record), message, ignore_unknown_fields=True)
