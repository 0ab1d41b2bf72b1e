"""The scheduling loop: pending jobs, free capacity, and the claims made on it."""
