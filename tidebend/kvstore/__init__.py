"""The embedded state service: the protocol's keys, transactions, leases and changes, durable in one directory."""

from tidebend.kvstore.disk_log import Damaged, Held
from tidebend.kvstore.engine import Engine, Failed
from tidebend.kvstore.http_api import StateService
from tidebend.kvstore.in_process import Direct

__all__ = ["Damaged", "Direct", "Engine", "Failed", "Held", "StateService"]
