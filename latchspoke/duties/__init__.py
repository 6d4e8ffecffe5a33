"""Duties that one holder has at a time: leases by a majority's word, fenced. Pure; see docs/duties.md."""
