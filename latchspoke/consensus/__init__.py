"""Raft: one replicated log shared by several state machines. Sans-I/O; see docs/duties.md."""
