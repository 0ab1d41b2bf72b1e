"""Machines that are up or booting, and those that could be rented."""

from __future__ import annotations

from dataclasses import dataclass, field

from tidebend.protocol import JobSpec, MachineType
from tidebend.scheduling import EPSILON, Amount, add, multiply, subtract


@dataclass(slots=True)
class Capacity:
    """A machine that is up or booting: its free amounts now, and what its tasks give back and when."""

    type: MachineType
    zone: str
    spot: bool
    free: Amount
    ready_in: float = 0.0  # seconds until the machine is up
    returns: list[tuple[float, Amount]] = field(default_factory=list)  # seconds from now, and what is given back
    most_cpus: float = 0.0  # CPUs that are free once all has been given back

    def __post_init__(self) -> None:
        """Add up `most_cpus`."""
        self.most_cpus = self.free[0] + sum(amount[0] for _, amount in self.returns)

    def room_by(self, seconds: float) -> Amount:
        """What is free so many seconds from now, if nothing else is placed."""
        free = self.free
        for when, amount in self.returns:
            if when <= seconds:
                free = add(free, amount)
        return free

    def take(self, amount: Amount, tasks: int) -> None:
        """Promise room to so many tasks that need this amount each; what is free may become negative."""
        self.most_cpus -= amount[0] * tasks
        self.free = subtract(self.free, multiply(amount, tasks))

    def allowed(self, spec: JobSpec, fitting_types: set[str]) -> bool:
        """Whether the machine is of one of these types, may be lost if it is a spot machine, and has the CPUs.

        Most machines are promised to other requests already, and passed over by the comparison of CPUs alone.
        """
        return (
            self.most_cpus + EPSILON >= spec.cpus
            and self.type.name in fitting_types
            and (spec.spot or not self.spot)
            and spec.zone in (None, self.zone)
        )


@dataclass(frozen=True, slots=True)
class Offer:
    """A kind of machine that can be rented: its type, where, and whether as a spot machine."""

    type: MachineType
    zone: str
    spot: bool

    @property
    def price(self) -> float:
        """Price of one machine, in the unit of the provider's list of types."""
        return self.type.spot_price if self.spot else self.type.price

    @property
    def whole(self) -> Amount:
        """What is free on a new machine."""
        return (self.type.cpus, self.type.gpus, self.type.memory_gb)


@dataclass(frozen=True, slots=True)
class ProvisionRequest:
    """A number of machines to rent of one offer."""

    offer: Offer
    count: int
