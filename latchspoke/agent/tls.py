"""The agent's interface on TCP: mutual TLS 1.3, with every refused handshake recorded as an event.

Connections are accepted here rather than by asyncio's server, which does not report failed handshakes.
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
from latchspoke.keys.tls import Identity, peer_role_and_name

log = structlog.get_logger("agent.tls")

HANDSHAKE_TIMEOUT_S = 5.0
HANDSHAKES_MAX = 64  # concurrent; further connections wait to be accepted
CERTIFICATE_POLL_S = 1.0


def caller_by_certificate(fallback: Identify) -> Identify:
    """Identify callers by their certificate on TLS connections, and by ``fallback`` on others."""

    def identify(request: web.Request) -> Caller:
        transport = request.transport
        if transport is None or transport.get_extra_info("ssl_object") is None:
            return fallback(request)
        role, name = peer_role_and_name(transport.get_extra_info("peercert"))
        return Caller(name or "?", role if role in ("operator", "viewer") else "")

    return identify


class TlsSite:
    """Accepts TLS connections and passes them to the web server after the handshake."""

    def __init__(self, record: TlsRecord, supervisor: Supervisor, server: web.Server) -> None:
        self.supervisor, self.server = supervisor, server
        self.identity = Identity(record.certificate, record.key, record.authority, server=True)
        host, _, port = record.listen.rpartition(":")
        self.socket = socket.create_server((host.strip("[]"), int(port)), backlog=256)
        self.socket.setblocking(False)
        self.handshake_slots = asyncio.Semaphore(HANDSHAKES_MAX)
        self.tasks = {
            asyncio.get_running_loop().create_task(work) for work in (self.accept(), self.reload_loop())
        }

    @property
    def port(self) -> int:
        return int(self.socket.getsockname()[1])

    @property
    def certificate_until(self) -> float:
        return self.identity.certificate_info.not_after.timestamp()

    async def accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self.handshake_slots.acquire()
            try:
                connection, address = await loop.sock_accept(self.socket)
            except OSError as e:
                # Probably out of file descriptors: try again later.
                self.handshake_slots.release()
                log.error("accept", error=str(e))
                await asyncio.sleep(1.0)
                continue
            task = loop.create_task(self.handshake(connection, f"{address[0]}:{address[1]}"))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def handshake(self, connection: socket.socket, address: str) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                self.server, connection, ssl=self.identity.context, ssl_handshake_timeout=HANDSHAKE_TIMEOUT_S
            )
        except (ssl.SSLError, OSError) as e:
            connection.close()
            self.supervisor.record("tls-refused", detail=f"{address}: {reason(e)}")
        finally:
            self.handshake_slots.release()

    async def reload_loop(self) -> None:
        """Reload a renewed certificate without a restart."""
        while True:
            await asyncio.sleep(CERTIFICATE_POLL_S)
            try:
                if self.identity.reload_if_changed():
                    ends = self.identity.certificate_info.not_after
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
    """OpenSSL's message, without its file and line."""
    text: Any = getattr(error, "verify_message", None) or getattr(error, "reason", None) or str(error)
    return str(text) or type(error).__name__
