"""The gateway on real sockets; its decisions are barleyhub's."""

__version__ = "0.1.0"
