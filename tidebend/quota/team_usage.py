"""The resources that a team uses of its limit, and the team's record of them."""

from __future__ import annotations

from dataclasses import dataclass, replace

from tidebend.protocol import JobSpec
from tidebend.quota.records import ZERO_AMOUNT, QuotaAmount, QuotaAmountLike, round_amount
from tidebend.quota.zone_quotas import ZoneQuotas


@dataclass(frozen=True, slots=True)
class TeamUsage:
    """The resources of a team's allocated tasks, and the version of the team's record that they are based on.

    Without zone quotas, the team's record is charged for all tasks of its live jobs that were ever allocated. It is
    written when tasks are allocated and when a job becomes final. Ended tasks are counted in the jobs' own records:
    they account for most of the writes, which thus need no second write and don't conflict with other jobs of the
    team. A cache that lags behind knows of too few ended tasks and so overestimates the usage; each transaction that
    allocates is conditional on the version of the team's record.

    With zone quotas, the quotas of other zones count as used, and the record under `TEAM_PREFIX` isn't written.
    """

    cpus: float = 0.0
    gpus: float = 0.0
    version: int = 0  # of the record under `QUOTA_PREFIX` if there are zone quotas, else `TEAM_PREFIX`
    charged: QuotaAmount = ZERO_AMOUNT  # the value of the record under `TEAM_PREFIX`
    zone_quotas: ZoneQuotas | None = None

    def with_tasks_allocated(self, spec: JobSpec, tasks: int) -> TeamUsage:
        """Return the usage with more tasks allocated, and the record charged for them."""
        cpus, gpus = spec.cpus * tasks, spec.gpus * tasks
        return replace(
            self,
            cpus=round_amount(self.cpus + cpus),
            gpus=round_amount(self.gpus + gpus),
            charged=QuotaAmount(round_amount(self.charged[0] + cpus), round_amount(self.charged[1] + gpus)),
        )

    def minus(self, amounts: QuotaAmountLike) -> TeamUsage:
        """Return the usage without amounts that the same transaction or a later one frees."""
        return replace(self, cpus=round_amount(self.cpus - amounts[0]), gpus=round_amount(self.gpus - amounts[1]))

    def with_tasks_ended(self, spec: JobSpec, tasks: int) -> TeamUsage:
        """Return the usage without tasks whose end is recorded by the same transaction or a later one."""
        return self.minus((spec.cpus * tasks, spec.gpus * tasks))

    def without_charge(self, spec: JobSpec, tasks: int) -> TeamUsage:
        """Return the usage with the record no longer charged for the tasks, all ended, of a job that became final."""
        cpus, gpus = spec.cpus * tasks, spec.gpus * tasks
        return replace(
            self, charged=QuotaAmount(round_amount(self.charged[0] - cpus), round_amount(self.charged[1] - gpus))
        )

    def pack(self) -> list[float]:
        """Return the value of the record under `TEAM_PREFIX`."""
        return list(self.charged)
