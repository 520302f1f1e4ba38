"""What is missing of the evidence of all deployments, in the order to run it."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence

    from tools.evidence.records import Evidence, Record
    from tools.evidence.sites import Site

HUNT_CHUNK = 8
"""Days of one hunt, so that a plan that is stopped loses little."""
NEVER = datetime.min.replace(tzinfo=UTC)


@dataclass(frozen=True, slots=True)
class Task:
    """A call of the bench.

    Args:
        site: Deployment to play.
        verb: Verb of the bench.
        args: Arguments after the site file.
    """

    site: Site
    verb: str
    args: tuple[str, ...] = ()

    def command(self, bench: str, *, why: str) -> list[str]:
        """Return the command that runs it with one job."""
        words = [bench, self.verb, str(self.site.path), *self.args]
        return [*words, "--jobs", "1", "--why", why]

    def __str__(self) -> str:
        return " ".join((self.verb, self.site.name, *self.args))


def missing(
    sites: Iterable[Site],
    evidence: Mapping[str, Evidence],
    records: Sequence[Record],
) -> list[Task]:
    """Return the tasks that are missing, of the oldest evidence first.

    Args:
        sites: The deployments.
        evidence: What is known of them on the code.
        records: All entries of the journal, of any code.
    """
    last_played = {one.site: one.at for one in records if one.whole}
    oldest_first = sorted(sites, key=lambda site: last_played.get(site.name, NEVER))
    return [
        task
        for site in oldest_first
        for task in _missing_of(site, evidence.get(site.name))
    ]


def _missing_of(site: Site, known: Evidence | None) -> Iterator[Task]:
    if known is not None:
        for name in known.unreplayed():
            yield Task(site, "replay", tuple(name.split()))
    if known is None or known.score is None:
        yield Task(site, "score")
    left = site.hunted_days - (known.hunted if known is not None else 0)
    while left > 0:
        yield Task(site, "hunt", ("--days", str(min(left, HUNT_CHUNK))))
        left -= HUNT_CHUNK
    if known is None or not known.is_swept:
        yield Task(site, "sweep")
