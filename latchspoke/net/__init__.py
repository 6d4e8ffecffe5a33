"""Sockets of the gateway: clients, targets, counter, discovery, and interfaces for operators."""
