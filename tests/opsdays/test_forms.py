"""Every form that a request and an answer may have, and the largest both ways through a slow client."""

from __future__ import annotations

import pytest

from latchspoke.net.listener import WRITE_BUFFER_HIGH_BYTES
from tests.opsdays.test_bulk import PIECE, POST, come, give, uploading, wait, written
from tests.opsdays.test_settings import ask, started

BODIES = {
    "a size": "Content-Length:\t5 \\r\\n\\r\\nhello",
    "chunks": "Transfer-Encoding: chunked\\r\\n\\r\\n2\\r\\nhe\\r\\n3\\r\\nllo\\r\\n0\\r\\n\\r\\n",
    "a coding in capitals, zeros ahead": "TRANSFER-ENCODING: Chunked\\r\\n\\r\\n"
    "0005\\r\\nhello\\r\\n000\\r\\n\\r\\n",
    "chunks with words and a trailer": "Transfer-Encoding: chunked\\r\\n\\r\\n"
    '5;a="b;c";d\\r\\nhello\\r\\n0;e\\r\\nReq-Id: other\\r\\nX-Tier: gold\\r\\n\\r\\n',
    "words that are passed over": "Connection: keep-alive, X-Own\\r\\nX-Own: 1\\r\\nX-Empty:\\r\\n"
    "Content-Length: 5\\r\\n\\r\\nhello",
}


@pytest.mark.parametrize("name", BODIES)
@pytest.mark.parametrize("cut", [1, 1000])
def test_a_body_is_read_in_each_of_its_forms(name: str, cut: int) -> None:
    player = started()
    player.step("open c1")
    raw = (POST + BODIES[name]).encode().decode("unicode_escape").encode()
    for place in range(0, len(raw), cut):
        give(player, raw[place : place + cut])
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < POST /read?key=1 *Req-Id: a1\\r\\n*Content-Length: 5\\r\\n\\r\\nhello")
    player.step("t1 > HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
    player.step("c1 < HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")


def test_who_waits_to_be_told_to_go_on_is_told() -> None:
    player = started()
    player.step("open c1")
    player.step(f"c1 > {POST}Content-Length: 5\\r\\nExpect: 100-Continue\\r\\n\\r\\n")
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
def test_a_connection_is_kept_or_closed_as_its_client_says(version: str, words: str, kept: bool) -> None:
    player = started()
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
    assert player.links["c1"].ended != kept


ANSWERS = {
    "no reason": "HTTP/1.1 200 \\r\\ncontent-LENGTH:  2\\r\\n\\r\\nhi",
    "news ahead": "HTTP/1.1 103 Early Hints\\r\\nLink: x\\r\\n\\r\\nHTTP/1.1 100 Continue\\r\\n\\r\\n"
    "HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi",
    "chunks with words and a trailer": "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n"
    "1;a=b\\r\\nh\\r\\n01\\r\\ni\\r\\n0\\r\\nSrv-Load: TEXT queue=9\\r\\n\\r\\n",
    "an old one": "HTTP/1.0 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi",
    "up to the close": "HTTP/1.1 200 OK\\r\\nConnection: close\\r\\n\\r\\nhi",
}


@pytest.mark.parametrize("name", ANSWERS)
@pytest.mark.parametrize("cut", [1, 1000])
def test_an_answer_is_read_in_each_of_its_forms(name: str, cut: int) -> None:
    player = started()
    ask(player, "c1", "a1", "read")
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < GET *")
    raw = ANSWERS[name].encode().decode("unicode_escape").encode()
    for place in range(0, len(raw), cut):
        come(player, raw[place : place + cut])
    if name == "up to the close":
        player.step("t1 eof")
    player.step("c1 < HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
    player.step("stats answered.read=1 forwards.ok=1")


def test_32_mb_both_ways_through_a_client_of_64_kb_a_second() -> None:
    size, seconds = 512 * PIECE, 512
    player = uploading(f"Content-Length: {size}")
    passed = 0
    for second in range(seconds):
        give(player, b"z" * PIECE)
        if second == 1:
            player.step("dial t1 127.0.0.9:1")
        if second:
            body = written(player, "t1").partition(b"\r\n\r\n" if second == 1 else b"z")
            passed += len(body[2]) + (second > 1)
        assert sum(map(len, player.links["c1"].connection.parts)) <= PIECE
        wait(player, 1.0)
    assert passed == size
    client, server = player.links["c1"], player.links["t1"]
    player.step(f"t1 > HTTP/1.1 200 OK\\r\\nContent-Length: {size}\\r\\n\\r\\n")
    given = taken = most = 0
    while given < size or client.written:
        while given < size and not server.paused:  # it gives as fast as it is read
            come(player, b"a" * PIECE)
            given += PIECE
            if len(client.written) > WRITE_BUFFER_HIGH_BYTES:
                client.connection.pause_writing()
        most = max(most, len(client.written))
        taken += client.written[:PIECE].count(b"a")
        client.written = client.written[PIECE:]
        if len(client.written) <= WRITE_BUFFER_HIGH_BYTES // 4:
            client.connection.resume_writing()
        wait(player, 1.0)
    assert taken > size - PIECE and not client.ended and most <= 3 * PIECE
    player.step("stats answered.read=1 flows.passed=1 flows.overdue=0 forwards.timeout=0")
