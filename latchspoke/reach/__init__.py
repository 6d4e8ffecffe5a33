"""Statistics of which servers requests reached, and why other servers were avoided."""
