"""Versioned rule documents and the leases under which gateways apply them. No I/O; see docs/versions.md."""
