"""A gateway's follower against a member played by hand: damage on the way, nonsense, long lists, figures."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from barleyhub import interface as api
from latchspoke.config import RulesConfig
from latchspoke.net.clock import Clock
from latchspoke.net.rules import Follower, boottime
from latchspoke.revisions.coordinator import RulesCoordinator
from latchspoke.revisions.documents import BLOCKED, PLAN_LIMITS
from latchspoke.revisions.machine import RulesMachine
from latchspoke.revisions.records import Content, FetchRules, PutRules, RulesQuestion, Terms

PLAN = api.PlanSettings("mala", rate=4.0, burst=8.0)
KIND = api.ClassSettings("read", aim=1.0, give_up=3.0, repeat=api.Repeat.SAFE)
SETTINGS = api.Settings(0, 1, "a", (KIND,), (PLAN,))


class Played:
    """A member on a Unix socket: a real machine and desk, whose answers a test may spoil."""

    def __init__(self, path: Path, length: float = 0.6) -> None:
        self.path, self.terms = path, Terms(length, "refuse")
        self.machine = RulesMachine()
        self.desk = RulesCoordinator(self.machine, 0.02)
        self.desk.become_leader(-1e9)
        self.asked: list[dict[str, Any]] = []
        self.spoil: Callable[[Content], Content] = lambda content: content
        self.status = 200

    def put(self, name: str, **entries: Any) -> None:
        parent = self.machine.states[name].head
        put = {path.replace("_", "."): value for path, value in entries.items()}
        command = PutRules(name, parent, put, terms=self.terms)
        assert self.machine.apply(1, msgspec.msgpack.encode(command)) == ""
        assert self.machine.activate(name, parent + 1) == ""

    async def __aenter__(self) -> Played:
        self.server = await asyncio.start_unix_server(self.talk, str(self.path))
        return self

    async def __aexit__(self, *exc: object) -> None:
        self.server.close()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                size = int(next(line for line in head.split("\r\n") if "Content-Length" in line).split()[1])
                status, body = self.answer(head.split()[1], json.loads(await reader.readexactly(size)))
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def answer(self, path: str, asked: Any) -> tuple[int, bytes]:
        if self.status != 200:
            return self.status, b"{}"
        if path == "/v1/rules/question":
            question = msgspec.convert(asked, RulesQuestion)
            return 200, msgspec.json.encode(self.desk.answer(question, boottime(), boottime()))
        self.asked.append(asked)
        content = self.machine.content(msgspec.convert(asked, FetchRules))
        return (404, b"{}") if content is None else (200, msgspec.json.encode(self.spoil(content)))


class Gate:
    """The follower, and what it gave to the module."""

    def __init__(self, *members: Path) -> None:
        loop = asyncio.get_running_loop()
        self.given: list[api.Rules] = []
        told = RulesConfig(tuple(map(str, members)))
        self.follower = Follower(loop, Clock(loop), "g1", SETTINGS, told, self.given.append, lambda: None)
        self.follower.start()

    async def acts(self, label: str) -> None:
        async with asyncio.timeout(20):
            while self.follower.lease.label != label:
                await asyncio.sleep(0.005)


def play(tmp_path: Path, test: Callable[[Played, Gate], Any], **more: Any) -> None:
    async def run() -> None:
        async with Played(tmp_path / "a.sock", **more) as member:
            gate = Gate(tmp_path / "none.sock", member.path)
            try:
                await test(member, gate)
            finally:
                gate.follower.stop()

    asyncio.run(run())


def test_nothing_is_let_through_before_the_first_right_and_figures_come_in_one_step(tmp_path: Path) -> None:
    async def test(member: Played, gate: Gate) -> None:
        assert "anybody" in gate.given[0].blocked and not gate.follower.ready
        member.put(PLAN_LIMITS, mala_rate=2.5, mala_concurrency=3)
        member.put(BLOCKED, c1="by order")
        await gate.acts("aside:0,blocked:1,plans:1")
        last = gate.given[-1]
        assert gate.follower.ready and (last.plans[0].rate, last.plans[0].burst) == (2.5, 8.0)
        assert last.plans[0].concurrency == 3 and "c1" in last.blocked and "c2" not in last.blocked
        member.put(BLOCKED, c2="by order")
        await gate.acts("aside:0,blocked:2,plans:1")
        assert gate.given[-1].plans[0] is last.plans[0], "what is as before stays the same object"
        member.put(PLAN_LIMITS, nobody_rate=1.0)
        await gate.acts("aside:0,blocked:2,plans:2")
        assert [plan.name for plan in gate.given[-1].plans] == ["mala"]

    play(tmp_path, test)


def test_damage_on_the_way_is_refused_and_asked_for_again_by_parts(tmp_path: Path) -> None:
    async def test(member: Played, gate: Gate) -> None:
        member.put(BLOCKED, c1="by order")
        await gate.acts("aside:0,blocked:1,plans:0")
        spoilt = iter([True])

        def spoil(content: Content) -> Content:
            return msgspec.structs.replace(content, put={}) if next(spoilt, False) else content

        member.spoil = spoil
        member.put(BLOCKED, c2="by order")
        await gate.acts("aside:0,blocked:2,plans:0")
        assert "c1" in gate.given[-1].blocked and "c2" in gate.given[-1].blocked
        *_, first, second = member.asked
        assert first["base"] == 1 and len(second["digests"]) == 256

    play(tmp_path, test)


def test_a_long_list_comes_in_pieces(tmp_path: Path) -> None:
    async def test(member: Played, gate: Gate) -> None:
        member.put(BLOCKED, **{f"c{n}": "by order" for n in range(20_000)})
        await gate.acts("aside:0,blocked:1,plans:0")
        assert "c19999" in gate.given[-1].blocked and len(member.asked) >= 5

    play(tmp_path, test, length=3.0)


@pytest.mark.parametrize("status", [503, 200])
def test_a_member_that_refuses_or_talks_nonsense_leaves_the_document_to_its_choice(
    tmp_path: Path, status: int
) -> None:
    async def test(member: Played, gate: Gate) -> None:
        member.put(BLOCKED, c1="by order")
        await gate.acts("aside:0,blocked:1,plans:0")
        member.status = status
        if status == 200:
            member.answer = lambda path, asked: (200, b'{"number": "x"}')  # type: ignore[method-assign]
        async with asyncio.timeout(20):
            while boottime() < gate.follower.lease_expires_at:
                await asyncio.sleep(0.01)
        gate.follower.expire_lease()
        assert "blocked:1-refuse" in gate.follower.lease.label and "c2" in gate.given[-1].blocked

    play(tmp_path, test)


def test_an_agent_that_answers_but_hears_no_leader_is_left_for_another(tmp_path: Path) -> None:
    async def run() -> None:
        async with Played(tmp_path / "a.sock") as one, Played(tmp_path / "b.sock") as two:
            one.status = 503
            two.put(BLOCKED, c1="by order")
            gate = Gate(one.path, two.path)
            await gate.acts("aside:0,blocked:1,plans:0")
            two.status, one.status = 503, 200
            one.put(BLOCKED, c1="by order")
            one.put(BLOCKED, c2="by order")
            await gate.acts("aside:0,blocked:2,plans:0")
            gate.follower.stop()

    asyncio.run(run())
