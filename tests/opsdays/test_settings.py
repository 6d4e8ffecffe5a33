"""Settings that change at SIGHUP: whole or not at all, and open requests keep their class."""

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


def ask(player: Player, name: str, ident: str, kind: str) -> None:
    player.step(f"open {name}")
    player.step(ASK.format(name=name, id=ident, kind=kind))


def changed(**allowed: Any) -> dict[str, Any]:
    """The file with a second class; ``allowed`` changes what is allowed."""
    file = configuration({})
    first = file["settings"]["Categories"][0]
    file["settings"]["Categories"].append(dict(first, Name="write", Repeat="unsafe"))
    file["settings"]["Allowed"] |= allowed
    return file


def hup(player: Player, text: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(text)
        player.node.load_config = lambda: reload({}, os.fspath(path))
        player.node.reload()
    player.settle()


def started() -> Player:
    player = Player({})
    player.step("dial w 127.0.0.2:2")
    return player


def test_a_class_is_added_and_its_requests_are_served() -> None:
    player = started()
    ask(player, "c1", "a1", "write")
    player.step("c1 < HTTP/1.1 400 *")
    hup(player, json.dumps(changed()))
    ask(player, "c2", "a2", "write")
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < GET /write?key=1 *")
    player.step("t1 > HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
    player.step("c2 < HTTP/1.1 200 *hi")
    player.step("stats conf.loaded=1 conf.invalid=0 answered.write=1")


def test_a_request_open_under_a_class_that_is_dropped_keeps_it() -> None:
    player = started()
    ask(player, "c1", "a1", "read")
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < GET /read?key=1 *")
    file = changed()
    del file["settings"]["Categories"][0]
    hup(player, json.dumps(file))
    # It was safe to repeat when it came, so that another attempt follows an error.
    player.step("t1 > HTTP/1.1 500 X\\r\\nContent-Length: 0\\r\\n\\r\\n")
    player.step("dial t2 127.0.0.9:1")
    player.step("t2 < GET /read?key=1 *")
    player.step("t2 > HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
    player.step("c1 < HTTP/1.1 200 *hi")
    ask(player, "c2", "a2", "read")
    player.step("c2 < HTTP/1.1 400 *unknown class*")
    player.step("stats answered.read=1 errors=0")


def test_the_effect_and_the_attempts_of_a_class_change() -> None:
    player = started()
    file = changed(TryLimit=1)
    hup(player, json.dumps(file))
    ask(player, "c1", "a1", "read")
    player.step("dial t1 127.0.0.9:1")
    player.step("t1 < GET /read?key=1 *")
    player.step("t1 > HTTP/1.1 500 X\\r\\nContent-Length: 0\\r\\n\\r\\n")
    player.step("c1 < HTTP/1.1 429 *")  # safe, and one attempt is all it has
    player.clock.advance(0.01)
    ask(player, "c2", "a2", "write")
    player.step("t1 < GET /write?key=1 *")
    player.step("t1 > HTTP/1.1 500 X\\r\\nContent-Length: 0\\r\\n\\r\\n")
    player.step("c2 < HTTP/1.1 502 *")
    assert not player.dialled


def broken() -> dict[str, str]:
    whole = json.dumps(changed())

    def edited(change: Any) -> str:
        file = changed()
        change(file, file["settings"], file["settings"]["Categories"][1])
        return json.dumps(file)

    texts = {
        "empty": "",
        "cut": whole[: len(whole) // 2],
        "no object": "[]",
        "no settings": edited(lambda f, s, c: f.pop("settings")),
        "no list of servers": edited(lambda f, s, c: f.pop("known")),
        "no zone": edited(lambda f, s, c: s.pop("Zone")),
        "no invariants": edited(lambda f, s, c: s.pop("Invariants")),
        "no figure of an invariant": edited(lambda f, s, c: s["Invariants"].pop("ColdNs")),
        "no attempts": edited(lambda f, s, c: s["Allowed"].pop("TryLimit")),
        "no classes": edited(lambda f, s, c: s.update(Categories=[])),
        "a class that stands twice": edited(lambda f, s, c: c.update(Name="read")),
    }
    for name in ("Name", "AimNs", "GiveUpNs", "Repeat"):
        texts[f"a class without {name}"] = edited(lambda f, s, c, name=name: c.pop(name))
    for value in (0, -1, "many", None, True, float("inf"), float("nan")):
        texts[f"a deadline of {value}"] = edited(lambda f, s, c, v=value: c.update(GiveUpNs=v))
        texts[f"attempts {value}"] = edited(lambda f, s, c, v=value: s["Allowed"].update(TryLimit=v))
    return texts


@pytest.mark.parametrize("case", broken())
def test_nothing_is_taken_from_a_broken_file(case: str) -> None:
    player = started()
    before = player.node.config, player.node.core.gateway.settings
    hup(player, broken()[case])
    assert (player.node.config, player.node.core.gateway.settings) == before, case
    player.step("stats conf.loaded=0 conf.invalid=1")
    ask(player, "c1", "a1", "write")
    player.step("c1 < HTTP/1.1 400 *")
