"""What a team uses of its limit, and its record."""

from __future__ import annotations

from dataclasses import dataclass, replace

from tidebend.protocol import JobSpec
from tidebend.quota.records import NOTHING, QuotaAmount, QuotaAmountLike, amount
from tidebend.quota.zone_quotas import ZoneQuotas


@dataclass(frozen=True, slots=True)
class TeamUsage:
    """What a team's allocated tasks use, and the version of the team's record that this was compared with.

    Without quota shares the record counts all that the team's live jobs were ever allocated. It is written when they
    are allocated more, and when a job is over. Ended tasks are counted in the jobs' own records: they are most of the
    writes, and so they neither need a second one nor conflict with other jobs of the team. A cache that is behind
    knows of too few ended tasks and so overestimates the usage; the record itself is compared by each transaction that
    allocates.

    With quota shares the shares of other zones count as used, and the record under `TEAM_PREFIX` isn't written.
    """

    cpus: float = 0.0
    gpus: float = 0.0
    version: int = 0  # of the record under `TEAM_PREFIX`, or of that under `QUOTA_PREFIX` if there are shares
    charged: QuotaAmount = NOTHING  # the amount in the record under `TEAM_PREFIX`
    zone_quotas: ZoneQuotas | None = None

    def with_tasks_allocated(self, spec: JobSpec, tasks: int) -> TeamUsage:
        """Return the usage with more tasks allocated, which are charged to the record."""
        cpus, gpus = spec.cpus * tasks, spec.gpus * tasks
        return replace(
            self,
            cpus=amount(self.cpus + cpus),
            gpus=amount(self.gpus + gpus),
            charged=QuotaAmount(amount(self.charged[0] + cpus), amount(self.charged[1] + gpus)),
        )

    def minus(self, amounts: QuotaAmountLike) -> TeamUsage:
        """Return the usage without an amount that is given back in the same transaction, or soon."""
        return replace(self, cpus=amount(self.cpus - amounts[0]), gpus=amount(self.gpus - amounts[1]))

    def with_tasks_ended(self, spec: JobSpec, tasks: int) -> TeamUsage:
        """Return the usage without tasks whose end is recorded in the same transaction, or soon."""
        return self.minus((spec.cpus * tasks, spec.gpus * tasks))

    def without_charge(self, spec: JobSpec, tasks: int) -> TeamUsage:
        """Return the usage once a job is over, with the record no longer charged for its tasks; all had ended."""
        cpus, gpus = spec.cpus * tasks, spec.gpus * tasks
        return replace(self, charged=QuotaAmount(amount(self.charged[0] - cpus), amount(self.charged[1] - gpus)))

    def pack(self) -> list[float]:
        """Return the record under `TEAM_PREFIX`."""
        return list(self.charged)
