"""The thin agent: reports and obeys, keeps its tasks as processes, and decides nothing about placement."""

from tidebend.agent.main import run_agent
from tidebend.agent.processes import kill_recorded_processes
from tidebend.agent.write_ahead_log import WriteAheadLog

__all__ = ["WriteAheadLog", "kill_recorded_processes", "run_agent"]
