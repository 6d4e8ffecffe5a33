"""Answers and bodies above 64 KiB go through in pieces, and no more of them is held than a piece or two."""

from __future__ import annotations

import pytest

from tests.opsdays.test_settings import ask, started
from tests.player import Player

PIECE = 64 * 1024


def answering(length: str, headers: str = "") -> Player:
    """A client c1 whose request is out at t1, which begins its answer."""
    player = started()
    ask(player, "c1", "a1", "read")
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < GET /read?key=1 *")
    player.step(f"t1 > HTTP/1.1 200 OK\\r\\n{length}\\r\\n{headers}\\r\\n")
    return player


def come(player: Player, data: bytes) -> None:
    player.links["t1"].connection.data_received(data)
    player.settle()


def wait(player: Player, seconds: float) -> None:
    """Discovery says nothing in these tests, and is asked anew."""
    player.clock.advance(seconds)
    player.settle()
    player.dialled = [(c, address) for c, address in player.dialled if address != ("127.0.0.2", 2)]


def written(player: Player, name: str = "c1") -> bytes:
    link = player.links[name]
    data, link.written = link.written, b""
    return data


def test_the_first_bytes_of_a_large_answer_go_out_at_once_and_all_of_it_follows() -> None:
    player = answering(f"Content-Length: {512 * PIECE}", "Content-Type: x\\r\\n")
    come(player, b"a" * 10)
    head, _, body = written(player).partition(b"\r\n\r\n")
    assert head.endswith(f"Content-Length: {512 * PIECE}\r\nContent-Type: x".encode()) and body == b"a" * 10
    assert player.node.listener.requests_in_flight == 1
    passed = 10
    for _ in range(511):
        come(player, b"b" * PIECE)
        passed += len(written(player))
        wait(player, 0.02)  # far beyond the request's deadline in the end
    come(player, b"c" * (512 * PIECE - passed))
    assert passed + len(written(player)) == 512 * PIECE
    player.step("stats flows.served=1 answered.read=1 flows.passed=1 forwards.timeout=0 flows.overdue=0")
    assert player.node.listener.requests_in_flight == 0
    # Both connections go on.
    wait(player, 0.01)
    player.step(
        "c1 > GET /read?key=1 HTTP/1.1\\r\\nReq-Id: a2\\r\\nReq-Kind: read\\r\\nX-Tier: basic\\r\\n"
        "Req-Deadline: 3\\r\\n\\r\\n"
    )
    player.step("t1 < GET /read?key=1 *")


def test_a_client_that_takes_nothing_holds_its_server_back() -> None:
    player = answering(f"Content-Length: {8 * PIECE}")
    come(player, b"a" * PIECE)
    client, server = player.links["c1"], player.links["t1"]
    client.connection.pause_writing()
    assert server.paused
    wait(player, 30.0)  # its silence is not the server's fault
    assert not server.ended and not client.ended
    client.connection.resume_writing()
    assert not server.paused
    come(player, b"a" * PIECE)
    client.connection.pause_writing()
    wait(player, 62.0)
    player.step("c1 closed not_taken")
    player.step("t1 closed cancelled")


@pytest.mark.parametrize("size", [PIECE, PIECE + 1, 3 * PIECE])
def test_an_answer_in_chunks_becomes_large_by_what_has_come(size: int) -> None:
    player = answering("Transfer-Encoding: chunked")
    sent = 0
    while sent < size:
        part = min(1000, size - sent)
        come(player, b"%x;ext=1\r\n" % part + b"x" * part + b"\r\n")
        sent += part
    come(player, b"0\r\nTrailer: y\r\nReq-Id: z\r\n\r\n")
    data = written(player)
    assert data.count(b"x") == size
    assert (b"Transfer-Encoding: chunked" in data) == (size > PIECE) == data.endswith(b"\r\n0\r\n\r\n")
    player.step("stats answered.read=1")


def test_an_answer_up_to_the_close_is_whole_and_an_old_client_gets_the_same() -> None:
    player = started()
    player.step("open c1")
    player.step(
        "c1 > GET /read?key=1 HTTP/1.0\\r\\nReq-Id: a1\\r\\nReq-Kind: read\\r\\nX-Tier: basic\\r\\n"
        "Req-Deadline: 3\\r\\n\\r\\n"
    )
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < GET /read?key=1 *")
    player.step("t1 > HTTP/1.1 200 OK\\r\\nConnection: close\\r\\n\\r\\n")
    come(player, b"x" * 2 * PIECE)
    player.step("t1 eof")
    data = written(player)
    assert b"chunked" not in data and data.endswith(b"x" * 2 * PIECE)
    player.step("c1 closed asked_close")
    player.step("stats answered.read=1")


