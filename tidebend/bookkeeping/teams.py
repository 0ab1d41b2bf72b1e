"""Teams' records and what they use."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from tidebend.protocol import JobSpec
from tidebend.storage import LIVE

# what the version before pipelines keeps of a team; once the team has shares, a value that leaves no room
TEAM = LIVE + "team/"
SPENT = [1e15, 1e15]
# a team's limit shared out among zones
QUOTA = LIVE + "quota/"

Amounts = tuple[float, float]  # CPUs, GPUs


@dataclass(frozen=True, slots=True)
class Shares:
    """How much of its limit a team may use in each zone.

    Only a zone's holder adds claims there, and it knows all that there are: so it compares this record and need not
    write it, and claims in one zone don't collide with those in another. The shares never exceed the limit together.
    A share is raised from what is free, in the transaction that needs it, and lowered by the zone's holder alone.
    """

    version: int
    zones: dict[str, Amounts]

    def total(self, but: Iterable[str] = ()) -> Amounts:
        rows = [row for zone, row in self.zones.items() if zone not in but]
        return sum(row[0] for row in rows), sum(row[1] for row in rows)

    def pack(self) -> dict[str, list[float]]:
        return {zone: [amount(row[0]), amount(row[1])] for zone, row in self.zones.items()}


@dataclass(frozen=True, slots=True)
class Usage:
    """What a team's claims take, and the team's record that says so.

    Without shares the record counts all that the team's live jobs have ever claimed, and is written when they claim
    more and when a job is over. Ends are counted in the jobs' own records: they are most of the writes, and so they
    neither cost a second one nor collide with other jobs of the team. What a cache knows of ends is at most what has
    ended, so a cache that is behind overestimates the usage; what it knows of the record is compared by the claim.
    """

    cpus: float = 0.0
    gpus: float = 0.0
    version: int = 0
    charged: Amounts = (0.0, 0.0)  # CPUs and GPUs in the record
    shares: Shares | None = None  # if there are, other zones' shares count as used, and nothing is charged

    def plus(self, spec: JobSpec, tasks: int) -> Usage:
        cpus, gpus = spec.cpus * tasks, spec.gpus * tasks
        return replace(self, cpus=amount(self.cpus + cpus), gpus=amount(self.gpus + gpus),
                       charged=(amount(self.charged[0] + cpus), amount(self.charged[1] + gpus)))

    def freed(self, spec: JobSpec, tasks: int) -> Usage:
        """Ends that go into the same transaction, or will soon."""
        return replace(self, cpus=amount(self.cpus - spec.cpus * tasks), gpus=amount(self.gpus - spec.gpus * tasks))

    def without(self, spec: JobSpec, tasks: int) -> Usage:
        """A job is over: the record no longer counts what it claimed, all of which had ended."""
        return replace(self, charged=(amount(self.charged[0] - spec.cpus * tasks),
                                      amount(self.charged[1] - spec.gpus * tasks)))

    def pack(self) -> list[float]:
        return list(self.charged)


def amount(value: float) -> float:
    return max(0.0, round(value, 6))
