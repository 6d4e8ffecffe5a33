"""Load-balancing gateway; its decisions are made by barleyhub."""

__version__ = "0.1.0"
