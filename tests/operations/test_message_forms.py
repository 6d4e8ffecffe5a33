"""Encodings of requests and responses, and the largest bodies in both directions with a slow client."""

from __future__ import annotations

import pytest

from latchspoke.net.listener import WRITE_BUFFER_HIGH_BYTES
from tests.operations.test_settings_reload import send_request, start_gateway
from tests.operations.test_streaming import (
    PART_BYTES,
    POST_HEAD,
    advance,
    client_sends,
    start_upload,
    take_written,
    target_sends,
)

BODY_FORMS = {
    "content length": "Content-Length:\t5 \\r\\n\\r\\nhello",
    "chunked": "Transfer-Encoding: chunked\\r\\n\\r\\n2\\r\\nhe\\r\\n3\\r\\nllo\\r\\n0\\r\\n\\r\\n",
    "upper case and leading zeros": "TRANSFER-ENCODING: Chunked\\r\\n\\r\\n"
    "0005\\r\\nhello\\r\\n000\\r\\n\\r\\n",
    "chunk extensions and trailer": "Transfer-Encoding: chunked\\r\\n\\r\\n"
    '5;a="b;c";d\\r\\nhello\\r\\n0;e\\r\\nReq-Id: other\\r\\nX-Tier: gold\\r\\n\\r\\n',
    "ignored headers": "Connection: keep-alive, X-Own\\r\\nX-Own: 1\\r\\nX-Empty:\\r\\n"
    "Content-Length: 5\\r\\n\\r\\nhello",
}


@pytest.mark.parametrize("name", BODY_FORMS)
@pytest.mark.parametrize("part_size", [1, 1000])
def test_request_body_encodings_are_parsed(name: str, part_size: int) -> None:
    player = start_gateway()
    player.step("open c1")
    raw = (POST_HEAD + BODY_FORMS[name]).encode().decode("unicode_escape").encode()
    for offset in range(0, len(raw), part_size):
        client_sends(player, raw[offset : offset + part_size])
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < POST /read?key=1 *Req-Id: a1\\r\\n*Content-Length: 5\\r\\n\\r\\nhello")
    player.step("t1 > HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
    player.step("c1 < HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")


def test_expect_100_continue_is_answered() -> None:
    player = start_gateway()
    player.step("open c1")
    player.step(f"c1 > {POST_HEAD}Content-Length: 5\\r\\nExpect: 100-Continue\\r\\n\\r\\n")
    player.step("c1 < HTTP/1.1 100 Continue\\r\\n\\r\\n")
    player.step("c1 > hello")
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < POST *hello")
    player.step("t1 > HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n")
    player.step("c1 < HTTP/1.1 200 *")


@pytest.mark.parametrize(
    ("version", "words", "kept"),
    [("1.1", "", True), ("1.1", "Connection: Close\\r\\n", False), ("1.0", "", False)],
)
def test_client_controls_whether_the_connection_is_kept_alive(version: str, words: str, kept: bool) -> None:
    player = start_gateway()
    player.step("open c1")
    player.step(
        f"c1 > GET /read?key=1 HTTP/{version}\\r\\n{words}Req-Id: a1\\r\\nReq-Kind: read\\r\\n"
        "X-Tier: basic\\r\\nReq-Deadline: 3\\r\\n\\r\\n"
    )
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < GET *")
    player.step("t1 > HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
    end = "" if kept else "Connection: close\\r\\n"
    player.step(f"c1 < HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n{end}\\r\\nhi")
    assert player.transports["c1"].ended != kept


RESPONSE_FORMS = {
    "no reason phrase": "HTTP/1.1 200 \\r\\ncontent-LENGTH:  2\\r\\n\\r\\nhi",
    "1xx first": "HTTP/1.1 103 Early Hints\\r\\nLink: x\\r\\n\\r\\nHTTP/1.1 100 Continue\\r\\n\\r\\n"
    "HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi",
    "chunk extensions and trailer": "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n"
    "1;a=b\\r\\nh\\r\\n01\\r\\ni\\r\\n0\\r\\nSrv-Load: TEXT queue=9\\r\\n\\r\\n",
    "HTTP/1.0": "HTTP/1.0 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi",
    "delimited by close": "HTTP/1.1 200 OK\\r\\nConnection: close\\r\\n\\r\\nhi",
}


@pytest.mark.parametrize("name", RESPONSE_FORMS)
@pytest.mark.parametrize("part_size", [1, 1000])
def test_response_encodings_are_parsed(name: str, part_size: int) -> None:
    player = start_gateway()
    send_request(player, "c1", "a1", "read")
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < GET *")
    raw = RESPONSE_FORMS[name].encode().decode("unicode_escape").encode()
    for offset in range(0, len(raw), part_size):
        target_sends(player, raw[offset : offset + part_size])
    if name == "delimited by close":
        player.step("t1 eof")
    player.step("c1 < HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
    player.step("stats answered.read=1 forwards.ok=1")


def test_slow_client_streams_32_mib_both_ways() -> None:
    size, seconds = 512 * PART_BYTES, 512
    player = start_upload(f"Content-Length: {size}")
    passed = 0
    for second in range(seconds):
        client_sends(player, b"z" * PART_BYTES)
        if second == 1:
            player.step("dial t1 127.0.0.9:1")
        if second:
            body = take_written(player, "t1").partition(b"\r\n\r\n" if second == 1 else b"z")
            passed += len(body[2]) + (second > 1)
        assert sum(map(len, player.transports["c1"].connection.parts)) <= PART_BYTES
        advance(player, 1.0)
    assert passed == size
    client, server = player.transports["c1"], player.transports["t1"]
    player.step(f"t1 > HTTP/1.1 200 OK\\r\\nContent-Length: {size}\\r\\n\\r\\n")
    sent = received = max_buffered = 0
    while sent < size or client.written:
        while sent < size and not server.paused:
            target_sends(player, b"a" * PART_BYTES)
            sent += PART_BYTES
            if len(client.written) > WRITE_BUFFER_HIGH_BYTES:
                client.connection.pause_writing()
        max_buffered = max(max_buffered, len(client.written))
        received += client.written[:PART_BYTES].count(b"a")
        client.written = client.written[PART_BYTES:]
        if len(client.written) <= WRITE_BUFFER_HIGH_BYTES // 4:
            client.connection.resume_writing()
        advance(player, 1.0)
    assert received > size - PART_BYTES and not client.ended and max_buffered <= 3 * PART_BYTES
    player.step("stats answered.read=1 flows.passed=1 flows.overdue=0 forwards.timeout=0")
