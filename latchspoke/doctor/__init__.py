"""Checks what a process needs to start on this machine; without libraries, as they may be what is missing."""
