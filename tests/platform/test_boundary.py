"""Names of the platform occur only in its adapter package."""

from __future__ import annotations

import re
from pathlib import Path

SOURCES = Path(__file__).parents[2] / "src" / "leadseam"
ADAPTER = SOURCES / "platform"

WIRE_NAMES = re.compile(
    r"""(?<!X-)Leadseam-[A-Z]
    | /leadseam/(readyz|instances|config|report|hold|kv)
    | LEADSEAM_NODE_FILE
    | \b(apiKeys|trafficSplit|pathPrefix|timeoutMs|allowAnonymous|stickySessions
        |gapTargetMs|targetLatencyMs|maxAttempts|kvCapacity|tokensPerS|kvUsed
        |coldRemainingMs|heartbeatUrl|internalPorts|heartbeatMs|machineClass)\b
    | \b([Tt]enant|[Mm]anifest|machine\sclass)\b
    """,
    re.VERBOSE,
)


def test_no_wire_name_stands_outside_the_adapter() -> None:
    found = [
        f"{path.relative_to(SOURCES)}:{number}: {line.strip()}"
        for path in sorted(SOURCES.rglob("*.py"))
        if not path.is_relative_to(ADAPTER)
        for number, line in enumerate(path.read_text().splitlines(), start=1)
        if WIRE_NAMES.search(line)
    ]
    assert found == []
