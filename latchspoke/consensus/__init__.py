"""One replicated log that several state machines share. Pure: no I/O, no clock; see docs/duties.md."""
