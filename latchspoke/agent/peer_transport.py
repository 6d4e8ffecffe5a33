"""Connections between members: each carries frames in one direction and is reopened when it breaks.

Any frame may be lost. Addresses beyond loopback need mutual TLS; a frame is attributed to its sender only by
the certificate that the fleet's authority issued to that agent.
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
from latchspoke.duties.member_service import CommandRequest, Committed, Query, QueryResult, Rejected
from latchspoke.duties.records import Heartbeat, HeartbeatReply
from latchspoke.keys.authority import KeysError
from latchspoke.keys.tls import Identity, peer_role_and_name
from latchspoke.revisions.records import RulesAnswer, RulesQuestion

log = structlog.get_logger("agent.links")

FRAME_MAX_BYTES = 64 * 1024 * 1024
SEND_QUEUE_MAX_FRAMES = 2000  # per peer; beyond it the oldest are dropped
RECONNECT_DELAY_S = (0.05, 1.0)  # first and longest
CONNECT_TIMEOUT_S = 1.0
CERTIFICATE_POLL_S = 1.0


class Hello(msgspec.Struct, frozen=True, tag="greet"):
    """The first frame of a connection."""

    name: str
    identity: str


class ConsensusMessage(msgspec.Struct, frozen=True, tag="said"):
    """An encoded message of the consensus protocol."""

    data: bytes


class AskFrame(msgspec.Struct, frozen=True, tag="ask"):
    """A request to another member; exactly one field besides ``number`` is set."""

    number: int
    beat: Heartbeat | None = None
    put: CommandRequest | None = None
    look: Query | None = None
    question: RulesQuestion | None = None


class ReplyFrame(msgspec.Struct, frozen=True, tag="reply"):
    """The reply to a request; exactly one field besides ``number`` is set."""

    number: int
    answer: HeartbeatReply | None = None
    done: Committed | None = None
    shown: QueryResult | None = None
    refused: Rejected | None = None
    rules: RulesAnswer | None = None


Frame = Hello | ConsensusMessage | AskFrame | ReplyFrame
ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


class PeerTls:
    """This member's certificate, for accepted and opened connections; reloads renewed files."""

    def __init__(self, record: TlsRecord) -> None:
        """Raises KeysError."""
        files = record.certificate, record.key, record.authority
        self.server_identity, self.client_identity = (
            Identity(*files, server=True),
            Identity(*files, server=False),
        )

    async def reload_loop(self) -> None:
        while True:
            await asyncio.sleep(CERTIFICATE_POLL_S)
            for identity in (self.server_identity, self.client_identity):
                try:
                    identity.reload_if_changed()
                except KeysError as e:
                    log.warning("certificate", error=str(e))


def certificate_matches(writer: asyncio.StreamWriter, name: str) -> bool:
    """Whether the peer's certificate names this agent; true without TLS."""
    if writer.get_extra_info("ssl_object") is None:
        return True
    return peer_role_and_name(writer.get_extra_info("peercert")) == ("agent", name)


class PeerConnection:
    """The outgoing connection to one other member, with its queue of frames."""

    def __init__(self, name: str, address: str, hello: Hello, tls: PeerTls | None) -> None:
        self.name, self.address, self.hello = name, parse_address(address), hello
        self.context = tls.client_identity.context if tls is not None else None
        self.last_refusal = ""
        self.send_queue: deque[Frame] = deque(maxlen=SEND_QUEUE_MAX_FRAMES)
        self.frame_queued = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self.run())

    def send(self, frame: Frame) -> None:
        self.send_queue.append(frame)
        self.frame_queued.set()

    async def run(self) -> None:
        delay = RECONNECT_DELAY_S[0]
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(*self.address, ssl=self.context)
                try:
                    if certificate_matches(writer, self.name):
                        delay = RECONNECT_DELAY_S[0]
                        await self.run_connection(reader, writer)
                    else:
                        self.log_refusal("its certificate is another's")
                finally:
                    writer.close()
            except ssl.SSLError as e:
                self.log_refusal(str(getattr(e, "verify_message", "") or e.reason or e))
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(delay)
            delay = min(delay * 2, RECONNECT_DELAY_S[1])

    def log_refusal(self, why: str) -> None:
        """Log a refusal, unless it has the same reason as the last one."""
        if why != self.last_refusal:
            log.warning("not-trusted", member=self.name, error=why)
        self.last_refusal = why

    async def run_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Write frames until the connection breaks.

        The read detects a break also while there is nothing to write, so that the hello frame is sent again.
        """
        tasks = [asyncio.ensure_future(self.write_queue(writer)), asyncio.ensure_future(reader.read(1))]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def write_queue(self, writer: asyncio.StreamWriter) -> None:
        write_frame(writer, self.hello)
        while True:
            while self.send_queue:
                write_frame(writer, self.send_queue.popleft())
            self.frame_queued.clear()
            await writer.drain()
            await self.frame_queued.wait()


def write_frame(writer: asyncio.StreamWriter, frame: Frame) -> None:
    data = ENCODER.encode(frame)
    writer.write(len(data).to_bytes(4, "big") + data)


class PeerTransport:
    """All connections of one member; ``on_frame`` is called with the sender's name and the frame."""

    def __init__(
        self,
        hello: Hello,
        peers: dict[str, str],
        on_frame: Callable[[str, Frame], None],
        tls: PeerTls | None = None,
    ) -> None:
        self.on_frame, self.tls = on_frame, tls
        self.connections = {
            name: PeerConnection(name, address, hello, tls)
            for name, address in peers.items()
            if name != hello.name
        }
        self.server: asyncio.Server | None = None
        self.reload_task: asyncio.Task[None] | None = None
        self.incoming: set[asyncio.StreamWriter] = set()

    async def listen(self, address: str) -> None:
        """Raises OSError."""
        context = self.tls.server_identity.context if self.tls is not None else None
        self.server = await asyncio.start_server(self.receive, *parse_address(address), ssl=context)
        if self.tls is not None:
            self.reload_task = asyncio.get_running_loop().create_task(self.tls.reload_loop())

    async def receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = ""
        self.incoming.add(writer)
        try:
            while True:
                size = int.from_bytes(await reader.readexactly(4), "big")
                if size > FRAME_MAX_BYTES:
                    raise records.RecordsError(f"a frame of {size} bytes")
                frame = DECODER.decode(await reader.readexactly(size))
                if isinstance(frame, Hello):
                    name = frame.name
                    if not certificate_matches(writer, name):
                        raise records.RecordsError(f"its certificate is not that of agent {name}")
                if name not in self.connections:
                    raise records.RecordsError(f"{name or 'one without a name'} is no member here")
                self.on_frame(name, frame)
        except (records.RecordsError, msgspec.MsgspecError) as e:
            log.warning("refused", member=name, error=str(e))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.incoming.discard(writer)
            writer.close()

    def send(self, name: str, frame: Frame) -> None:
        if name in self.connections:
            self.connections[name].send(frame)

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        if self.reload_task is not None:
            self.reload_task.cancel()
        for connection in self.connections.values():
            connection.task.cancel()
        for writer in list(self.incoming):
            writer.close()
