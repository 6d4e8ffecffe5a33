"""Plays a recorded exchange of bytes against a program, without sockets and with a simulated clock.

An exchange is a text file with one step per line; ``#`` starts a comment, ``NAME`` is a connection:

    config KEY=VALUE ...     settings for this exchange, before all other steps
    let WORD TEXT            replaces $WORD by TEXT in the following steps
    open NAME                a client connects
    dial NAME ADDRESS        the program has started to connect; the connection is established
    dial NAME ADDRESS held   the same, but it is not established before the step ``up NAME``
    NAME > TEXT              these bytes arrive
    NAME unread              input has arrived that the event loop has not read yet
    NAME < TEXT              exactly these bytes have been written; ``*`` matches any text
    NAME eof | NAME reset    the peer closes or resets it; ``NAME refused``: connecting fails
    NAME closed CODE         the program has closed it with this code
    time SECONDS             the clock advances, and due timers fire
    count NAME AMOUNT        the core calls the counter
    hup KEY=ADDRESS ...      SIGHUP after these changes of the file; ``hup bad``: an invalid file
    term                     SIGTERM
    done                     the program has terminated
    stats KEY=VALUE ...      these counters have these values

At the end there must not be any output, dial or close that no step expects.
"""

from __future__ import annotations

import asyncio
import json
import re
import socket
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, cast

from latchspoke.config import Address, Config, ConfigError, parse_config
from latchspoke.net import clock, http, serve
from latchspoke.net.listener import ClientConnection
from tests.test_drill import OPTIONS

FOLDER = Path(__file__).parent / "exchanges"
START_TIME = 1_800_000_000.0


class FakeLoop:
    """An event loop with a settable time and a single timer."""

    def __init__(self) -> None:
        self.timers: list[tuple[float, Callable[[], None]]] = []
        self.now = START_TIME

    def call_later(self, delay: float, call: Callable[[], None]) -> FakeLoop:
        self.timers = [(self.now + delay, call)]  # the clock has one timer at a time
        return self

    def cancel(self) -> None:
        self.timers = []


class FakeClock(clock.Clock):
    loop: Any

    def __init__(self) -> None:
        super().__init__(cast(asyncio.AbstractEventLoop, FakeLoop()))

    def now(self) -> float:
        return float(self.loop.now)

    def advance(self, seconds: float) -> None:
        end = self.loop.now + seconds
        while self.loop.timers and self.loop.timers[0][0] <= end:
            when, call = self.loop.timers.pop()
            self.loop.now = max(when, self.loop.now)
            call()
        self.loop.now = end


class FakeTransport:
    """Records written bytes; ``ended`` once the program has closed it."""

    def __init__(self, connection: http.Connection) -> None:
        self.connection, self.written, self.ended, self.unsent = connection, b"", False, 0
        self.paused = False
        self.socket_pair: tuple[socket.socket, ...] = ()  # one with unread input, and its peer

    def write(self, data: bytes) -> None:
        assert not self.ended, "write after close"
        self.written += data

    def writelines(self, parts: Iterable[bytes]) -> None:
        self.write(b"".join(parts))

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def write_eof(self) -> None:
        pass

    def close(self) -> None:
        self.ended = True

    abort = close

    def is_closing(self) -> bool:
        return self.ended

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def get_extra_info(self, name: str) -> socket.socket | None:
        return self.socket_pair[0] if name == "socket" and self.socket_pair else None

    def hold_input(self) -> None:
        self.socket_pair = socket.socketpair()
        self.socket_pair[1].send(b"G")

    def deliver_input(self) -> None:
        for end in self.socket_pair:
            end.close()
        self.socket_pair = ()


