"""Deterministic simulation of real controllers on virtual time, with invariant checks. Not imported by tidebend."""
