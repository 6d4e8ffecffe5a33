"""Bodies above 64 KiB are streamed in both directions, without buffering more than a part or two."""

from __future__ import annotations

import pytest

from tests.operations.test_settings_reload import send_request, start_gateway
from tests.player import Player

PART_BYTES = 64 * 1024


def start_large_response(length: str, headers: str = "") -> Player:
    """Let client c1 send a request, and target t1 send the head of its response."""
    player = start_gateway()
    send_request(player, "c1", "a1", "read")
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < GET /read?key=1 *")
    player.step(f"t1 > HTTP/1.1 200 OK\\r\\n{length}\\r\\n{headers}\\r\\n")
    return player


def target_sends(player: Player, data: bytes) -> None:
    player.transports["t1"].connection.data_received(data)
    player.report_closed()


def advance(player: Player, seconds: float) -> None:
    """Advance the clock, and drop attempts to reconnect to discovery, which is silent in these tests."""
    player.clock.advance(seconds)
    player.report_closed()
    player.dialled = [(c, address) for c, address in player.dialled if address != ("127.0.0.2", 2)]


def take_written(player: Player, name: str = "c1") -> bytes:
    transport = player.transports[name]
    data, transport.written = transport.written, b""
    return data


def test_large_response_is_streamed_from_its_first_bytes() -> None:
    player = start_large_response(f"Content-Length: {512 * PART_BYTES}", "Content-Type: x\\r\\n")
    target_sends(player, b"a" * 10)
    head, _, body = take_written(player).partition(b"\r\n\r\n")
    assert (
        head.endswith(f"Content-Length: {512 * PART_BYTES}\r\nContent-Type: x".encode()) and body == b"a" * 10
    )
    assert player.node.listener.requests_in_flight == 1
    passed = 10
    for _ in range(511):
        target_sends(player, b"b" * PART_BYTES)
        passed += len(take_written(player))
        advance(player, 0.02)  # in total far beyond the request's deadline
    target_sends(player, b"c" * (512 * PART_BYTES - passed))
    assert passed + len(take_written(player)) == 512 * PART_BYTES
    player.step("stats flows.served=1 answered.read=1 flows.passed=1 forwards.timeout=0 flows.overdue=0")
    assert player.node.listener.requests_in_flight == 0
    # Both connections are reused.
    advance(player, 0.01)
    player.step(
        "c1 > GET /read?key=1 HTTP/1.1\\r\\nReq-Id: a2\\r\\nReq-Kind: read\\r\\nX-Tier: basic\\r\\n"
        "Req-Deadline: 3\\r\\n\\r\\n"
    )
    player.step("t1 < GET /read?key=1 *")


def test_blocked_client_pauses_reading_from_the_target() -> None:
    player = start_large_response(f"Content-Length: {8 * PART_BYTES}")
    target_sends(player, b"a" * PART_BYTES)
    client, server = player.transports["c1"], player.transports["t1"]
    client.connection.pause_writing()
    assert server.paused
    advance(player, 30.0)  # no stall timeout for the target while the client blocks
    assert not server.ended and not client.ended
    client.connection.resume_writing()
    assert not server.paused
    target_sends(player, b"a" * PART_BYTES)
    client.connection.pause_writing()
    advance(player, 62.0)
    player.step("c1 closed not_taken")
    player.step("t1 closed cancelled")


@pytest.mark.parametrize("size", [PART_BYTES, PART_BYTES + 1, 3 * PART_BYTES])
def test_chunked_response_is_streamed_once_it_exceeds_the_buffer(size: int) -> None:
    player = start_large_response("Transfer-Encoding: chunked")
    sent = 0
    while sent < size:
        part = min(1000, size - sent)
        target_sends(player, b"%x;ext=1\r\n" % part + b"x" * part + b"\r\n")
        sent += part
    target_sends(player, b"0\r\nTrailer: y\r\nReq-Id: z\r\n\r\n")
    data = take_written(player)
    assert data.count(b"x") == size
    assert (b"Transfer-Encoding: chunked" in data) == (size > PART_BYTES) == data.endswith(b"\r\n0\r\n\r\n")
    player.step("stats answered.read=1")


def test_response_delimited_by_close_is_passed_to_an_http_1_0_client() -> None:
    player = start_gateway()
    player.step("open c1")
    player.step(
        "c1 > GET /read?key=1 HTTP/1.0\\r\\nReq-Id: a1\\r\\nReq-Kind: read\\r\\nX-Tier: basic\\r\\n"
        "Req-Deadline: 3\\r\\n\\r\\n"
    )
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < GET /read?key=1 *")
    player.step("t1 > HTTP/1.1 200 OK\\r\\nConnection: close\\r\\n\\r\\n")
    target_sends(player, b"x" * 2 * PART_BYTES)
    player.step("t1 eof")
    data = take_written(player)
    assert b"chunked" not in data and data.endswith(b"x" * 2 * PART_BYTES)
    player.step("c1 closed asked_close")
    player.step("stats answered.read=1")


