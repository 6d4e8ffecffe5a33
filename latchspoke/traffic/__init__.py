"""Recorded traffic: trace format, readers for HAR files and logs, timestamp repair, retry detection."""
