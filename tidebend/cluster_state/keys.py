"""Identifiers of task attempts and of allocations.

Both are plain rather than named tuples: one is created for each task of each heartbeat, and creating a named tuple
takes several times as long.
"""

# one attempt to run a task: (job, index of the task within the job, attempt)
TaskKey = tuple[str, int, int]

# the allocation of one attempt to a machine: (machine, session of its worker, attempt)
AllocationKey = tuple[str, int, int]
