"""Communication of the processes: netstrings of JSON between them, HTTP calls, logs and metrics."""
