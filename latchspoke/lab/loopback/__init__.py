"""Experiments on loopback sockets: simulated nodes, counter and discovery in one process."""
