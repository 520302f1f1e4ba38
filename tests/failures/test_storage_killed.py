"""A process killed at random points of its writes loses nothing it acknowledged."""

from __future__ import annotations

import random
import subprocess
import sys
from typing import TYPE_CHECKING

from leadseam.control.storage import Storage

if TYPE_CHECKING:
    from pathlib import Path

KILLS = 200
COMPACT_EVERY = 40

WRITER = f"""
import sys
from pathlib import Path
from leadseam.control.raft_log import HardState, Membership, SnapshotMetadata
from leadseam.control.storage import Storage, format_folder, read_identity
from leadseam.wire.consensus import LogEntry

folder = Path(sys.argv[1])
if read_identity(folder) is None:
    format_folder(folder, "a#first", Membership(("a#first",)))
storage = Storage(folder)
recovered = storage.open()
log = recovered.log
index = log[-1].index if log else recovered.metadata.index
while True:
    index += 1
    entry = LogEntry(1, index, 1, b"x" * (index % 900))
    storage.append(HardState(1, "a#first"), (entry,))
    log.append(entry)
    print(index, flush=True)
    if len(log) >= {COMPACT_EVERY}:
        metadata = SnapshotMetadata(index, 1, Membership(("a#first",)))
        storage.compact(metadata, b"s%d" % index, HardState(1, "a#first"), ())
        log = []
"""


def test_killed_hundreds_of_times(tmp_path: Path) -> None:
    rng = random.Random(1)
    acknowledged = 0
    for _ in range(KILLS):
        acknowledged = max(acknowledged, write_until_killed(tmp_path, rng))
        storage = Storage(tmp_path)
        recovered = storage.open()
        storage.close()
        last = recovered.log[-1].index if recovered.log else recovered.metadata.index
        assert last >= acknowledged
        indexes = [entry.index for entry in recovered.log]
        assert indexes == list(range(recovered.metadata.index + 1, last + 1))
    assert acknowledged > KILLS


def write_until_killed(folder: Path, rng: random.Random) -> int:
    """Run a writer, kill it after some acknowledgements and return the last one."""
    writer = subprocess.Popen(
        [sys.executable, "-S", "-c", WRITER, str(folder)],
        stdout=subprocess.PIPE,
        env={"PYTHONPATH": ":".join(path for path in sys.path if path)},
    )
    assert writer.stdout is not None
    lines = [writer.stdout.readline() for _ in range(rng.randint(1, 60))]
    writer.kill()
    lines += writer.stdout.read().split(b"\n")[:-1]
    writer.wait()
    writer.stdout.close()
    return int(lines[-1])
