"""Soak runs: the real programs on loopback, under signals and changes that overlap."""
