"""Free loopback ports for processes that are about to start."""

from __future__ import annotations

import contextlib
import random
import socket

PORT_RANGE = 10_000, 20_000  # does not overlap the ports of the tests
HOST = "127.0.0.1"


def open_port() -> socket.socket:
    """Return a listening socket on a free port, to be closed right before the process starts.

    The port lies below the kernel's ephemeral range, so that no outgoing connection takes it in between. It
    is drawn from system randomness because two runs with the same seed may share a machine.
    """
    system_random = random.SystemRandom()
    while True:
        with contextlib.suppress(OSError):
            return socket.create_server((HOST, system_random.randrange(*PORT_RANGE)))
