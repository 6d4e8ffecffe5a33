"""Versions of affinity pools, and the command that explains placements and plans changes."""
