"""The command line beyond the gateway itself: one module a command."""
