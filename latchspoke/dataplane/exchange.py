"""One request of a client, from its last byte to the one answer that it gets.

All that belongs to a request stands here and not on its connection, which may bear the next request by the
time something late comes for this one. Whatever is answered goes by way of the request: the connection takes
it only from the one that is under way there.
"""

from __future__ import annotations

from typing import Protocol

from latchspoke.core import Flow
from latchspoke.dataplane.upstream import Answer
from latchspoke.net.http import REASONS
from latchspoke.net.stats import Stats
from latchspoke.transport.log import log

STATUS_LINES = {status: f"HTTP/1.1 {status} {text}\r\n".encode() for status, text in REASONS.items()}
MORE_REASONS = {401: b"Unauthorized", 504: b"Gateway Timeout", 421: b"Misdirected Request"}
BODILESS = (204, 304)  # statuses whose answers have neither body nor length


class Bearer(Protocol):
    """The connection on which a request has come."""

    @property
    def closing(self) -> bool:
        """Whether it ends with this answer."""
        ...

    def answer(self, exchange: ClientExchange, data: bytes) -> bool:
        """Write the answer to this request; False if another one, or none, is under way."""
        ...


class ClientExchange:
    """A request as it came whole. It is the client of its flow (``latchspoke.dataplane.core.LineClient``)."""

    __slots__ = (
        "attempt", "bearer", "body", "flow", "headers", "method", "pairs", "stats", "url", "whole_at",
    )  # fmt: skip

    def __init__(
        self,
        bearer: Bearer,
        stats: Stats,
        method: bytes,
        url: bytes,
        headers: dict[bytes, bytes],
        pairs: list[tuple[bytes, bytes]],
        body: bytes,
        whole_at: float,
    ) -> None:
        """``headers`` by lower-case name, ``pairs`` as they came; ``whole_at``: s, of its last byte."""
        self.bearer, self.stats = bearer, stats
        self.method, self.url, self.headers, self.pairs, self.body = method, url, headers, pairs, body
        self.whole_at = whole_at
        self.attempt = headers.get(b"x-attempt-id", b"")
        self.flow: Flow | None = None

    # The core's answers.

    def served(self, answer: object) -> None:
        """A server has served it."""
        assert isinstance(answer, Answer)
        self.write_answer(answer)

    def refused(self, retry_after: float | None) -> None:
        """It lies beyond its tenant's quota, and has not run."""
        self.plain(429, retry_after)

    def no_room(self, retry_after: float | None) -> None:
        """No server could take it, and it has not run."""
        self.plain(503, retry_after)

    def failed(self, failure: object | None) -> None:
        """Nobody has served it, and it may have run; ``failure``: a server's own answer that says so."""
        if failure is None:
            self.plain(502)
        else:
            assert isinstance(failure, Answer)
            self.write_answer(failure)

    def plain(self, status: int, retry_after: float | None = None, more: bytes = b"") -> None:
        """An answer of this system's own; ``more``: header lines. ``retry_after`` in s."""
        self.stats[f"answers.{status}"] += 1
        pause = b"" if retry_after is None else b"Retry-After: %.3f\r\n" % retry_after
        end = b"Connection: close\r\n" if self.bearer.closing else b""
        self.write(b"%b%b%b%bContent-Length: 0\r\n\r\n" % (status_line(status), pause, more, end))

    def write_answer(self, answer: Answer) -> None:
        """A server's answer, if it is the answer to this request."""
        if answer.attempt != self.attempt:
            self.withhold(answer)
            return
        head = [status_line(answer.status)]
        head += [b"%b: %b\r\n" % pair for pair in answer.headers]
        if self.bearer.closing:
            head.append(b"Connection: close\r\n")
        if answer.status not in BODILESS:
            head.append(b"Content-Length: %d\r\n" % len(answer.body))
        head.append(b"\r\n")
        head.append(answer.body)
        self.write(b"".join(head))

    def withhold(self, answer: Answer) -> None:
        """Another request's answer has come to this one: a fault of this program, kept from the client."""
        self.stats["answers.foreign"] += 1
        log(
            "foreign-answer", status=answer.status, attempt=self.attempt.decode("latin-1"),
            stamped=answer.attempt.decode("latin-1"),
        )  # fmt: skip
        self.plain(502)

    def write(self, data: bytes) -> None:
        """Give it to the connection, which drops what comes for a request that is over there."""
        self.flow = None
        if not self.bearer.answer(self, data):
            self.stats["answers.unowned"] += 1


def status_line(status: int) -> bytes:
    """The first line of an answer."""
    known = STATUS_LINES.get(status)
    return (
        known if known is not None else b"HTTP/1.1 %d %b\r\n" % (status, MORE_REASONS.get(status, b"Status"))
    )
