"""Operate a leadseam fleet.

Usage:
  leadseamctl [options] apply FILE [--dry-run] [--change-id ID]
  leadseamctl [options] get
  leadseamctl [options] history [--limit N]
  leadseamctl [options] status
  leadseamctl [options] wait VERSION [--nodes N] [--timeout MS]
  leadseamctl [options] (drain | undrain) UPSTREAM
  leadseamctl hash-key
  leadseamctl (-h | --help)

Commands:
  apply     Show the difference to FILE and apply it.
  get       Print the configuration in force, in the form of FILE.
  history   List accepted changes, the newest first.
  status    Show the replicas, and how many nodes have which version in force.
  wait      Wait until every node on the feed has VERSION in force.
  drain     Send no new work to an upstream; undrain reverts this.
  hash-key  Read a key from standard input and print its hash, for use in a FILE.

Options:
  --control ADDRESSES  Operators' RPC of the replicas, as IP:PORT,IP:PORT
                       [default: 127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103].
  --token-file PATH    File with the operator's token; else LEADSEAM_TOKEN.
  --json               Print JSON.
  --dry-run            Only show the difference.
  --change-id ID       Id of the change; a retry must use the same one.
  --limit N            Maximum rows of history [default: 20].
  --nodes N            Minimum number of nodes to wait for [default: 1].
  --timeout MS         Milliseconds after which wait gives up [default: 9000].

Exit codes: 0 done, 1 refused or timed out, 2 wrong usage or file, 3 conflict,
4 no replica answered, 5 wrong token.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import sys
import uuid
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
import yaml
from docopt import docopt
from google.protobuf.json_format import MessageToDict

from leadseam.cli._client import DeniedError, OperatorClient, UnavailableError
from leadseam.clock import SystemClock, sleep
from leadseam.control.configuration import Drain, Section
from leadseam.control.desired import describe, difference, parse_desired
from leadseam.control.state import ChangeStatus
from leadseam.errors import SettingsError
from leadseam.schema import operator_pb2 as pb
from leadseam.schema.convert import configuration_from_message, operation_to_message
from leadseam.settings.load import parse_settings, read_yaml
from leadseam.settings.models import Endpoint

if TYPE_CHECKING:
    from collections.abc import Sequence

    from leadseam.control.configuration import Configuration, Operation

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_DENIED = 5

TOKEN_VARIABLE = "LEADSEAM_TOKEN"
POLL_INTERVAL = 100

Args = dict[str, Any]


def main() -> None:
    """Entry point of `leadseamctl`."""
    args: Args = docopt(__doc__)
    if args["hash-key"]:
        print(hashlib.sha256(sys.stdin.read().strip().encode()).hexdigest())
        sys.exit(EXIT_DONE)
    try:
        sys.exit(asyncio.run(_run(args)))
    except SettingsError as exc:
        _exit_with_error(exc.message, EXIT_USAGE)
    except UnavailableError as exc:
        _exit_with_error(exc.message, EXIT_UNAVAILABLE)
    except DeniedError as exc:
        _exit_with_error(exc.message, EXIT_DENIED)


async def _run(args: Args) -> int:
    client = OperatorClient(_endpoints(args["--control"]), _token(args))
    if args["apply"]:
        return await _apply(client, args)
    if args["get"]:
        return await _get(client, args)
    if args["history"]:
        return await _history(client, args)
    if args["status"]:
        return await _status(client, args)
    if args["wait"]:
        return await _wait(client, args)
    return await _drain(client, args)


async def _apply(client: OperatorClient, args: Args) -> int:
    path = Path(args["FILE"])
    desired = parse_desired(read_yaml(path), str(path))
    current = configuration_from_message(await client.get())
    operations = difference(current, desired)
    for line in describe(operations, current):
        print(line, file=sys.stderr)
    if args["--dry-run"] or not operations:
        return _print_result(args, {"status": "unchanged", "version": current.version})
    return await _submit(client, args, current, operations)


async def _drain(client: OperatorClient, args: Args) -> int:
    current = configuration_from_message(await client.get())
    operation = Drain(args["UPSTREAM"], bool(args["drain"]))
    return await _submit(client, args, current, (operation,))


async def _submit(
    client: OperatorClient,
    args: Args,
    current: Configuration,
    operations: Sequence[Operation],
) -> int:
    request = pb.ApplyRequest(
        change_id=args["--change-id"] or str(uuid.uuid4()),
        expect_version=current.version,
        operations=[operation_to_message(operation) for operation in operations],
    )
    reply = await client.apply(request)
    result = {"status": reply.status, "version": reply.version}
    if reply.faults:
        result["faults"] = list(reply.faults)
    _print_result(args, result)
    match reply.status:
        case ChangeStatus.ACCEPTED:
            return EXIT_DONE
        case ChangeStatus.CONFLICT:
            return EXIT_CONFLICT
        case _:
            return EXIT_REFUSED


async def _get(client: OperatorClient, args: Args) -> int:
    configuration = configuration_from_message(await client.get())
    data: dict[str, Any] = {}
    for section in Section:
        rows = msgspec.to_builtins(list(configuration.table(section).values()))
        data[section.value] = [_without_tag(row) for row in rows]
    if args["--json"]:
        print(json.dumps({"version": configuration.version, **data}))
    else:
        print(f"# version {configuration.version}")
        print(yaml.safe_dump(data, sort_keys=False), end="")
    return EXIT_DONE


async def _history(client: OperatorClient, args: Args) -> int:
    reply = await client.history(int(args["--limit"]))
    rows = [_to_dict(row) for row in reply.rows]
    return _print_rows(args, rows)


async def _status(client: OperatorClient, args: Args) -> int:
    replies = await client.status()
    rows = []
    for endpoint, reply in replies:
        row: dict[str, Any] = {"address": f"{endpoint.ip}:{endpoint.port}"}
        row |= _to_dict(reply) if reply is not None else {"role": "unreachable"}
        rows.append(row)
    _print_rows(args, rows)
    current = any(reply is not None and reply.current for _, reply in replies)
    return EXIT_DONE if current else EXIT_UNAVAILABLE


async def _wait(client: OperatorClient, args: Args) -> int:
    clock = SystemClock()
    deadline = clock.now() + int(args["--timeout"])
    version = int(args["VERSION"])
    while True:
        nodes = await _versions_in_force(client)
        behind = sorted(node for node, held in nodes.items() if held < version)
        if not behind and len(nodes) >= int(args["--nodes"]):
            return _print_result(args, {"version": version, "nodes": len(nodes)})
        if clock.now() >= deadline:
            _print_result(args, {"nodes": len(nodes), "behind": behind})
            return EXIT_REFUSED
        await sleep(POLL_INTERVAL)


async def _versions_in_force(client: OperatorClient) -> dict[str, int]:
    nodes: dict[str, int] = {}
    for _, reply in await client.status():
        for subscriber in reply.subscribers if reply is not None else ():
            previous = nodes.get(subscriber.node, 0)
            nodes[subscriber.node] = max(previous, subscriber.in_force)
    return nodes


def _print_result(args: Args, result: dict[str, Any]) -> int:
    if args["--json"]:
        print(json.dumps(result))
    else:
        print(" ".join(f"{key}={value}" for key, value in result.items()))
    return EXIT_DONE


def _print_rows(args: Args, rows: list[dict[str, Any]]) -> int:
    if args["--json"]:
        print(json.dumps(rows))
    else:
        print(yaml.safe_dump(rows, sort_keys=False), end="")
    return EXIT_DONE


def _to_dict(message: Any) -> dict[str, Any]:
    return MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )


def _without_tag(row: dict[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in row.items() if key != "type"}


def _endpoints(text: str) -> list[Endpoint]:
    endpoints = []
    for address in text.split(","):
        ip, _, port = address.rpartition(":")
        data = {"ip": ip, "port": int(port) if port.isdigit() else port}
        endpoints.append(parse_settings(data, Endpoint, "--control"))
    return endpoints


def _token(args: Args) -> str:
    path = args["--token-file"]
    if path is None:
        return os.environ.get(TOKEN_VARIABLE, "")
    try:
        return Path(path).read_text().strip()
    except OSError as exc:
        raise SettingsError(f"{path}: cannot read: {exc.strerror}") from exc


def _exit_with_error(message: str, code: int) -> None:
    print(f"leadseamctl: {message}", file=sys.stderr)
    sys.exit(code)


if __name__ == "__main__":
    main()
