"""Stand-ins for the platform of a small deployment: state service, cloud, workers and users, on loopback addresses.

Written from the operators' pages. Everything runs in the process of the test; only the controllers are separate
processes, started with the command of the deploy file.
"""
