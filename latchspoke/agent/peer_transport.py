"""Connections between members: frames one way on each, made again when they break. Any frame may be lost.

With TLS on both sides wherever addresses leave this machine: a frame counts as its sender's only by the
certificate that the fleet's authority gave that agent.
"""

from __future__ import annotations

import asyncio
import ssl
from collections import deque
from collections.abc import Callable

import msgspec
import structlog

from latchspoke.agent.config import TlsRecord
from latchspoke.consensus import records
from latchspoke.duties.office import Done, Look, Put, Refused, Shown
from latchspoke.duties.records import Answer, Beat
from latchspoke.keys.authority import KeysError
from latchspoke.keys.tls import Identity, peer
from latchspoke.revisions.records import RulesAnswer, RulesQuestion

log = structlog.get_logger("agent.links")

FRAME_MOST = 64 * 1024 * 1024
WAITING_MOST = 2000  # frames for one that takes none; older ones go first
AGAIN = (0.05, 1.0)  # s between tries to connect: at first, and at most
DIAL = 1.0  # s
FOLLOW = 1.0  # s between looks at the certificate's files


class Hello(msgspec.Struct, frozen=True, tag="greet"):
    """The first frame of a connection."""

    name: str
    identity: str


class ConsensusMessage(msgspec.Struct, frozen=True, tag="said"):
    """A message of the log's own."""

    data: bytes


class AskFrame(msgspec.Struct, frozen=True, tag="ask"):
    """A holder's beat, a command or a look; one of them."""

    number: int
    beat: Beat | None = None
    put: Put | None = None
    look: Look | None = None
    question: RulesQuestion | None = None


class ReplyFrame(msgspec.Struct, frozen=True, tag="reply"):
    """One of them."""

    number: int
    answer: Answer | None = None
    done: Done | None = None
    shown: Shown | None = None
    refused: Refused | None = None
    rules: RulesAnswer | None = None


Frame = Hello | ConsensusMessage | AskFrame | ReplyFrame
ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


class PeerTls:
    """This member's certificate, for both ends of a connection; renewed files are taken up."""

    def __init__(self, record: TlsRecord) -> None:
        """Raises KeysError."""
        files = record.certificate, record.key, record.authority
        self.here, self.there = Identity(*files, server=True), Identity(*files, server=False)

    async def follow(self) -> None:
        while True:
            await asyncio.sleep(FOLLOW)
            for identity in (self.here, self.there):
                try:
                    identity.renewed()
                except KeysError as e:
                    log.warning("certificate", error=str(e))


def certified(writer: asyncio.StreamWriter, name: str) -> bool:
    """Whether the other end is this agent by its certificate; always, where there is no TLS."""
    if writer.get_extra_info("ssl_object") is None:
        return True
    return peer(writer.get_extra_info("peercert")) == ("agent", name)


class PeerConnection:
    """What goes to one other member."""

    def __init__(self, name: str, where: str, greet: Hello, tls: PeerTls | None) -> None:
        self.name, self.where, self.greet = name, address(where), greet
        self.context = tls.there.context if tls is not None else None
        self.refused = ""
        self.waiting: deque[Frame] = deque(maxlen=WAITING_MOST)
        self.news = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self.work())

    def send(self, frame: Frame) -> None:
        self.waiting.append(frame)
        self.news.set()

    async def work(self) -> None:
        pause = AGAIN[0]
        while True:
            try:
                async with asyncio.timeout(DIAL):
                    reader, writer = await asyncio.open_connection(*self.where, ssl=self.context)
                try:
                    if certified(writer, self.name):
                        pause = AGAIN[0]
                        await self.carry(reader, writer)
                    else:
                        self.refuse("its certificate is another's")
                finally:
                    writer.close()
            except ssl.SSLError as e:
                self.refuse(str(getattr(e, "verify_message", "") or e.reason or e))
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(pause)
            pause = min(pause * 2, AGAIN[1])

    def refuse(self, why: str) -> None:
        """Told once for each reason in a row."""
        if why != self.refused:
            log.warning("not-trusted", member=self.name, error=why)
        self.refused = why

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


class PeerTransport:
    """All of one member's. ``heard`` gets each frame with its sender's name."""

    def __init__(
        self,
        greet: Hello,
        peers: dict[str, str],
        heard: Callable[[str, Frame], None],
        tls: PeerTls | None = None,
    ) -> None:
        self.heard, self.tls = heard, tls
        self.links = {
            name: PeerConnection(name, where, greet, tls)
            for name, where in peers.items()
            if name != greet.name
        }
        self.server: asyncio.Server | None = None
        self.following: asyncio.Task[None] | None = None
        self.readers: set[asyncio.StreamWriter] = set()

    async def listen(self, where: str) -> None:
        """Raises OSError."""
        context = self.tls.here.context if self.tls is not None else None
        self.server = await asyncio.start_server(self.read, *address(where), ssl=context)
        if self.tls is not None:
            self.following = asyncio.get_running_loop().create_task(self.tls.follow())

    async def read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = ""
        self.readers.add(writer)
        try:
            while True:
                size = int.from_bytes(await reader.readexactly(4), "big")
                if size > FRAME_MOST:
                    raise records.RecordsError(f"a frame of {size} bytes")
                frame = DECODER.decode(await reader.readexactly(size))
                if isinstance(frame, Hello):
                    name = frame.name
                    if not certified(writer, name):
                        raise records.RecordsError(f"its certificate is not that of agent {name}")
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
        if self.following is not None:
            self.following.cancel()
        for link in self.links.values():
            link.task.cancel()
        for writer in list(self.readers):
            writer.close()