def test_broken_stream_counts_as_an_error_and_closes_the_client() -> None:
    player = start_large_response(f"Content-Length: {8 * PART_BYTES}")
    target_sends(player, b"a" * PART_BYTES)
    player.step("t1 reset")
    player.report_closed()
    assert len(take_written(player)) < 2 * PART_BYTES
    player.step("c1 closed answer_cut")
    player.step("stats answered.read=0 errored.read=1 flows.cut=1")


def test_stalled_stream_ends() -> None:
    player = start_large_response(f"Content-Length: {8 * PART_BYTES}")
    target_sends(player, b"a" * PART_BYTES)
    advance(player, 9.0)
    target_sends(player, b"a" * PART_BYTES)
    advance(player, 9.0)
    assert not player.transports["c1"].ended
    advance(player, 1.1)
    player.step("t1 closed stalled")
    player.report_closed()
    player.step("c1 closed answer_cut")
    take_written(player)


def test_client_disconnect_cancels_the_stream() -> None:
    player = start_large_response(f"Content-Length: {8 * PART_BYTES}")
    target_sends(player, b"a" * PART_BYTES)
    player.step("c1 reset")
    player.step("t1 closed cancelled")


def test_draining_gateway_completes_a_stream() -> None:
    player = start_large_response(f"Content-Length: {2 * PART_BYTES}")
    target_sends(player, b"a" * PART_BYTES)
    player.node.stop()
    advance(player, 2.0)
    assert not player.done
    target_sends(player, b"a" * PART_BYTES)
    assert len(take_written(player)) > 2 * PART_BYTES
    player.report_closed()
    advance(player, 0.1)
    assert player.done


def test_slow_small_response_completes_and_large_error_is_not_buffered() -> None:
    player = start_large_response("Content-Length: 4")
    for part in b"abcd":
        advance(player, 0.2)
        target_sends(player, bytes([part]))
    player.step("c1 < HTTP/1.1 200 *abcd")
    other = start_gateway()
    send_request(other, "c1", "a1", "read")
    other.step("dial t1 127.0.0.9:1")
    other.step("t1 < GET /read?key=1 *")
    other.step(f"t1 > HTTP/1.1 500 X\\r\\nContent-Length: {4 * PART_BYTES}\\r\\n\\r\\n")
    for _ in range(4):
        target_sends(other, b"e" * PART_BYTES)
    assert sum(map(len, other.transports["t1"].connection.parts)) <= PART_BYTES
    other.step("dial t2 127.0.0.9:1")
    other.step("t2 < GET /read?key=1 *")


TIER = "X-Tier: basic\\r\\n"
REQUEST_FORMS = {
    "whitespace": "GET /read?key=1 HTTP/1.1\r\nreq-id:a1\r\nREQ-KIND:  read \t\r\nX-Tier: basic "
    "\r\nReq-Deadline:\t3 ",
    "absolute": "GET http://gw.local:70/read?key=1 HTTP/1.1\r\nReq-Id: a1\r\nReq-Kind: read\r\nX-Tier: basic"
    "\r\nReq-Deadline: 3",
    "h2c": "GET /read?key=1 HTTP/1.1\r\nUpgrade: h2c\r\nConnection: Upgrade\r\nReq-Id: a1\r\nReq-Kind: read"
    "\r\nX-Tier: basic\r\nReq-Deadline: 3",
    "leading empty lines": "\r\n\r\nGET /read?key=1 HTTP/1.1\r\nReq-Id: a1\r\nReq-Kind: read\r\nX-Tier: basic"
    "\r\nReq-Deadline: 3",
}


