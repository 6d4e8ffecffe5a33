"""The agent: one process a host that starts, watches, drains and restarts this host's gateways."""
