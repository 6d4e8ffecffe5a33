"""Publishes the committed state and the servers to subscribers, as numbered changes. No I/O."""
