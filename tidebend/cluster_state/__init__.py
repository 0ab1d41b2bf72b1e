"""What a controller knows of jobs, tasks, machines and teams.

Jobs and teams come from records of the state service (`JobCache`), machines from the heartbeats of their workers
(`MachineRegistry`). `reconciliation` compares the two, and computes the commands that a worker gets.
"""
