"""The agent of one machine: runs tasks as processes, reports their states, and executes the controllers' commands.

Controllers alone decide which tasks run where.
"""

from tidebend.agent.main import run_agent
from tidebend.agent.processes import kill_recorded_processes
from tidebend.agent.write_ahead_log import WriteAheadLog

__all__ = ["WriteAheadLog", "kill_recorded_processes", "run_agent"]
