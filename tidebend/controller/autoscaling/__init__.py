"""Machines rented from the cloud and returned to it."""