def test_a_large_answer_that_breaks_off_fails_and_the_client_can_tell() -> None:
    player = answering(f"Content-Length: {8 * PIECE}")
    come(player, b"a" * PIECE)
    player.step("t1 reset")
    player.settle()
    assert len(written(player)) < 2 * PIECE
    player.step("c1 closed answer_cut")
    player.step("stats answered.read=0 errored.read=1 flows.cut=1")


def test_a_large_answer_of_a_server_that_is_stuck_ends() -> None:
    player = answering(f"Content-Length: {8 * PIECE}")
    come(player, b"a" * PIECE)
    wait(player, 9.0)
    come(player, b"a" * PIECE)
    wait(player, 9.0)
    assert not player.links["c1"].ended
    wait(player, 1.1)
    player.step("t1 closed stalled")
    player.settle()
    player.step("c1 closed answer_cut")
    written(player)


def test_a_client_that_leaves_ends_its_server_s_work() -> None:
    player = answering(f"Content-Length: {8 * PIECE}")
    come(player, b"a" * PIECE)
    player.step("c1 reset")
    player.step("t1 closed cancelled")


def test_who_leaves_in_order_first_passes_on_all_of_an_answer() -> None:
    player = answering(f"Content-Length: {2 * PIECE}")
    come(player, b"a" * PIECE)
    player.node.stop()
    wait(player, 2.0)
    assert not player.done
    come(player, b"a" * PIECE)
    assert len(written(player)) > 2 * PIECE
    player.settle()
    wait(player, 0.1)
    assert player.done


def test_a_small_answer_in_pieces_is_waited_for_and_a_large_error_is_not_kept() -> None:
    player = answering("Content-Length: 4")
    for part in b"abcd":
        wait(player, 0.2)
        come(player, bytes([part]))
    player.step("c1 < HTTP/1.1 200 *abcd")
    other = started()
    ask(other, "c1", "a1", "read")
    other.step("dial t1 127.0.0.9:1")
    other.step("t1 < GET /read?key=1 *")
    other.step(f"t1 > HTTP/1.1 500 X\\r\\nContent-Length: {4 * PIECE}\\r\\n\\r\\n")
    for _ in range(4):
        come(other, b"e" * PIECE)
    assert sum(map(len, other.links["t1"].connection.parts)) <= PIECE
    other.step("dial t2 127.0.0.9:1")
    other.step("t2 < GET /read?key=1 *")


TIER = "X-Tier: basic\\r\\n"
ODD = {
    "blanks": "GET /read?key=1 HTTP/1.1\r\nreq-id:a1\r\nREQ-KIND:  read \t\r\nX-Tier: basic "
    "\r\nReq-Deadline:\t3 ",
    "absolute": "GET http://gw.local:70/read?key=1 HTTP/1.1\r\nReq-Id: a1\r\nReq-Kind: read\r\nX-Tier: basic"
    "\r\nReq-Deadline: 3",
    "offer": "GET /read?key=1 HTTP/1.1\r\nUpgrade: h2c\r\nConnection: Upgrade\r\nReq-Id: a1\r\nReq-Kind: read"
    "\r\nX-Tier: basic\r\nReq-Deadline: 3",
    "empty lines first": "\r\n\r\nGET /read?key=1 HTTP/1.1\r\nReq-Id: a1\r\nReq-Kind: read\r\nX-Tier: basic"
    "\r\nReq-Deadline: 3",
}


