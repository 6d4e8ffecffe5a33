"""Cluster membership and failure detection by gossip: probes, indirect probes, suspicion before removal."""
