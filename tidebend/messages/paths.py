"""HTTP paths of the control service and of agents that aren't part of the protocol."""

CONTROL_API = "/desk/"
AGENTS = CONTROL_API + "agents"
DESCRIPTIONS = CONTROL_API + "descriptions"
FORGET_MACHINE = CONTROL_API + "forget"
JOBS = CONTROL_API + "jobs"
GANG_STATUS = CONTROL_API + "muster"
OUTPUT = CONTROL_API + "output"

AGENT_LEAVE = "/leave"
AGENT_OUTPUT = "/output"
