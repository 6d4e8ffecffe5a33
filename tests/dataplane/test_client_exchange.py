"""A client gets only the response to its own request, and only while that request is in flight."""

from __future__ import annotations

from latchspoke.dataplane.body_memory import Body
from latchspoke.dataplane.exchange import ClientExchange
from latchspoke.dataplane.messages import Response
from latchspoke.net.stats import Stats


class FakeClientConnection:
    """A client connection that accepts the response to the request in flight."""

    closes_after_response = False

    def __init__(self) -> None:
        self.in_flight: ClientExchange | None = None
        self.written: list[bytes] = []

    def write_response(self, exchange: ClientExchange, data: bytes, body: Body = b"") -> bool:
        if exchange is not self.in_flight:
            return False
        self.in_flight = None
        self.written.append(data + body)
        return True


def request(connection: FakeClientConnection, stats: Stats, attempt_id: bytes) -> ClientExchange:
    connection.in_flight = ClientExchange(
        connection, stats, b"GET", b"/", {b"x-attempt-id": attempt_id}, [], b"", 0.0
    )
    return connection.in_flight


def test_a_response_to_another_request_is_withheld() -> None:
    connection, stats = FakeClientConnection(), Stats()
    request(connection, stats, b"a2").failed(Response(504, [], b"late", b"a1"))
    assert connection.written == [b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"]
    request(connection, stats, b"a3").served(Response(200, [(b"x-attempt-id", b"a3")], b"hi", b"a3"))
    assert connection.written[1] == b"HTTP/1.1 200 OK\r\nx-attempt-id: a3\r\nContent-Length: 2\r\n\r\nhi"
    assert stats["answers.foreign"] == 1 and stats["answers.unowned"] == 0


def test_a_response_to_a_finished_request_is_dropped() -> None:
    connection, stats = FakeClientConnection(), Stats()
    first = request(connection, stats, b"a1")
    first.served(Response(200, [], b"hi", b"a1"))
    request(connection, stats, b"a2")
    first.failed(None)
    first.refused(0.5)
    assert len(connection.written) == 1 and connection.in_flight is not None
    assert stats["answers.unowned"] == 2
