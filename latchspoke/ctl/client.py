"""Blocking HTTP calls to control-plane nodes and gateways, with redirects and retries."""

from __future__ import annotations

import http.client
import json
import random
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

from returns.result import Failure, Result, Success

Address = tuple[str, int]
TIMEOUT_S = 2.0  # extended by the time to send the body
BYTES_PER_S = 4_000_000
MAX_REDIRECTS = 2
RETRY_DELAY_S = (0.1, 1.0)  # between rounds over all addresses: initial, maximum
RETRYABLE_STATUSES = frozenset((408, 429))


class AddressError(ValueError):
    """An address is not host:port; the message is one line."""


def parse_addresses(text: str) -> list[Address]:
    """Parse ``host:port,host:port``. Raises AddressError."""
    addresses = []
    for part in filter(None, (part.strip() for part in text.split(","))):
        host, _, port = part.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            raise AddressError(f"{part!r:.60} is not host:port")
        addresses.append((host, int(port)))
    if not addresses:
        raise AddressError("must name at least one address")
    return addresses


@dataclass(slots=True, frozen=True)
class Reply:
    """A response; ``body`` is the parsed JSON or, failing that, the text."""

    status: int
    body: Any
    raw: bytes
    source: str

    @property
    def reason(self) -> str:
        """The error text of the response, or its status."""
        if isinstance(self.body, dict):
            return str(self.body.get("errorText", "")) or f"status {self.status}"
        return f"status {self.status}"


RequestSender = Callable[[Address, str, str, bytes], Result[Reply, str]]


def send_request(address: Address, method: str, target: str, body: bytes = b"") -> Result[Reply, str]:
    """Send one request, following redirects; a Failure says why there is no response."""
    host, port = address
    for _ in range(MAX_REDIRECTS + 1):
        connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S + len(body) / BYTES_PER_S)
        try:
            headers = {"Content-Type": "application/json"} if body else {}
            connection.request(method, target, body or None, headers)
            response = connection.getresponse()
            raw = response.read()
        except (OSError, http.client.HTTPException) as e:
            return Failure(f"{host}:{port}: {e or type(e).__name__}")
        finally:
            connection.close()
        location = response.getheader("Location")
        if response.status != 307 or location is None:
            return Success(Reply(response.status, parse_body(raw), raw, f"{host}:{port}"))
        parts = urlsplit(location)
        host, port = parts.hostname or host, parts.port or port
        target = parts.path + (f"?{parts.query}" if parts.query else "")
    return Failure(f"{host}:{port}: too many redirects")


def parse_body(raw: bytes) -> Any:
    """The JSON value, or the text if it is not JSON."""
    try:
        return json.loads(raw) if raw else None
    except ValueError:
        return raw.decode("utf-8", "replace")


@dataclass(slots=True)
class ControlPlaneClient:
    """Client of the control plane that tries its nodes in turn."""

    addresses: Sequence[Address]
    send_request: RequestSender = send_request
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = lambda s: time.sleep(s)
    rng: random.Random = field(default_factory=random.Random)
    retry_for_s: float = 6.0
    # No attempt is begun later than ``retry_for_s``: the nodes take a later one for another operator's.
    strict: bool = False
    errors: list[str] = field(default_factory=list)  # of the latest call

    def addresses_to_try(self) -> Iterator[Address]:
        """The addresses in rounds until the time is up; at least one round, or one address if ``strict``."""
        deadline, delay, attempts = self.clock() + self.retry_for_s, RETRY_DELAY_S[0], 0
        while True:
            for address in self.addresses:
                if self.strict and attempts and self.clock() >= deadline:
                    return
                attempts += 1
                yield address
            if self.clock() + delay >= deadline:
                return
            self.sleep(delay * (0.7 + 0.6 * self.rng.random()))
            delay = min(delay * 2, RETRY_DELAY_S[1])

    def call(self, method: str, target: str, body: bytes = b"") -> Result[Reply, str]:
        """The first conclusive response, whatever its status; a Failure if none arrived in time.

        Retries send the same bytes, so a command that was already accepted is acknowledged, not repeated.
        """
        self.errors = []
        for address in self.addresses_to_try():
            match self.send_request(address, method, target, body):
                case Success(Reply(status=status) as reply) if (
                    status < 500 and status not in RETRYABLE_STATUSES
                ):
                    return Success(reply)
                case Success(Reply() as reply):
                    self.errors.append(f"{reply.source}: {reply.reason}")
                case Failure(error):
                    self.errors.append(str(error))
        return Failure(self.errors[-1])


def query_all(
    addresses: Sequence[str], target: str, send: RequestSender = send_request
) -> list[Result[Reply, str]]:
    """Send the same GET request to many addresses concurrently; responses in their order."""

    def query(text: str) -> Result[Reply, str]:
        try:
            (address,) = parse_addresses(text)
        except (AddressError, ValueError) as e:
            return Failure(str(e))
        return send(address, "GET", target, b"")

    with ThreadPoolExecutor(max_workers=16) as pool:
        return list(pool.map(query, addresses))
