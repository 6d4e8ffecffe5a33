"""The laboratory: models of servers, counter, discovery and clients, and the drivers that run experiments."""
