"""Write the example settings and configurations at the users' sizes.

Usage:
  make_examples
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import yaml

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
INNER, OPERATOR, ADMIN, PUBLIC, SERVER = 7001, 7101, 7201, 8080, 9000
HASH = "replace-with-leadseamctl-hash-key"


def at(ip: str, port: int) -> dict[str, Any]:
    """Return an endpoint."""
    return {"ip": ip, "port": port}


def write(path: Path, data: Any) -> None:
    """Write a YAML file."""
    path.write_text(yaml.safe_dump(data, sort_keys=False))


def upstreams(
    domains: tuple[str, ...], pools: list[tuple[str, int, int]], net: int
) -> list[dict[str, Any]]:
    """Return upstream rows, spread over the failure domains."""
    rows: list[dict[str, Any]] = []
    for pool, count, slots in pools:
        for number in range(1, count + 1):
            ip = f"10.{net}.{len(rows) + 10}.1"
            rows.append(
                {
                    "name": f"{pool}-{number}",
                    "pool": pool,
                    "ip": ip,
                    "port": SERVER,
                    "sidecar_ip": ip,
                    "sidecar_port": INNER,
                    "slots": slots,
                    "box": f"box-{pool}-{number}",
                    "failure_domain": domains[(number - 1) % len(domains)],
                }
            )
    return rows


def write_site(
    name: str,
    domains: tuple[str, ...],
    net: int,
    pools: list[dict[str, Any]],
    counts: list[tuple[str, int, int]],
    accounts: list[dict[str, Any]],
    rules: list[dict[str, Any]],
) -> None:
    """Write one user's folder: a fleet and one settings file for each program."""
    folder = EXAMPLES / name
    rows = upstreams(domains, counts, net)
    fleet = {
        "accounts": accounts,
        "pools": pools,
        "upstreams": rows,
        "never_repeat": rules,
    }
    write(folder / "fleet.yaml", fleet)
    replicas = {f"control-{n}": at(f"10.{net}.{n}.1", INNER) for n in (1, 2, 3)}
    control = list(replicas.values())
    for number, domain in enumerate(domains, 1):
        ip = f"10.{net}.{number}.1"
        settings = {
            "identity": {
                "node": f"control-{number}",
                "box": f"box-control-{number}",
                "failure_domain": domain,
            },
            "replicas": replicas,
            "operator": at(ip, OPERATOR),
            "admin": at(ip, ADMIN),
            "data_dir": "/var/lib/leadseam",
            "operators": {"anna": HASH},
        }
        write(folder / f"control-{number}.yaml", settings)
    entry = {
        "identity": {
            "node": "entry-1",
            "box": "box-entry-1",
            "failure_domain": domains[0],
        },
        "listen": at(f"10.{net}.4.1", PUBLIC),
        "control": control,
    }
    write(folder / "entry-1.yaml", entry)
    first = rows[0]
    sidecar = {
        "identity": {
            "node": f"sidecar-{first['name']}",
            "box": first["box"],
            "failure_domain": first["failure_domain"],
        },
        "upstream": first["name"],
        "listen": at(first["ip"], INNER),
        "admin": at(first["ip"], ADMIN),
        "control": control,
        "platform_list": f"http://10.{net}.0.1:9900/boxes",
    }
    write(folder / f"sidecar-{first['name']}.yaml", sidecar)


def account(
    name: str, share: int, models: tuple[str, ...], services: tuple[str, ...]
) -> dict[str, Any]:
    """Return an account row without keys."""
    return {
        "name": name,
        "share": share,
        "key_hashes": [],
        "models": [{"model": model} for model in models],
        "services": list(services),
    }


def riga() -> None:
    """Write Riga's kiosk fleet: 6 engines, 3 transaction servers, 16 accounts."""
    pools = [
        {"name": "rates-1", "kind": "engine", "model": "rates", "version": "1"},
        {"name": "slips", "kind": "service"},
    ]
    places = ("centrs", "pardaugava", "purvciems", "market", "airport")
    accounts = [account("compliance", 8, ("rates",), ("slips",))]
    for place in places:
        for kind, share in (("tellers", 4), ("screens", 1), ("receipts", 1)):
            accounts.append(account(f"{place}-{kind}", share, ("rates",), ("slips",)))
    rules = [{"name": "slips-once", "pool": "slips", "path_prefix": "/"}]
    counts = [("rates-1", 6, 8), ("slips", 3, 16)]
    write_site("riga", places[:3], 20, pools, counts, accounts, rules)


def clachan() -> None:
    """Write Clachan Plates: 5 engines, 3 ordering servers, 16 accounts."""
    pools = [
        {"name": "menus-1", "kind": "engine", "model": "menus", "version": "1"},
        {"name": "orders", "kind": "service"},
    ]
    domains = ("hall-leith", "hall-govan", "hall-perth")
    accounts = [
        account("payments", 8, (), ("orders",)),
        account("dispatch", 8, (), ("orders",)),
        account("diners", 6, ("menus",), ("orders",)),
        account("allergens", 2, ("menus",), ("orders",)),
    ]
    accounts += [account(f"partner-{n}", 1, ("menus",), ()) for n in range(1, 13)]
    rules = [
        {"name": "payments-once", "account": "payments", "pool": "orders"},
        {"name": "tickets-once", "account": "allergens", "pool": "orders"},
    ]
    counts = [("menus-1", 5, 8), ("orders", 3, 16)]
    write_site("clachan", domains, 30, pools, counts, accounts, rules)


def main() -> None:
    """Write all examples."""
    riga()
    clachan()


if __name__ == "__main__":
    main()
