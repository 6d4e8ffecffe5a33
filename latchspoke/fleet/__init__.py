"""Decision logic for operating a fleet of gateways, free of I/O: callers pass in the time and all inputs."""
