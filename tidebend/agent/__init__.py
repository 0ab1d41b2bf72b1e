"""The thin agent: reports and obeys, keeps its tasks as processes, and decides nothing about placement."""

from tidebend.agent.diary import Diary
from tidebend.agent.main import run_agent
from tidebend.agent.processes import end_leftovers

__all__ = ["Diary", "end_leftovers", "run_agent"]
