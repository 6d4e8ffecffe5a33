"""The models on real loopback sockets: many nodes, the counter and discovery in one process."""
