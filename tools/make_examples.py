"""Write the example settings and configurations at the users' sizes.

Usage:
  make_examples
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import yaml

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
INNER_PORT, OPERATOR_PORT, ADMIN_PORT, PUBLIC_PORT, SERVER_PORT = (
    7001,
    7101,
    7201,
    8080,
    9000,
)
KEY_HASH = "replace-with-leadseamctl-hash-key"


def endpoint(ip: str, port: int) -> dict[str, Any]:
    """Return the settings of an endpoint."""
    return {"ip": ip, "port": port}


def write_yaml(path: Path, data: Any) -> None:
    """Write data to a YAML file, with keys in the given order."""
    path.write_text(yaml.safe_dump(data, sort_keys=False))


def upstream_rows(
    domains: tuple[str, ...], pools: list[tuple[str, int, int]], subnet: int
) -> list[dict[str, Any]]:
    """Return upstream rows, spread over the failure domains."""
    rows: list[dict[str, Any]] = []
    for pool, count, slots in pools:
        for number in range(1, count + 1):
            ip = f"10.{subnet}.{len(rows) + 10}.1"
            rows.append(
                {
                    "name": f"{pool}-{number}",
                    "pool": pool,
                    "ip": ip,
                    "port": SERVER_PORT,
                    "sidecar_ip": ip,
                    "sidecar_port": INNER_PORT,
                    "slots": slots,
                    "box": f"box-{pool}-{number}",
                    "failure_domain": domains[(number - 1) % len(domains)],
                }
            )
    return rows


def write_site(
    name: str,
    domains: tuple[str, ...],
    subnet: int,
    pools: list[dict[str, Any]],
    counts: list[tuple[str, int, int]],
    accounts: list[dict[str, Any]],
    never_repeat: list[dict[str, Any]],
) -> None:
    """Write the folder of one site: a fleet and settings for each kind of program."""
    folder = EXAMPLES / name
    rows = upstream_rows(domains, counts, subnet)
    fleet = {
        "accounts": accounts,
        "pools": pools,
        "upstreams": rows,
        "never_repeat": never_repeat,
    }
    write_yaml(folder / "fleet.yaml", fleet)
    replicas = {
        f"control-{n}": endpoint(f"10.{subnet}.{n}.1", INNER_PORT) for n in (1, 2, 3)
    }
    control = list(replicas.values())
    for number, domain in enumerate(domains, 1):
        ip = f"10.{subnet}.{number}.1"
        settings = {
            "identity": {
                "node": f"control-{number}",
                "box": f"box-control-{number}",
                "failure_domain": domain,
            },
            "replicas": replicas,
            "operator": endpoint(ip, OPERATOR_PORT),
            "admin": endpoint(ip, ADMIN_PORT),
            "data_dir": "/var/lib/leadseam",
            "operators": {"anna": KEY_HASH},
        }
        write_yaml(folder / f"control-{number}.yaml", settings)
    entry = {
        "identity": {
            "node": "entry-1",
            "box": "box-entry-1",
            "failure_domain": domains[0],
        },
        "listen": endpoint(f"10.{subnet}.4.1", PUBLIC_PORT),
        "control": control,
    }
    write_yaml(folder / "entry-1.yaml", entry)
    first = rows[0]
    sidecar = {
        "identity": {
            "node": f"sidecar-{first['name']}",
            "box": first["box"],
            "failure_domain": first["failure_domain"],
        },
        "upstream": first["name"],
        "listen": endpoint(first["ip"], INNER_PORT),
        "admin": endpoint(first["ip"], ADMIN_PORT),
        "control": control,
        "platform_list": f"http://10.{subnet}.0.1:9900/boxes",
    }
    write_yaml(folder / f"sidecar-{first['name']}.yaml", sidecar)


def account_row(
    name: str, share: int, models: tuple[str, ...], services: tuple[str, ...]
) -> dict[str, Any]:
    """Return an account row without key hashes."""
    return {
        "name": name,
        "share": share,
        "key_hashes": [],
        "models": [{"model": model} for model in models],
        "services": list(services),
    }


def write_riga() -> None:
    """Write the Riga site: 6 engines, 3 transaction servers, 16 accounts."""
    pools = [
        {"name": "rates-1", "kind": "engine", "model": "rates", "version": "1"},
        {"name": "slips", "kind": "service"},
    ]
    places = ("centrs", "pardaugava", "purvciems", "market", "airport")
    accounts = [account_row("compliance", 8, ("rates",), ("slips",))]
    for place in places:
        for kind, share in (("tellers", 4), ("screens", 1), ("receipts", 1)):
            accounts.append(
                account_row(f"{place}-{kind}", share, ("rates",), ("slips",))
            )
    never_repeat = [{"name": "slips-once", "pool": "slips", "path_prefix": "/"}]
    counts = [("rates-1", 6, 8), ("slips", 3, 16)]
    write_site("riga", places[:3], 20, pools, counts, accounts, never_repeat)


def write_clachan() -> None:
    """Write the Clachan Plates site: 5 engines, 3 ordering servers, 16 accounts."""
    pools = [
        {"name": "menus-1", "kind": "engine", "model": "menus", "version": "1"},
        {"name": "orders", "kind": "service"},
    ]
    domains = ("hall-leith", "hall-govan", "hall-perth")
    accounts = [
        account_row("payments", 8, (), ("orders",)),
        account_row("dispatch", 8, (), ("orders",)),
        account_row("diners", 6, ("menus",), ("orders",)),
        account_row("allergens", 2, ("menus",), ("orders",)),
    ]
    accounts += [account_row(f"partner-{n}", 1, ("menus",), ()) for n in range(1, 13)]
    never_repeat = [
        {"name": "payments-once", "account": "payments", "pool": "orders"},
        {"name": "tickets-once", "account": "allergens", "pool": "orders"},
    ]
    counts = [("menus-1", 5, 8), ("orders", 3, 16)]
    write_site("clachan", domains, 30, pools, counts, accounts, never_repeat)


def main() -> None:
    """Write all examples."""
    write_riga()
    write_clachan()


if __name__ == "__main__":
    main()
