"""The laboratory: models of servers, counter, discovery and clients, and what drives them."""
