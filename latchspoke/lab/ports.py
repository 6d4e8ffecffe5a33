"""Ports on loopback for processes that are about to start."""

from __future__ import annotations

import contextlib
import random
import socket

PORT_RANGE = 10_000, 20_000  # apart from those of the tests
HOST = "127.0.0.1"


def open_port() -> socket.socket:
    """Listening; to be closed right before its process starts.

    It lies below the range from which the kernel takes ports for outgoing connections, so that nobody comes
    upon it once it is let go; drawn by the system's own luck, as two runs with one seed may share a machine.
    """
    system_random = random.SystemRandom()
    while True:
        with contextlib.suppress(OSError):
            return socket.create_server((HOST, system_random.randrange(*PORT_RANGE)))
