"""The agent: one process per host that starts, monitors, drains and restarts the host's gateways."""
