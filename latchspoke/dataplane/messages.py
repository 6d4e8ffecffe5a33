"""Requests as they are sent to servers, and the servers' responses as they are passed on to clients."""

from __future__ import annotations

from latchspoke.dataplane.body_memory import Body


class Response:
    """A complete server response as passed on: status, end-to-end headers and body.

    ``attempt_id`` is the ``X-Attempt-Id`` that the server has put into it.
    """

    __slots__ = ("attempt_id", "body", "headers", "status")

    def __init__(
        self, status: int, headers: list[tuple[bytes, bytes]], body: Body, attempt_id: bytes
    ) -> None:
        self.status, self.headers, self.body, self.attempt_id = status, headers, body, attempt_id


class Request:
    """The part of a client request that is forwarded: everything except hop-by-hop and replaced headers."""

    __slots__ = ("attempt_id", "body", "head", "method", "tenant")

    def __init__(self, method: bytes, attempt_id: bytes, head: bytes, tenant: bytes, body: Body) -> None:
        self.method, self.attempt_id, self.head = method, attempt_id, head
        self.tenant, self.body = tenant, body
