"""One request of a client, to see whether a gateway serves."""

from __future__ import annotations

import asyncio
import contextlib
import secrets

from latchspoke.lab.soak.fleet import FRONT_PORT
from latchspoke.lab.soak.parties import KEYS
from latchspoke.lab.soak.record import Record

TIMEOUT_S = 2.0
ANSWERED_BY_A_SERVER = (200, 500)  # some servers of a run are sick


async def is_served(ip: str, record: Record, tenant: str = "ferry") -> bool:
    """Whether a request on a new connection gets to a server, and its answer back."""
    attempt = secrets.token_hex(8)
    record.probes.add(attempt)
    request = (
        f"GET /levels/now HTTP/1.1\r\nHost: river.example\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Deadline-Remaining: {TIMEOUT_S * 1000:.0f}\r\nAuthorization: Token {KEYS[tenant]}\r\n\r\n"
    )
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(ip, FRONT_PORT)
            writer.write(request.encode())
            words = (await reader.readline()).split()
            return len(words) > 1 and int(words[1]) in ANSWERED_BY_A_SERVER
    except (OSError, TimeoutError, ValueError):
        return False
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
