"""What is known of jobs, tasks, machines and teams: a cache of the state service and of workers' reports."""
