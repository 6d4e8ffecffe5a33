"""Decisions of a gateway: admission control, choice of an upstream, retries. Does no I/O."""
