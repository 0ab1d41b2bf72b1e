"""Paths beside the protocol's: of the control service's desk, and of an agent."""

DESK = "/desk/"
AGENTS = DESK + "agents"
DESCRIPTIONS = DESK + "descriptions"
FORGET = DESK + "forget"
JOBS = DESK + "jobs"
MUSTER = DESK + "muster"
OUTPUT = DESK + "output"

AGENT_LEAVE = "/leave"
AGENT_OUTPUT = "/output"
