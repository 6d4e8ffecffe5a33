"""One client request, from its last byte to the single response it gets.

The state of a request is kept here rather than on its connection, which may already carry the next request
when something late arrives for this one. Responses are written through the exchange; the connection accepts
them only from the exchange it is currently serving.
"""

from __future__ import annotations

import math
from typing import Protocol

from latchspoke.core import Flow
from latchspoke.dataplane.body_memory import Body, LargeBody
from latchspoke.dataplane.messages import Response
from latchspoke.net.http import REASON_PHRASES
from latchspoke.net.stats import Stats
from latchspoke.transport.log import log

STATUS_LINES = {status: f"HTTP/1.1 {status} {text}\r\n".encode() for status, text in REASON_PHRASES.items()}
EXTRA_REASONS = {401: b"Unauthorized", 504: b"Gateway Timeout", 421: b"Misdirected Request"}
BODILESS_STATUSES = (204, 304)  # statuses whose responses have no body and no Content-Length


class ExchangeConnection(Protocol):
    """The client connection on which a request arrived."""

    @property
    def closes_after_response(self) -> bool:
        """Whether the connection closes after the current response."""
        ...

    def write_response(self, exchange: ClientExchange, data: bytes, body: Body = b"") -> bool:
        """Write the response of ``exchange``; False if the connection is not serving it (any more).

        ``body`` is written after ``data``, without a copy.
        """
        ...


class ClientExchange:
    """A fully received request; the client of its flow (``latchspoke.dataplane.core.DataPlaneClient``)."""

    __slots__ = (
        "attempt_id", "body", "connection", "deadline", "flow", "head_memory", "header_pairs", "headers",
        "method", "received_at", "stats", "url",
    )  # fmt: skip

    def __init__(
        self,
        connection: ExchangeConnection,
        stats: Stats,
        method: bytes,
        url: bytes,
        headers: dict[bytes, bytes],
        header_pairs: list[tuple[bytes, bytes]],
        body: Body,
        received_at: float,
    ) -> None:
        """``headers`` by lower-case name, ``header_pairs`` as received.

        ``received_at``: when the last byte arrived, in seconds.
        """
        self.connection, self.stats = connection, stats
        self.method, self.url, self.headers, self.header_pairs, self.body = (
            method,
            url,
            headers,
            header_pairs,
            body,
        )
        self.received_at = received_at
        self.attempt_id = headers.get(b"x-attempt-id", b"")
        self.deadline = math.inf  # after which the client doesn't wait any more
        self.flow: Flow | None = None
        self.head_memory: LargeBody | None = None  # counts a head of many fields while this exchange lasts

    def take_body(self) -> Body:
        """Return the body, which the exchange no longer holds afterwards."""
        body, self.body = self.body, b""
        return body

    # Responses from the core.

    def served(self, response: object) -> None:
        """A server has executed the request."""
        assert isinstance(response, Response)
        self.write_response(response)

    def refused(self, retry_after: float | None) -> None:
        """The request exceeds its tenant's quota and was not executed."""
        self.write_empty_response(429, retry_after)

    def unavailable(self, retry_after: float | None) -> None:
        """No server could take the request, and it was not executed."""
        self.write_empty_response(503, retry_after)

    def failed(self, failure: object | None) -> None:
        """The request failed and may have run; ``failure``: the error response of a server, if any."""
        if failure is None:
            self.write_empty_response(502)
        else:
            assert isinstance(failure, Response)
            self.write_response(failure)

    def write_empty_response(
        self, status: int, retry_after: float | None = None, extra_headers: bytes = b""
    ) -> None:
        """Write a response of the gateway itself. ``retry_after``: s; ``extra_headers``: raw lines."""
        self.stats[f"answers.{status}"] += 1
        retry_header = b"" if retry_after is None else b"Retry-After: %.3f\r\n" % retry_after
        close_header = b"Connection: close\r\n" if self.connection.closes_after_response else b""
        self.deliver(
            b"%b%b%b%bContent-Length: 0\r\n\r\n"
            % (status_line(status), retry_header, extra_headers, close_header)
        )

    def write_response(self, response: Response) -> None:
        """Write a server's response, provided that it answers this request."""
        if response.attempt_id != self.attempt_id:
            self.withhold(response)
            return
        head = [status_line(response.status)]
        head += [b"%b: %b\r\n" % pair for pair in response.headers]
        if self.connection.closes_after_response:
            head.append(b"Connection: close\r\n")
        if response.status not in BODILESS_STATUSES:
            head.append(b"Content-Length: %d\r\n" % len(response.body))
        head.append(b"\r\n")
        if isinstance(response.body, LargeBody):
            self.deliver(b"".join(head), response.body)
            return
        head.append(response.body)
        self.deliver(b"".join(head))

    def withhold(self, response: Response) -> None:
        """Answer 502 in place of a response that belongs to another request; guards against a bug here."""
        self.stats["answers.foreign"] += 1
        log(
            "foreign-answer", status=response.status, attempt=self.attempt_id.decode("latin-1"),
            stamped=response.attempt_id.decode("latin-1"),
        )  # fmt: skip
        self.write_empty_response(502)

    def deliver(self, data: bytes, body: Body = b"") -> None:
        """Hand the bytes to the connection, which drops them if this request is no longer being served."""
        self.flow = None
        if not self.connection.write_response(self, data, body):
            self.stats["answers.unowned"] += 1


def status_line(status: int) -> bytes:
    """The status line of a response."""
    known = STATUS_LINES.get(status)
    return (
        known if known is not None else b"HTTP/1.1 %d %b\r\n" % (status, EXTRA_REASONS.get(status, b"Status"))
    )
