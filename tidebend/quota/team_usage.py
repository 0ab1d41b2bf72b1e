"""What a team uses, as its records say."""

from __future__ import annotations

from dataclasses import dataclass, replace

from tidebend.protocol import JobSpec
from tidebend.quota.records import Amounts, amount
from tidebend.quota.zone_quotas import ZoneQuotas


@dataclass(frozen=True, slots=True)
class TeamUsage:
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
    shares: ZoneQuotas | None = None  # if there are, other zones' shares count as used, and nothing is charged

    def plus(self, spec: JobSpec, tasks: int) -> TeamUsage:
        cpus, gpus = spec.cpus * tasks, spec.gpus * tasks
        return replace(
            self,
            cpus=amount(self.cpus + cpus),
            gpus=amount(self.gpus + gpus),
            charged=(amount(self.charged[0] + cpus), amount(self.charged[1] + gpus)),
        )

    def less(self, amounts: Amounts) -> TeamUsage:
        """Without these amounts, which are to be given back in the same transaction, or soon."""
        return replace(self, cpus=amount(self.cpus - amounts[0]), gpus=amount(self.gpus - amounts[1]))

    def freed(self, spec: JobSpec, tasks: int) -> TeamUsage:
        """Ends that go into the same transaction, or will soon."""
        return self.less((spec.cpus * tasks, spec.gpus * tasks))

    def without(self, spec: JobSpec, tasks: int) -> TeamUsage:
        """A job is over: the record no longer counts what it claimed, all of which had ended."""
        return replace(
            self, charged=(amount(self.charged[0] - spec.cpus * tasks), amount(self.charged[1] - spec.gpus * tasks))
        )

    def pack(self) -> list[float]:
        return list(self.charged)
