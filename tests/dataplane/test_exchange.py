"""A request's answer: its own, and only while it is the one under way on its connection."""

from __future__ import annotations

from latchspoke.dataplane.exchange import ClientExchange
from latchspoke.dataplane.upstream import Response
from latchspoke.net.stats import Stats


class OneAtATime:
    """A client's connection: takes the answer to the request that is under way."""

    closes_after_response = False

    def __init__(self) -> None:
        self.under_way: ClientExchange | None = None
        self.written: list[bytes] = []

    def write_response(self, exchange: ClientExchange, data: bytes) -> bool:
        if exchange is not self.under_way:
            return False
        self.under_way = None
        self.written.append(data)
        return True


def request(bearer: OneAtATime, stats: Stats, attempt: bytes) -> ClientExchange:
    bearer.under_way = ClientExchange(bearer, stats, b"GET", b"/", {b"x-attempt-id": attempt}, [], b"", 0.0)
    return bearer.under_way


def test_an_answer_to_another_request_is_withheld() -> None:
    bearer, stats = OneAtATime(), Stats()
    request(bearer, stats, b"a2").failed(Response(504, [], b"late", b"a1"))
    assert bearer.written == [b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"]
    request(bearer, stats, b"a3").served(Response(200, [(b"x-attempt-id", b"a3")], b"hi", b"a3"))
    assert bearer.written[1] == b"HTTP/1.1 200 OK\r\nx-attempt-id: a3\r\nContent-Length: 2\r\n\r\nhi"
    assert stats["answers.foreign"] == 1 and stats["answers.unowned"] == 0


def test_an_answer_to_a_request_that_is_over_is_dropped() -> None:
    bearer, stats = OneAtATime(), Stats()
    first = request(bearer, stats, b"a1")
    first.served(Response(200, [], b"hi", b"a1"))
    request(bearer, stats, b"a2")
    first.failed(None)
    first.refused(0.5)
    assert len(bearer.written) == 1 and bearer.under_way is not None
    assert stats["answers.unowned"] == 2
