"""One request of a client, from its last byte to the one answer that it gets.

All that belongs to a request stands here and not on its connection, which may bear the next request by the
time something late comes for this one. Whatever is answered goes by way of the request: the connection takes
it only from the one that is under way there.
"""

from __future__ import annotations

from typing import Protocol

from latchspoke.core import Flow
from latchspoke.dataplane.upstream import Response
from latchspoke.net.http import REASONS
from latchspoke.net.stats import Stats
from latchspoke.transport.log import log

STATUS_LINES = {status: f"HTTP/1.1 {status} {text}\r\n".encode() for status, text in REASONS.items()}
EXTRA_REASONS = {401: b"Unauthorized", 504: b"Gateway Timeout", 421: b"Misdirected Request"}
BODILESS_STATUSES = (204, 304)  # statuses whose answers have neither body nor length


class ExchangeConnection(Protocol):
    """The connection on which a request has come."""

    @property
    def closes_after_response(self) -> bool:
        """Whether it ends with this answer."""
        ...

    def write_response(self, exchange: ClientExchange, data: bytes) -> bool:
        """Write the answer to this request; False if another one, or none, is under way."""
        ...


class ClientExchange:
    """A request as it came whole. It is the client of its flow (``latchspoke.dataplane.core.LineClient``)."""

    __slots__ = (
        "attempt_id", "body", "connection", "flow", "header_pairs", "headers", "method", "received_at",
        "stats", "url",
    )  # fmt: skip

    def __init__(
        self,
        bearer: ExchangeConnection,
        stats: Stats,
        method: bytes,
        url: bytes,
        headers: dict[bytes, bytes],
        pairs: list[tuple[bytes, bytes]],
        body: bytes,
        whole_at: float,
    ) -> None:
        """``headers`` by lower-case name, ``pairs`` as they came; ``whole_at``: s, of its last byte."""
        self.connection, self.stats = bearer, stats
        self.method, self.url, self.headers, self.header_pairs, self.body = method, url, headers, pairs, body
        self.received_at = whole_at
        self.attempt_id = headers.get(b"x-attempt-id", b"")
        self.flow: Flow | None = None

    # The core's answers.

    def served(self, answer: object) -> None:
        """A server has served it."""
        assert isinstance(answer, Response)
        self.write_response(answer)

    def refused(self, retry_after: float | None) -> None:
        """It lies beyond its tenant's quota, and has not run."""
        self.write_empty_response(429, retry_after)

    def unavailable(self, retry_after: float | None) -> None:
        """No server could take it, and it has not run."""
        self.write_empty_response(503, retry_after)

    def failed(self, failure: object | None) -> None:
        """Nobody has served it, and it may have run; ``failure``: a server's own answer that says so."""
        if failure is None:
            self.write_empty_response(502)
        else:
            assert isinstance(failure, Response)
            self.write_response(failure)

    def write_empty_response(self, status: int, retry_after: float | None = None, more: bytes = b"") -> None:
        """An answer of this system's own; ``more``: header lines. ``retry_after`` in s."""
        self.stats[f"answers.{status}"] += 1
        pause = b"" if retry_after is None else b"Retry-After: %.3f\r\n" % retry_after
        end = b"Connection: close\r\n" if self.connection.closes_after_response else b""
        self.deliver(b"%b%b%b%bContent-Length: 0\r\n\r\n" % (status_line(status), pause, more, end))

    def write_response(self, answer: Response) -> None:
        """A server's answer, if it is the answer to this request."""
        if answer.attempt_id != self.attempt_id:
            self.withhold(answer)
            return
        head = [status_line(answer.status)]
        head += [b"%b: %b\r\n" % pair for pair in answer.headers]
        if self.connection.closes_after_response:
            head.append(b"Connection: close\r\n")
        if answer.status not in BODILESS_STATUSES:
            head.append(b"Content-Length: %d\r\n" % len(answer.body))
        head.append(b"\r\n")
        head.append(answer.body)
        self.deliver(b"".join(head))

    def withhold(self, answer: Response) -> None:
        """Another request's answer has come to this one: a fault of this program, kept from the client."""
        self.stats["answers.foreign"] += 1
        log(
            "foreign-answer", status=answer.status, attempt=self.attempt_id.decode("latin-1"),
            stamped=answer.attempt_id.decode("latin-1"),
        )  # fmt: skip
        self.write_empty_response(502)

    def deliver(self, data: bytes) -> None:
        """Give it to the connection, which drops what comes for a request that is over there."""
        self.flow = None
        if not self.connection.write_response(self, data):
            self.stats["answers.unowned"] += 1


def status_line(status: int) -> bytes:
    """The first line of an answer."""
    known = STATUS_LINES.get(status)
    return (
        known if known is not None else b"HTTP/1.1 %d %b\r\n" % (status, EXTRA_REASONS.get(status, b"Status"))
    )