class BasePlayer:
    """Steps that all programs have in common: connections, bytes and the clock."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.variables: dict[str, str] = {}
        self.dialled: list[tuple[http.Connection, Address]] = []
        self.transports: dict[str, FakeTransport] = {}
        self.expected_ends: set[str] = set()  # connections whose end a step expects

    def ended(self) -> bool:
        """Whether the program has ended."""
        raise NotImplementedError

    def dial(self, connection: http.Connection, address: Address) -> Callable[[], object]:
        """Implements ``Dialer.dial``."""
        self.dialled.append((connection, address))
        return lambda: connection.dial_failed("unreachable")

    def up(self, name: str) -> None:
        transport = self.transports[name]
        transport.connection.connection_made(cast(asyncio.Transport, transport))
        self.report_closed()

    def report_closed(self) -> None:
        """Report closed connections, which transports do only after the call that closed them."""
        for transport in list(self.transports.values()):
            if transport.ended and not transport.connection.lost:
                transport.connection.connection_lost(None)

    def step(self, line: str) -> None:
        for variable, text in self.variables.items():
            line = line.replace(f"${variable}", text)
        head, _, rest = line.partition(" ")
        match head:
            case "let":
                variable, _, text = rest.partition(" ")
                self.variables[variable] = text
            case "open":
                self.transports[rest] = FakeTransport(self.client())
                self.up(rest)
            case "dial":
                self.expect_dial(*rest.split())
            case "up":
                self.up(rest)
            case "time":
                self.clock.advance(float(rest))
            case "done":
                assert self.ended(), "the program has not ended"
            case "stats":
                expected, stats = dict(item.split("=") for item in rest.split()), self.stats()
                assert expected == {key: str(stats[key]) for key in expected}, stats
            case _:
                if not self.program_step(head, rest):
                    self.bytes(head, *rest.split(" ", 1))
        self.report_closed()

    def client(self) -> http.Connection:
        """Return a new client connection of the program."""
        raise NotImplementedError

    def stats(self) -> Counter[str]:
        raise NotImplementedError

    def program_step(self, head: str, rest: str) -> bool:
        """Run a step that is specific to a program; False if there is no such step."""
        raise NotImplementedError

    def expect_dial(self, name: str, address: str, held: str = "") -> None:
        assert self.dialled, "nothing was dialled"
        connection, (host, port) = self.dialled.pop(0)
        assert f"{host}:{port}" == address, f"dialled {host}:{port}"
        self.transports[name] = FakeTransport(connection)
        if not held:
            self.up(name)

    def bytes(self, name: str, verb: str, text: str = "") -> None:
        transport = self.transports[name]
        raw = text.encode().decode("unicode_escape").encode("latin-1")
        match verb:
            case "unread":
                transport.hold_input()
            case ">":
                transport.deliver_input()
                transport.connection.data_received(raw)
            case "<":
                pattern = b".*".join(re.escape(part) for part in raw.split(b"*"))
                assert re.fullmatch(pattern, transport.written, re.S), (
                    f"{name}: unexpected output {transport.written!r}"
                )
                transport.written = b""
            case "eof" | "reset":
                self.expected_ends.add(name)
                if verb == "eof":
                    transport.connection.eof_received()
                transport.connection.connection_lost(None if verb == "eof" else ConnectionResetError())
            case "refused":
                self.expected_ends.add(name)
                transport.connection.dial_failed("unreachable")
            case "closed":
                self.expected_ends.add(name)
                code = transport.connection.close_code
                assert transport.connection.lost and code == text, f"{name} has ended: {code!r}"
            case _:
                raise AssertionError(f"no such step: {verb}")

    def check_end(self) -> None:
        assert not self.dialled, f"unexpected dial: {self.dialled[0][1]}"
        for name, transport in self.transports.items():
            assert not transport.written, f"{name}: unexpected output {transport.written!r}"
            assert name in self.expected_ends or not transport.connection.lost, (
                f"{name}: {transport.connection.close_code}"
            )


class Player(BasePlayer):
    def __init__(self, changes: dict[str, Any]) -> None:
        super().__init__()
        self.changes, self.done = changes, False
        self.node = serve.Node(parse_config(configuration(changes), {}), self.clock, cast(http.Dialer, self))
        self.node.on_done = self.finished
        self.node.start()

    def finished(self) -> None:
        self.done = True

    def ended(self) -> bool:
        return self.done

    def client(self) -> http.Connection:
        return ClientConnection(self.node.listener)

    def stats(self) -> Counter[str]:
        return self.node.stats

    def program_step(self, head: str, rest: str) -> bool:
        match head:
            case "count":
                name, amount = rest.split()
                self.node.counter.add(int(name), float(amount), 10.0)
            case "hup":
                self.hup(rest)
            case "term":
                self.node.stop()
            case _:
                return False
        return True

    def hup(self, text: str) -> None:
        expected = dict(item.partition("=")[::2] for item in text.split())

        def load_config() -> Config:
            if text == "bad":
                raise ConfigError("not JSON")
            return parse_config(configuration(self.changes) | expected, {})

        self.node.load_config = load_config
        self.node.reload()


CLASS_VALUES = {"AimNs": 10**9, "GiveUpNs": 3 * 10**9, "Worth": 3.0, "LateWorth": 0.2}
# In addition to the class that is safe to repeat: a keyed one with a window of 4 s, and an unsafe one.
KEYED_AND_ONCE: list[dict[str, Any]] = [
    CLASS_VALUES | {"Name": "keyed", "Repeat": "keyed", "Group": "cell", "RepeatWindowNs": 4 * 10**9},
    CLASS_VALUES | {"Name": "once", "Repeat": "unsafe"},
]


def configuration(changes: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration with one target, a plan that refuses nothing, and no counter.

    ``changes`` override this; with ``racks`` there is one target per rack, and classes of all three kinds.
    """
    options = json.loads(json.dumps(OPTIONS))
    options["Allowed"] |= {"RetryAfter": True, "MaxRetryAfterNs": 2 * 10**9}
    options["Tariffs"] = [{"Name": "basic", "Refill": 100.0, "MostAtOnce": changes.get("burst", 100.0)}]
    options["Categories"][0]["LateWorth"] = 0.2
    options["Domain"]["SharedCounter"] = bool(changes.get("counter"))
    entry: dict[str, Any] = {"instanceId": "s1", "hostPort": "127.0.0.9:1", "lifecycle": "in_service"}
    instances = [entry] * changes.get("targets", 1)
    if changes.get("racks"):
        options["Categories"] += KEYED_AND_ONCE
        instances = [
            entry | {"instanceId": f"s{rack}", "hostPort": f"127.0.0.9:{rack}", "cell": rack}
            for rack in range(1, changes["racks"] + 1)
        ]
    return {
        "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.2:2", "counter": "127.0.0.3:3",
        "seed": "7", "limits": {"sockets": changes.get("sockets", 1024)}, "settings": options,
        "known": {"generation": 41, "reset": True, "instances": instances},
    }  # fmt: skip


def steps(path: Path) -> list[str]:
    return [line for line in path.read_text().splitlines() if line and not line.startswith("#")]


def play_steps(stage: BasePlayer, name: str, lines: list[str]) -> None:
    for line in lines:
        try:
            stage.step(line)
        except AssertionError as e:
            raise AssertionError(f"{name}: {line}\n{e}") from e
    stage.check_end()


def play(path: Path) -> None:
    lines = steps(path)
    changes: dict[str, Any] = {}
    if lines[0].startswith("config "):
        changes = {k: float(v) for k, _, v in (item.partition("=") for item in lines.pop(0).split()[1:])}
        changes = {k: int(v) if v.is_integer() else v for k, v in changes.items()}
    play_steps(Player(changes), path.name, lines)
