"""The view of the gateway's state, and its Unix socket on a real event loop."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import stat
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from latchspoke.config import ConfigError, parse_config
from latchspoke.net import admin
from latchspoke.net.view import digest, gateway_view
from tests.player import Player, configuration


def view_of(player: Player, **file: Any) -> dict[str, Any]:
    return gateway_view(player.node, lambda: parse_config(configuration({}) | file, {}))


def test_view_contains_settings_targets_and_load() -> None:
    player = Player({})
    player.step("dial d 127.0.0.2:2")
    view = view_of(player)
    assert view["settings"]["plans"]["basic"]["rate"] == 100.0
    assert view["discovery"] == {
        "address": "127.0.0.2:2", "generation": 41, "told_ago": None, "connected": True
    }  # fmt: skip
    assert view["targets"]["s1"]["state"] == "active"
    assert view["file"]["taken_up"] and view["file"]["digest"] == view["settings"]["digest"]
    assert json.loads(json.dumps(view)) == view


def test_view_shows_a_file_that_was_not_reloaded() -> None:
    player = Player({})
    player.step("dial d 127.0.0.2:2")
    changed = configuration({"burst": 50.0})
    view = view_of(player, settings=changed["settings"])
    assert not view["file"]["taken_up"] and view["file"]["digest"] != view["settings"]["digest"]
    assert not view_of(player, discovery="127.0.0.8:8")["file"]["taken_up"]


def test_view_shows_a_reloaded_address() -> None:
    player = Player({})
    player.step("dial d 127.0.0.2:2")
    player.step("hup discovery=127.0.0.8:8")
    assert view_of(player, discovery="127.0.0.8:8")["file"]["taken_up"]


def test_view_shows_an_invalid_file() -> None:
    player = Player({})

    def broken() -> Any:
        raise ConfigError("f is not JSON")

    view = gateway_view(player.node, broken)["file"]
    assert view == {"error": "f is not JSON", "taken_up": False}


def test_view_shows_drain_progress() -> None:
    player = Player({})
    assert view_of(player)["drain"]["asked"] is False
    player.node.stop()
    player.clock.advance(0.2)
    drain = view_of(player)["drain"]
    assert (drain["asked"], drain["since"], drain["clients_busy"]) == (True, 0.2, 0)


def test_settings_digest_excludes_the_gateway_index() -> None:
    # The index differs between the gateways of a fleet, whose digests are compared.
    first, second = Player({}), Player({})
    settings = dict(configuration({})["settings"], Index=1)
    other = parse_config(configuration({}) | {"settings": settings}, {})
    second.node.config = other
    assert view_of(first)["settings"]["digest"] == view_of(second)["settings"]["digest"]
    assert digest({"b": 1, "a": 2}) == digest({"a": 2, "b": 1})


def with_socket(path: Path, client: Callable[[str], bytes], calls: list[int] | None = None) -> bytes:
    """Serve the view at this path while ``client`` runs in a thread."""
    calls = calls if calls is not None else []

    def view() -> dict[str, str]:
        calls.append(1)
        return {"name": "n0"}

    async def run() -> bytes:
        loop = asyncio.get_running_loop()
        admin_server = admin.AdminServer(loop, str(path), view)
        await admin_server.start()
        try:
            return await asyncio.wait_for(loop.run_in_executor(None, client, str(path)), 10)
        finally:
            admin_server.stop()

    return asyncio.run(run())


def exchange(*parts: bytes, until: bytes = b"}") -> Callable[[str], bytes]:
    def client(path: str) -> bytes:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(5)
            sock.connect(path)
            for part in parts:
                sock.sendall(part)
            response = b""
            while not response.endswith(until) and (data := sock.recv(65536)):
                response += data
            return response

    return client


GET = b"GET /v1/view HTTP/1.1\r\nHost: admin\r\n\r\n"


def test_request_in_two_segments_is_answered(tmp_path: Path) -> None:
    response = with_socket(tmp_path / "s", exchange(GET[:9], GET[9:]))
    assert response.startswith(b"HTTP/1.1 200 OK") and response.endswith(b'{"name":"n0"}')


@pytest.mark.parametrize(
    ("payload", "status"),
    [
        (b"GET /v2 HTTP/1.1\r\nHost: a\r\n\r\n", b"404"),
        (b"POST /v1/view HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", b"405"),
        (b"what\r\n\r\n", b"400"),
        (b"GET /" + b"x" * 5000, b"400"),
    ],
)
def test_other_requests_are_rejected(tmp_path: Path, payload: bytes, status: bytes) -> None:
    calls: list[int] = []
    assert with_socket(tmp_path / "s", exchange(payload), calls).split()[1] == status
    assert not calls


def test_socket_is_private_and_removed_on_stop(tmp_path: Path) -> None:
    modes: list[int] = []

    def check_mode(path: str) -> bytes:
        modes.append(stat.S_IMODE(os.stat(path).st_mode))
        return exchange(GET)(path)

    with_socket(tmp_path / "s", check_mode)
    assert modes == [0o600] and not (tmp_path / "s").exists()


def test_only_stale_sockets_are_replaced(tmp_path: Path) -> None:
    path = str(tmp_path / "s")
    dead = socket.socket(socket.AF_UNIX)
    dead.bind(path)
    dead.close()
    live = admin.bind_unix_socket(path)
    with pytest.raises(OSError, match="another process listens"):
        admin.bind_unix_socket(path)
    live.close()
    (tmp_path / "file").write_text("not ours")
    with pytest.raises(OSError, match="no socket"):
        admin.bind_unix_socket(str(tmp_path / "file"))
    assert (tmp_path / "file").read_text() == "not ours"


def test_oldest_connection_is_closed_above_the_limit(tmp_path: Path) -> None:
    def open_many(path: str) -> bytes:
        open_sockets = [socket.socket(socket.AF_UNIX) for _ in range(admin.AdminServer.max_connections)]
        for sock in open_sockets:
            sock.connect(path)
            sock.sendall(GET)
            sock.recv(4096)
        with socket.socket(socket.AF_UNIX) as new_socket:
            new_socket.settimeout(5)
            new_socket.connect(path)
            new_socket.sendall(GET)
            assert new_socket.recv(4096).startswith(b"HTTP/1.1 200")
        try:
            response = open_sockets[0].recv(1)
        except ConnectionResetError:
            response = b""
        for sock in open_sockets:
            sock.close()
        return response

    assert with_socket(tmp_path / "s", open_many) == b""
