"""Identifiers of tasks and of allocations.

Both are plain tuples and not named ones: they are built for each task of each heartbeat, and building a named tuple
takes several times as long as building a plain one.
"""

# one attempt to run a task: (job, index of the task within the job, attempt)
TaskKey = tuple[str, int, int]

# one allocation event of a job on a machine: (machine, session of its worker, attempt)
AllocationKey = tuple[str, int, int]
