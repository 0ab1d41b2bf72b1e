"""The scheduling loop: pending jobs, free capacity, claims and preemption."""
