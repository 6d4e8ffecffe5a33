"""A toy world to try the gateway in: two servers, discovery and a counter, all on loopback.

Start it, then the gateway with config.json from this folder. It listens on 127.0.0.1, ports 9001 and
9002 (the servers), 8500 (discovery) and 6400 (the counter), and runs until it is interrupted. Other ports
may be named: discovery's, the counter's, then the servers'.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

Answer = Callable[[str, bytes, asyncio.StreamWriter], Awaitable[None]]

DISCOVERY, COUNTER, *SERVERS = [int(port) for port in sys.argv[1:]] or [8500, 6400, 9001, 9002]
totals: Counter[str] = Counter()


def reply(writer: asyncio.StreamWriter, body: str, headers: str = "") -> None:
    writer.write(f"HTTP/1.1 200 OK\r\n{headers}Content-Length: {len(body)}\r\n\r\n{body}".encode())


async def serve(url: str, body: bytes, writer: asyncio.StreamWriter) -> None:
    """A server: works for some 50 to 150 ms, then tells what it was asked."""
    await asyncio.sleep(random.uniform(0.05, 0.15))
    port = writer.get_extra_info("sockname")[1]
    said = json.dumps({"server": port, "path": url, "bytes": len(body)})
    reply(writer, said, "Content-Type: application/json\r\nSrv-Load: TEXT queue=0, util=0.10\r\n")


async def count(url: str, body: bytes, writer: asyncio.StreamWriter) -> None:
    """The counter: adds, and gives the total. Names are never forgotten here."""
    parts = urlsplit(url)
    totals[parts.path] += float(parse_qs(parts.query)["delta"][0])  # type: ignore[assignment]
    reply(writer, f"{totals[parts.path]:.7g}")


async def discover(url: str, body: bytes, writer: asyncio.StreamWriter) -> None:
    """Discovery: one list that never changes, then an empty line each 2 s."""
    instances = [
        {"instanceId": f"s-{port}", "hostPort": f"127.0.0.1:{port}", "zone": "a", "lifecycle": "in_service"}
        for port in SERVERS
    ]
    line = json.dumps({"generation": 1, "reset": True, "instances": instances}) + "\n"
    if "stream=1" not in url:
        return reply(writer, line)
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    while not writer.is_closing():
        writer.write(f"{len(line):x}\r\n{line}\r\n".encode())
        await writer.drain()
        await asyncio.sleep(2)
        line = "\n"


def speak(answer: Answer) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                size = [line.split(":")[1] for line in head.lower().splitlines() if "content-length:" in line]
                body = await reader.readexactly(int(size[0])) if size else b""
                await answer(head.split()[1], body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    return talk


async def main() -> None:
    for port, answer in (*((port, serve) for port in SERVERS), (DISCOVERY, discover), (COUNTER, count)):
        await asyncio.start_server(speak(answer), "127.0.0.1", port)
    print("toy world is up", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
