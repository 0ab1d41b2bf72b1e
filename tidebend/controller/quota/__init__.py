"""Moves of teams' quota among zones."""
