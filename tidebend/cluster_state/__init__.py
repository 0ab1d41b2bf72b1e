"""A controller's view of jobs, tasks, machines and teams.

Jobs and teams come from records in the key-value store (`JobCache`), machines from the heartbeats of their workers
(`MachineRegistry`). `reconciliation` compares the two and computes the commands for each worker.
"""
