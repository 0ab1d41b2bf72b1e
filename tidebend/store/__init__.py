"""The embedded state service: the protocol's keys, transactions, leases and changes, durable in one directory."""

from tidebend.store.direct import Direct
from tidebend.store.disk import Damaged, Held
from tidebend.store.engine import Engine, Failed
from tidebend.store.service import StateService

__all__ = ["Damaged", "Direct", "Engine", "Failed", "Held", "StateService"]