@pytest.mark.parametrize("name", ODD)
@pytest.mark.parametrize("cut", [1, 7, 1000])
def test_every_form_of_a_request_is_read_however_it_is_cut(name: str, cut: int) -> None:
    player = started()
    player.step("open c1")
    raw = ODD[name].encode() + b"\r\n\r\n"
    for place in range(0, len(raw), cut):
        player.links["c1"].connection.data_received(raw[place : place + cut])
        wait(player, 0.001)
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < GET /read?key=1 HTTP/1.1\\r\\nHost: backend.local\\r\\nReq-Id: a1\\r\\nReq-Deadline: *")
    player.step("t1 > HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
    player.step("c1 < HTTP/1.1 200 *hi")


def test_a_head_may_take_two_seconds_and_a_body_comes_slowly() -> None:
    player = started()
    player.step("open c1")
    for piece in (
        "POST /read?key=1 HTTP/1.1\\r\\n",
        "Req-Id: a1\\r\\nReq-Kind: read\\r\\n",
        "X-Tier: basic\\r\\n",
    ):
        player.step(f"c1 > {piece}")
        wait(player, 0.7)
    player.step("c1 > Req-Deadline: 3\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n")
    for _ in range(20):
        player.step("c1 > 1\\r\\nz\\r\\n")
        wait(player, 1.0)
    player.step("c1 > 0\\r\\nReq-Id: other\\r\\n\\r\\n")
    player.step("dial t1 127.0.0.9:1")
    player.step(f"t1 < POST /read?key=1 *Req-Id: a1\\r\\n*{'z' * 20}")


POST = f"POST /read?key=1 HTTP/1.1\\r\\nReq-Id: a1\\r\\nReq-Kind: read\\r\\n{TIER}Req-Deadline: 3\\r\\n"


def uploading(length: str) -> Player:
    player = started()
    player.step("open c1")
    player.step(f"c1 > {POST}{length}\\r\\n\\r\\n")
    return player


def give(player: Player, data: bytes) -> None:
    player.links["c1"].connection.data_received(data)
    player.settle()


@pytest.mark.parametrize("chunked", [False, True])
def test_a_large_body_goes_on_as_it_comes_and_its_time_counts_from_the_last_byte(chunked: bool) -> None:
    player = uploading("Transfer-Encoding: chunked" if chunked else f"Content-Length: {30 * PIECE}")
    client = player.links["c1"].connection
    passed = 0
    for number in range(30):
        give(player, (b"10000\r\n%b\r\n" if chunked else b"%b") % (b"z" * PIECE))
        if number == 2:
            assert player.links["c1"].paused  # nobody takes it yet, and no more than a piece or two is held
            player.step("dial t1 127.0.0.9:1")
            assert not player.links["c1"].paused
        if number >= 2:
            passed += written(player, "t1").count(b"z")
        assert sum(map(len, client.parts)) <= PIECE
        if number >= 2:
            wait(player, 1.0)
    assert passed == 30 * PIECE and player.node.listener.requests_in_flight == 1
    if chunked:
        give(player, b"0\r\n\r\n")
        assert written(player, "t1") == b"0\r\n\r\n"
    player.step("stats forwards.whole=1 flows.overdue=0")
    player.step("t1 > HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
    player.step("c1 < HTTP/1.1 200 *hi")
    player.step("stats answered.read=1 forwards.ok=1")


def test_a_request_with_a_large_body_times_out_after_its_last_byte() -> None:
    player = uploading(f"Content-Length: {2 * PIECE}")
    give(player, b"z" * (PIECE + 1))
    player.step("dial t1 127.0.0.9:1")
    wait(player, 2.5)
    assert not player.links["t1"].ended
    give(player, b"z" * (PIECE - 1))
    wait(player, 3.0)
    written(player, "t1")
    player.step("t1 closed cancelled")
    player.step("c1 < HTTP/1.1 429 *")


def test_a_target_that_takes_nothing_holds_the_client_back() -> None:
    player = uploading(f"Content-Length: {9 * PIECE}")
    give(player, b"z" * (PIECE + 1))
    player.step("dial t1 127.0.0.9:1")
    player.links["t1"].connection.pause_writing()
    assert player.links["c1"].paused
    wait(player, 20.0)
    assert not player.links["c1"].ended
    player.links["t1"].connection.resume_writing()
    assert not player.links["c1"].paused
    # A client that does not go on is given up, and no target waits for it.
    wait(player, 6.0)
    player.step("c1 closed read_timeout")
    written(player, "t1")
    player.settle()
    player.step("t1 closed cancelled")
    assert not player.node.core.flows and not player.node.core.gateway.jobs


def test_a_body_that_has_gone_is_not_sent_again_and_the_answer_comes_at_once() -> None:
    player = uploading(f"Content-Length: {4 * PIECE}")
    give(player, b"z" * (PIECE + 1))
    player.step("dial t1 127.0.0.9:1")
    written(player, "t1")
    player.step("t1 > HTTP/1.1 503 X\\r\\nSrv-Declined: 1\\r\\nContent-Length: 0\\r\\n\\r\\n")
    player.step("t1 closed asked_close")
    player.step("c1 < HTTP/1.1 429 *")
    assert not player.dialled
    # The rest of the body is read and dropped, and the connection goes on.
    give(player, b"z" * (3 * PIECE - 1))
    player.step("c1 > GET /-/healthy HTTP/1.1\\r\\n\\r\\n")
    player.step("c1 < HTTP/1.1 200 *")


def test_a_client_that_leaves_within_a_body_leaves_nothing_behind() -> None:
    player = uploading("Transfer-Encoding: chunked")
    give(player, b"20000\r\n" + b"z" * 2 * PIECE)
    player.step("dial t1 127.0.0.9:1")
    written(player, "t1")
    player.step("c1 reset")
    player.step("t1 closed cancelled")
    other = uploading("Transfer-Encoding: chunked")
    give(other, b"20000\r\n" + b"z" * 2 * PIECE)
    other.step("dial t1 127.0.0.9:1")
    written(other, "t1")
    give(other, b"no chunk")
    other.step("c1 < HTTP/1.1 400 *")
    other.step("t1 closed cancelled")
    for each in (player, other):
        assert not each.node.core.flows and not each.node.core.gateway.jobs
