"""The agent's interface on TCP: TLS 1.3, certificates on both sides, and every refusal on record.

Connections are accepted here and not by the loop's own server, as that one tells nobody of a handshake
that failed: who was refused, and why, belongs into the agent's record.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from typing import Any

import structlog
from aiohttp import web

from latchspoke.agent.api import Caller, Identify
from latchspoke.agent.config import TlsRecord
from latchspoke.agent.supervisor import Supervisor
from latchspoke.keys.authority import KeysError
from latchspoke.keys.tls import Identity, peer

log = structlog.get_logger("agent.tls")

HANDSHAKE = 5.0  # s; who connects and says nothing is given up
AT_ONCE = 64  # handshakes under way; more wait to be accepted
FOLLOW = 1.0  # s between looks at the certificate's files


def by_certificate(fallback: Identify) -> Identify:
    """The role in the certificate where there is TLS; the Unix socket's way elsewhere."""

    def identify(request: web.Request) -> Caller:
        transport = request.transport
        if transport is None or transport.get_extra_info("ssl_object") is None:
            return fallback(request)
        role, name = peer(transport.get_extra_info("peercert"))
        return Caller(name or "?", role if role in ("operator", "viewer") else "")

    return identify


class TlsSite:
    """Accepts connections and hands those that have shaken hands to the agent's routes."""

    def __init__(self, record: TlsRecord, supervisor: Supervisor, server: web.Server) -> None:
        self.supervisor, self.server = supervisor, server
        self.identity = Identity(record.certificate, record.key, record.authority, server=True)
        host, _, port = record.listen.rpartition(":")
        self.socket = socket.create_server((host.strip("[]"), int(port)), backlog=256)
        self.socket.setblocking(False)
        self.gate = asyncio.Semaphore(AT_ONCE)
        self.tasks = {asyncio.get_running_loop().create_task(work) for work in (self.accept(), self.follow())}

    @property
    def port(self) -> int:
        return int(self.socket.getsockname()[1])

    @property
    def certificate_until(self) -> float:
        return self.identity.described.ends.timestamp()

    async def accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self.gate.acquire()
            try:
                link, address = await loop.sock_accept(self.socket)
            except OSError as e:
                # Out of descriptors, most likely: the agent goes on, and tries again.
                self.gate.release()
                log.error("accept", error=str(e))
                await asyncio.sleep(1.0)
                continue
            task = loop.create_task(self.shake(link, f"{address[0]}:{address[1]}"))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def shake(self, link: socket.socket, address: str) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                self.server, link, ssl=self.identity.context, ssl_handshake_timeout=HANDSHAKE
            )
        except (ssl.SSLError, OSError) as e:
            link.close()
            self.supervisor.record("tls-refused", detail=f"{address}: {reason(e)}")
        finally:
            self.gate.release()

    async def follow(self) -> None:
        """Take up a renewed certificate without a restart."""
        while True:
            await asyncio.sleep(FOLLOW)
            try:
                if self.identity.renewed():
                    ends = self.identity.described.ends
                    self.supervisor.record("certificate", detail=f"renewed, good until {ends:%Y-%m-%d}")
                    self.supervisor.certificate_until = self.certificate_until
            except KeysError as e:
                log.warning("certificate", error=str(e))

    async def stop(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.socket.close()


def reason(error: Exception) -> str:
    """What OpenSSL said, without its file and line."""
    told: Any = getattr(error, "verify_message", None) or getattr(error, "reason", None) or str(error)
    return str(told) or type(error).__name__
