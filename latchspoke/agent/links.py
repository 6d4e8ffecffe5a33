"""Connections between members: frames one way on each, made again when they break. Any frame may be lost.

Only on loopback so far: there is no TLS on these connections yet, so the settings refuse another address.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable

import msgspec
import structlog

from latchspoke.consensus import records
from latchspoke.duties.office import Done, Refused, Shown
from latchspoke.duties.records import Answer, Beat, Command

log = structlog.get_logger("agent.links")

FRAME_MOST = 64 * 1024 * 1024
WAITING_MOST = 2000  # frames for one that takes none; older ones go first
AGAIN = (0.05, 1.0)  # s between tries to connect: at first, and at most
DIAL = 1.0  # s


class Greet(msgspec.Struct, frozen=True, tag="greet"):
    """The first frame of a connection."""

    name: str
    identity: str


class Said(msgspec.Struct, frozen=True, tag="said"):
    """A message of the log's own."""

    data: bytes


class AskFrame(msgspec.Struct, frozen=True, tag="ask"):
    """A holder's beat, an operator's command, or (neither) a look at everything."""

    number: int
    beat: Beat | None = None
    command: Command | None = None


class ReplyFrame(msgspec.Struct, frozen=True, tag="reply"):
    """One of them."""

    number: int
    answer: Answer | None = None
    done: Done | None = None
    shown: Shown | None = None
    refused: Refused | None = None


Frame = Greet | Said | AskFrame | ReplyFrame
ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


class Link:
    """What goes to one other member."""

    def __init__(self, name: str, where: str, greet: Greet) -> None:
        self.name, self.where, self.greet = name, address(where), greet
        self.waiting: deque[Frame] = deque(maxlen=WAITING_MOST)
        self.news = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self.work())

    def send(self, frame: Frame) -> None:
        self.waiting.append(frame)
        self.news.set()

    async def work(self) -> None:
        pause = AGAIN[0]
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(DIAL):
                    reader, writer = await asyncio.open_connection(*self.where)
                pause = AGAIN[0]
                try:
                    await self.carry(reader, writer)
                finally:
                    writer.close()
            await asyncio.sleep(pause)
            pause = min(pause * 2, AGAIN[1])

    async def carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Until it breaks; noticed also with nothing to say, or the other never hears a greeting again."""
        tasks = [asyncio.ensure_future(self.write(writer)), asyncio.ensure_future(reader.read(1))]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def write(self, writer: asyncio.StreamWriter) -> None:
        put(writer, self.greet)
        while True:
            while self.waiting:
                put(writer, self.waiting.popleft())
            self.news.clear()
            await writer.drain()
            await self.news.wait()


def put(writer: asyncio.StreamWriter, frame: Frame) -> None:
    data = ENCODER.encode(frame)
    writer.write(len(data).to_bytes(4, "big") + data)


class Links:
    """All of one member's. ``heard`` gets each frame with its sender's name."""

    def __init__(self, greet: Greet, peers: dict[str, str], heard: Callable[[str, Frame], None]) -> None:
        self.heard = heard
        self.links = {name: Link(name, where, greet) for name, where in peers.items() if name != greet.name}
        self.server: asyncio.Server | None = None
        self.readers: set[asyncio.StreamWriter] = set()

    async def listen(self, where: str) -> None:
        """Raises OSError."""
        self.server = await asyncio.start_server(self.read, *address(where))

    async def read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = ""
        self.readers.add(writer)
        try:
            while True:
                size = int.from_bytes(await reader.readexactly(4), "big")
                if size > FRAME_MOST:
                    raise records.RecordsError(f"a frame of {size} bytes")
                frame = DECODER.decode(await reader.readexactly(size))
                if isinstance(frame, Greet):
                    name = frame.name
                if name not in self.links:
                    raise records.RecordsError(f"{name or 'one without a name'} is no member here")
                self.heard(name, frame)
        except (records.RecordsError, msgspec.MsgspecError) as e:
            log.warning("refused", member=name, error=str(e))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.readers.discard(writer)
            writer.close()

    def send(self, name: str, frame: Frame) -> None:
        if name in self.links:
            self.links[name].send(frame)

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for link in self.links.values():
            link.task.cancel()
        for writer in list(self.readers):
            writer.close()
