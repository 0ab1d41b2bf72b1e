"""Rebalancing of teams' quotas among zones."""
