"""Connections of clients that send without an end, stop in the middle, or read slowly."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import Any

from latchspoke.lab.soak.parties import Address

CONNECT_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.2
READ_INTERVAL_S = 0.25  # between the reads of a client that reads slowly
READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class HostileTraffic:
    """What one client sends on each of its connections, and how it reads."""

    first: bytes = b""
    repeated: bytes = b""  # without an end; if empty, the client stops after ``first``
    read_bytes_per_s: int = 0  # 0: it reads nothing
    closes_after_s: float | None = None  # after ``first``, to come again at once


async def keep_sending(address: Address, traffic: HostileTraffic) -> None:
    """Send to an address; on a new connection after the end of one."""
    while True:
        with contextlib.suppress(OSError, TimeoutError):
            await send_until_closed(address, traffic)
        if traffic.closes_after_s is None:
            await asyncio.sleep(RETRY_DELAY_S)


async def send_until_closed(address: Address, traffic: HostileTraffic) -> None:
    """Send on one connection until it is closed."""
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*address, limit=READ_BYTES // 16)
    transport = stream_transport(writer)
    try:
        writer.write(traffic.first)
        if traffic.closes_after_s is not None:
            await asyncio.sleep(traffic.closes_after_s)
        elif traffic.repeated:
            transport.pause_reading()
            while True:
                writer.write(traffic.repeated)
                await writer.drain()
        elif traffic.read_bytes_per_s:
            await read_slowly(reader, traffic.read_bytes_per_s)
        else:
            await writer.drain()
            await reader.read(1)
    finally:
        transport.abort()


async def read_slowly(reader: asyncio.StreamReader, bytes_per_s: int) -> None:
    """Read at this rate until the end of the connection."""
    while await reader.read(max(int(bytes_per_s * READ_INTERVAL_S), 1)):
        await asyncio.sleep(READ_INTERVAL_S)


def stream_transport(writer: asyncio.StreamWriter) -> Any:
    """The transport of a stream."""
    return writer.transport
