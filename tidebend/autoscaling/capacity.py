"""Capacity of machines that are up or booting, and offers of machines to provision."""

from __future__ import annotations

from dataclasses import dataclass, field

from tidebend.protocol import JobSpec, MachineType
from tidebend.scheduling import EPSILON, Amount, add, multiply, subtract


@dataclass(slots=True)
class Capacity:
    """A machine that is up or booting: its free resources now, and those that its tasks free later."""

    type: MachineType
    zone: str
    spot: bool
    free: Amount
    ready_in: float = 0.0  # seconds until the machine is up
    # seconds from now, and the amount that is freed then
    freed_later: list[tuple[float, Amount]] = field(default_factory=list)
    max_free_cpus: float = 0.0  # free CPUs once all of `freed_later` is free

    def __post_init__(self) -> None:
        """Compute `max_free_cpus`."""
        self.max_free_cpus = self.free[0] + sum(amount[0] for _, amount in self.freed_later)

    def free_within(self, seconds: float) -> Amount:
        """Return the resources that are free after this many seconds if nothing else is assigned."""
        free = self.free
        for when, amount in self.freed_later:
            if when <= seconds:
                free = add(free, amount)
        return free

    def assign(self, amount: Amount, tasks: int) -> None:
        """Assign tasks that need `amount` each; `free` may become negative if they run on resources freed later."""
        self.max_free_cpus -= amount[0] * tasks
        self.free = subtract(self.free, multiply(amount, tasks))

    def can_run(self, spec: JobSpec, fitting_types: set[str]) -> bool:
        """Return whether a task may run on the machine by type, zone, spot or on-demand, and CPUs free now or later.

        Most machines are assigned to other requests already, so the comparison of CPUs comes first: it alone skips
        them.
        """
        return (
            self.max_free_cpus + EPSILON >= spec.cpus
            and self.type.name in fitting_types
            and (spec.spot or not self.spot)
            and spec.zone in (None, self.zone)
        )


@dataclass(frozen=True, slots=True)
class Offer:
    """A choice for provisioning a machine: its type, its zone, and whether it is a spot machine."""

    type: MachineType
    zone: str
    spot: bool

    @property
    def price(self) -> float:
        """Price of one machine, in the unit of the cloud's list of machine types."""
        return self.type.spot_price if self.spot else self.type.price

    @property
    def whole(self) -> Amount:
        """The free resources of a new machine."""
        return (self.type.cpus, self.type.gpus, self.type.memory_gb)


@dataclass(frozen=True, slots=True)
class ProvisionRequest:
    """A number of machines to provision from one offer."""

    offer: Offer
    count: int
