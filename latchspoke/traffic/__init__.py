"""Recorded traffic: one trace format, readers for HAR files and logs, times set in order, retries found."""
