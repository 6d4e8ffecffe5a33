"""Settings change at SIGHUP completely or not at all, and requests in flight keep their class."""

from __future__ import annotations

import json
import os
import tempfile
from pathlib import Path
from typing import Any

import pytest

from latchspoke.config import reload
from tests.player import Player, configuration

HEAD = "Req-Id: {id}\\r\\nReq-Kind: {kind}\\r\\nX-Tier: basic\\r\\nReq-Deadline: 3\\r\\n"
ASK = "{name} > GET /{kind}?key=1 HTTP/1.1\\r\\n" + HEAD + "\\r\\n"


def send_request(player: Player, name: str, ident: str, kind: str) -> None:
    player.step(f"open {name}")
    player.step(ASK.format(name=name, id=ident, kind=kind))


def changed_config(**allowed: Any) -> dict[str, Any]:
    """Return the configuration with a second class; ``allowed`` updates the section "Allowed"."""
    file = configuration({})
    first = file["settings"]["Categories"][0]
    file["settings"]["Categories"].append(dict(first, Name="write", Repeat="unsafe"))
    file["settings"]["Allowed"] |= allowed
    return file


def reload_with(player: Player, text: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(text)
        player.node.load_config = lambda: reload({}, os.fspath(path))
        player.node.reload()
    player.report_closed()


def start_gateway() -> Player:
    player = Player({})
    player.step("dial w 127.0.0.2:2")
    return player


def test_added_class_is_served() -> None:
    player = start_gateway()
    send_request(player, "c1", "a1", "write")
    player.step("c1 < HTTP/1.1 400 *")
    reload_with(player, json.dumps(changed_config()))
    send_request(player, "c2", "a2", "write")
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < GET /write?key=1 *")
    player.step("t1 > HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
    player.step("c2 < HTTP/1.1 200 *hi")
    player.step("stats conf.loaded=1 conf.invalid=0 answered.write=1")


def test_request_in_flight_keeps_its_removed_class() -> None:
    player = start_gateway()
    send_request(player, "c1", "a1", "read")
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < GET /read?key=1 *")
    file = changed_config()
    del file["settings"]["Categories"][0]
    reload_with(player, json.dumps(file))
    # Its class was safe to repeat when the request arrived, so the error is retried.
    player.step("t1 > HTTP/1.1 500 X\\r\\nContent-Length: 0\\r\\n\\r\\n")
    player.step("dial t2 127.0.0.9:1")
    player.step("t2 < GET /read?key=1 *")
    player.step("t2 > HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
    player.step("c1 < HTTP/1.1 200 *hi")
    send_request(player, "c2", "a2", "read")
    player.step("c2 < HTTP/1.1 400 *unknown class*")
    player.step("stats answered.read=1 errors=0")


def test_repeat_mode_and_attempt_limit_change() -> None:
    player = start_gateway()
    file = changed_config(TryLimit=1)
    reload_with(player, json.dumps(file))
    send_request(player, "c1", "a1", "read")
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < GET /read?key=1 *")
    player.step("t1 > HTTP/1.1 500 X\\r\\nContent-Length: 0\\r\\n\\r\\n")
    player.step("c1 < HTTP/1.1 429 *")  # safe to repeat, but limited to one attempt
    player.clock.advance(0.01)
    send_request(player, "c2", "a2", "write")
    player.step("t1 < GET /write?key=1 *")
    player.step("t1 > HTTP/1.1 500 X\\r\\nContent-Length: 0\\r\\n\\r\\n")
    player.step("c2 < HTTP/1.1 502 *")
    assert not player.dialled


def broken_configs() -> dict[str, str]:
    valid_text = json.dumps(changed_config())

    def edited(change: Any) -> str:
        file = changed_config()
        change(file, file["settings"], file["settings"]["Categories"][1])
        return json.dumps(file)

    texts = {
        "empty": "",
        "truncated": valid_text[: len(valid_text) // 2],
        "not an object": "[]",
        "no settings": edited(lambda f, s, c: f.pop("settings")),
        "no list of servers": edited(lambda f, s, c: f.pop("known")),
        "no zone": edited(lambda f, s, c: s.pop("Zone")),
        "no invariants": edited(lambda f, s, c: s.pop("Invariants")),
        "no value of an invariant": edited(lambda f, s, c: s["Invariants"].pop("ColdNs")),
        "no attempts": edited(lambda f, s, c: s["Allowed"].pop("TryLimit")),
        "no classes": edited(lambda f, s, c: s.update(Categories=[])),
        "a duplicate class": edited(lambda f, s, c: c.update(Name="read")),
    }
    for name in ("Name", "AimNs", "GiveUpNs", "Repeat"):
        texts[f"a class without {name}"] = edited(lambda f, s, c, name=name: c.pop(name))
    for value in (0, -1, "many", None, True, float("inf"), float("nan")):
        texts[f"a deadline of {value}"] = edited(lambda f, s, c, v=value: c.update(GiveUpNs=v))
        texts[f"attempts {value}"] = edited(lambda f, s, c, v=value: s["Allowed"].update(TryLimit=v))
    return texts


@pytest.mark.parametrize("case", broken_configs())
def test_invalid_file_changes_nothing(case: str) -> None:
    player = start_gateway()
    before = player.node.config, player.node.core.gateway.settings
    reload_with(player, broken_configs()[case])
    assert (player.node.config, player.node.core.gateway.settings) == before, case
    player.step("stats conf.loaded=0 conf.invalid=1")
    send_request(player, "c1", "a1", "write")
    player.step("c1 < HTTP/1.1 400 *")
