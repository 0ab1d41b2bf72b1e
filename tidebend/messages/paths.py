"""Paths beside the protocol's: of the control service's desk, and of an agent."""

CONTROL_API = "/desk/"
AGENTS = CONTROL_API + "agents"
DESCRIPTIONS = CONTROL_API + "descriptions"
FORGET_MACHINE = CONTROL_API + "forget"
JOBS = CONTROL_API + "jobs"
GANG_STATUS = CONTROL_API + "muster"
OUTPUT = CONTROL_API + "output"

AGENT_LEAVE = "/leave"
AGENT_OUTPUT = "/output"