@pytest.mark.parametrize("name", REQUEST_FORMS)
@pytest.mark.parametrize("part_size", [1, 7, 1000])
def test_unusual_request_heads_are_parsed_for_any_segmentation(name: str, part_size: int) -> None:
    player = start_gateway()
    player.step("open c1")
    raw = REQUEST_FORMS[name].encode() + b"\r\n\r\n"
    for offset in range(0, len(raw), part_size):
        player.transports["c1"].connection.data_received(raw[offset : offset + part_size])
        advance(player, 0.001)
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < GET /read?key=1 HTTP/1.1\\r\\nHost: backend.local\\r\\nReq-Id: a1\\r\\nReq-Deadline: *")
    player.step("t1 > HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
    player.step("c1 < HTTP/1.1 200 *hi")


def test_slow_request_head_and_body_are_accepted() -> None:
    player = start_gateway()
    player.step("open c1")
    for piece in (
        "POST /read?key=1 HTTP/1.1\\r\\n",
        "Req-Id: a1\\r\\nReq-Kind: read\\r\\n",
        "X-Tier: basic\\r\\n",
    ):
        player.step(f"c1 > {piece}")
        advance(player, 0.7)
    player.step("c1 > Req-Deadline: 3\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n")
    for _ in range(20):
        player.step("c1 > 1\\r\\nz\\r\\n")
        advance(player, 1.0)
    player.step("c1 > 0\\r\\nReq-Id: other\\r\\n\\r\\n")
    player.step("dial t1 127.0.0.9:1")
    player.step(f"t1 < POST /read?key=1 *Req-Id: a1\\r\\n*{'z' * 20}")


POST_HEAD = f"POST /read?key=1 HTTP/1.1\\r\\nReq-Id: a1\\r\\nReq-Kind: read\\r\\n{TIER}Req-Deadline: 3\\r\\n"


def start_upload(length: str) -> Player:
    player = start_gateway()
    player.step("open c1")
    player.step(f"c1 > {POST_HEAD}{length}\\r\\n\\r\\n")
    return player


def client_sends(player: Player, data: bytes) -> None:
    player.transports["c1"].connection.data_received(data)
    player.report_closed()


@pytest.mark.parametrize("chunked", [False, True])
def test_large_upload_is_streamed_and_its_deadline_starts_at_the_last_byte(chunked: bool) -> None:
    player = start_upload("Transfer-Encoding: chunked" if chunked else f"Content-Length: {30 * PART_BYTES}")
    client = player.transports["c1"].connection
    passed = 0
    for number in range(30):
        client_sends(player, (b"10000\r\n%b\r\n" if chunked else b"%b") % (b"z" * PART_BYTES))
        if number == 2:
            assert player.transports["c1"].paused  # until the target is connected
            player.step("dial t1 127.0.0.9:1")
            assert not player.transports["c1"].paused
        if number >= 2:
            passed += take_written(player, "t1").count(b"z")
        assert sum(map(len, client.parts)) <= PART_BYTES
        if number >= 2:
            advance(player, 1.0)
    assert passed == 30 * PART_BYTES and player.node.listener.requests_in_flight == 1
    if chunked:
        client_sends(player, b"0\r\n\r\n")
        assert take_written(player, "t1") == b"0\r\n\r\n"
    player.step("stats forwards.whole=1 flows.overdue=0")
    player.step("t1 > HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
    player.step("c1 < HTTP/1.1 200 *hi")
    player.step("stats answered.read=1 forwards.ok=1")


def test_large_upload_times_out_after_its_last_byte() -> None:
    player = start_upload(f"Content-Length: {2 * PART_BYTES}")
    client_sends(player, b"z" * (PART_BYTES + 1))
    player.step("dial t1 127.0.0.9:1")
    advance(player, 2.5)
    assert not player.transports["t1"].ended
    client_sends(player, b"z" * (PART_BYTES - 1))
    advance(player, 3.0)
    take_written(player, "t1")
    player.step("t1 closed cancelled")
    player.step("c1 < HTTP/1.1 429 *")


def test_blocked_target_pauses_reading_from_the_client() -> None:
    player = start_upload(f"Content-Length: {9 * PART_BYTES}")
    client_sends(player, b"z" * (PART_BYTES + 1))
    player.step("dial t1 127.0.0.9:1")
    player.transports["t1"].connection.pause_writing()
    assert player.transports["c1"].paused
    advance(player, 20.0)
    assert not player.transports["c1"].ended
    player.transports["t1"].connection.resume_writing()
    assert not player.transports["c1"].paused
    # A client that stops sending runs into its read timeout, which cancels the attempt.
    advance(player, 6.0)
    player.step("c1 closed read_timeout")
    take_written(player, "t1")
    player.report_closed()
    player.step("t1 closed cancelled")
    assert not player.node.core.flows and not player.node.core.gateway.jobs


def test_consumed_upload_is_not_retried_and_is_answered_at_once() -> None:
    player = start_upload(f"Content-Length: {4 * PART_BYTES}")
    client_sends(player, b"z" * (PART_BYTES + 1))
    player.step("dial t1 127.0.0.9:1")
    take_written(player, "t1")
    player.step("t1 > HTTP/1.1 503 X\\r\\nSrv-Declined: 1\\r\\nContent-Length: 0\\r\\n\\r\\n")
    player.step("t1 closed asked_close")
    player.step("c1 < HTTP/1.1 429 *")
    assert not player.dialled
    # The rest of the body is discarded, and the connection is reused.
    client_sends(player, b"z" * (3 * PART_BYTES - 1))
    player.step("c1 > GET /-/healthy HTTP/1.1\\r\\n\\r\\n")
    player.step("c1 < HTTP/1.1 200 *")


def test_client_disconnect_during_upload_leaves_no_state() -> None:
    player = start_upload("Transfer-Encoding: chunked")
    client_sends(player, b"20000\r\n" + b"z" * 2 * PART_BYTES)
    player.step("dial t1 127.0.0.9:1")
    take_written(player, "t1")
    player.step("c1 reset")
    player.step("t1 closed cancelled")
    other = start_upload("Transfer-Encoding: chunked")
    client_sends(other, b"20000\r\n" + b"z" * 2 * PART_BYTES)
    other.step("dial t1 127.0.0.9:1")
    take_written(other, "t1")
    client_sends(other, b"no chunk")
    other.step("c1 < HTTP/1.1 400 *")
    other.step("t1 closed cancelled")
    for gateway in (player, other):
        assert not gateway.node.core.flows and not gateway.node.core.gateway.jobs
