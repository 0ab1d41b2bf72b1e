"""Machines at hand or on their way, and those that could be rented."""

from __future__ import annotations

from dataclasses import dataclass, field

from tidebend.protocol import MachineType
from tidebend.scheduling import Amount


@dataclass(slots=True)
class Capacity:
    """A machine at hand or on its way: its free amounts now, and what its tasks give back and when."""

    type: MachineType
    zone: str
    spot: bool
    free: Amount
    ready_in: float = 0.0
    returns: list[tuple[float, Amount]] = field(default_factory=list)
    most_cpus: float = 0.0  # free once all has been given back

    def __post_init__(self) -> None:
        self.most_cpus = self.free[0] + sum(amount[0] for _, amount in self.returns)

    def room_by(self, seconds: float) -> Amount:
        free = self.free
        for when, amount in self.returns:
            if when <= seconds:
                free = (free[0] + amount[0], free[1] + amount[1], free[2] + amount[2])
        return free

    def take(self, amount: Amount, tasks: int) -> None:
        self.most_cpus -= amount[0] * tasks
        self.free = tuple(have - part * tasks for have, part in zip(self.free, amount, strict=True))


@dataclass(frozen=True, slots=True)
class Offer:
    type: MachineType
    zone: str
    spot: bool

    @property
    def price(self) -> float:
        return self.type.spot_price if self.spot else self.type.price


@dataclass(frozen=True, slots=True)
class Rental:
    offer: Offer
    machines: int
