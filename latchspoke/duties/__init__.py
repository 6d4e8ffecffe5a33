"""Duties with one holder at a time, as fenced leases on the replicated log. No I/O; see docs/duties.md."""
