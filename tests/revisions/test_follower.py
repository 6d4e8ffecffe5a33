"""A gateway's rules follower against a fake member: corrupted answers, long documents, plan limits."""

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
from latchspoke.net.rules import RulesClient, boottime
from latchspoke.revisions.coordinator import RulesCoordinator
from latchspoke.revisions.documents import BLOCKED, PLAN_LIMITS
from latchspoke.revisions.machine import RulesMachine
from latchspoke.revisions.records import Content, FetchRules, PutRules, RulesQuestion, Terms

PLAN = api.PlanSettings("mala", rate=4.0, burst=8.0)
REQUEST_CLASS = api.ClassSettings("read", aim=1.0, give_up=3.0, repeat=api.Repeat.SAFE)
SETTINGS = api.Settings(0, 1, "a", (REQUEST_CLASS,), (PLAN,))


class FakeMember:
    """A member on a Unix socket with the real state machine; tests may corrupt its answers."""

    def __init__(self, path: Path, length: float = 0.6) -> None:
        self.path, self.terms = path, Terms(length, "refuse")
        self.machine = RulesMachine()
        self.coordinator = RulesCoordinator(self.machine, 0.02)
        self.coordinator.become_leader(-1e9)
        self.fetches: list[dict[str, Any]] = []
        self.corrupt: Callable[[Content], Content] = lambda content: content
        self.status = 200

    def put(self, name: str, **entries: Any) -> None:
        parent = self.machine.states[name].head
        put = {path.replace("_", "."): value for path, value in entries.items()}
        command = PutRules(name, parent, put, terms=self.terms)
        assert self.machine.apply(1, msgspec.msgpack.encode(command)) == ""
        assert self.machine.activate(name, parent + 1) == ""

    async def __aenter__(self) -> FakeMember:
        self.server = await asyncio.start_unix_server(self.serve_connection, str(self.path))
        return self

    async def __aexit__(self, *exc: object) -> None:
        self.server.close()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                size = int(next(line for line in head.split("\r\n") if "Content-Length" in line).split()[1])
                status, body = self.answer(head.split()[1], json.loads(await reader.readexactly(size)))
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def answer(self, path: str, request: Any) -> tuple[int, bytes]:
        if self.status != 200:
            return self.status, b"{}"
        if path == "/v1/rules/question":
            question = msgspec.convert(request, RulesQuestion)
            return 200, msgspec.json.encode(self.coordinator.answer(question, boottime(), boottime()))
        self.fetches.append(request)
        content = self.machine.content(msgspec.convert(request, FetchRules))
        return (404, b"{}") if content is None else (200, msgspec.json.encode(self.corrupt(content)))


class FollowerHarness:
    """A follower and the rules that it passed on."""

    def __init__(self, *members: Path) -> None:
        loop = asyncio.get_running_loop()
        self.received_rules: list[api.Rules] = []
        config = RulesConfig(tuple(map(str, members)))
        self.follower = RulesClient(
            loop, Clock(loop), "g1", SETTINGS, config, self.received_rules.append, lambda: None
        )
        self.follower.start()

    async def wait_for_label(self, label: str) -> None:
        async with asyncio.timeout(20):
            while self.follower.lease.label != label:
                await asyncio.sleep(0.005)


def run_with_member(
    tmp_path: Path, test: Callable[[FakeMember, FollowerHarness], Any], **member_options: Any
) -> None:
    async def run() -> None:
        async with FakeMember(tmp_path / "a.sock", **member_options) as member:
            harness = FollowerHarness(tmp_path / "none.sock", member.path)
            try:
                await test(member, harness)
            finally:
                harness.follower.stop()

    asyncio.run(run())


def test_requests_wait_for_the_first_lease_and_limits_change_together(tmp_path: Path) -> None:
    async def test(member: FakeMember, harness: FollowerHarness) -> None:
        assert "anybody" in harness.received_rules[0].blocked and not harness.follower.ready
        member.put(PLAN_LIMITS, mala_rate=2.5, mala_concurrency=3)
        member.put(BLOCKED, c1="by order")
        await harness.wait_for_label("aside:0,blocked:1,plans:1")
        latest_rules = harness.received_rules[-1]
        assert harness.follower.ready and (latest_rules.plans[0].rate, latest_rules.plans[0].burst) == (
            2.5,
            8.0,
        )
        assert (
            latest_rules.plans[0].concurrency == 3
            and "c1" in latest_rules.blocked
            and "c2" not in latest_rules.blocked
        )
        member.put(BLOCKED, c2="by order")
        await harness.wait_for_label("aside:0,blocked:2,plans:1")
        assert harness.received_rules[-1].plans[0] is latest_rules.plans[0], (
            "unchanged plans stay the same object"
        )
        member.put(PLAN_LIMITS, nobody_rate=1.0)
        await harness.wait_for_label("aside:0,blocked:2,plans:2")
        assert [plan.name for plan in harness.received_rules[-1].plans] == ["mala"]

    run_with_member(tmp_path, test)


def test_corrupted_content_is_fetched_again_by_parts(tmp_path: Path) -> None:
    async def test(member: FakeMember, harness: FollowerHarness) -> None:
        member.put(BLOCKED, c1="by order")
        await harness.wait_for_label("aside:0,blocked:1,plans:0")
        should_corrupt = iter([True])

        def corrupt(content: Content) -> Content:
            return msgspec.structs.replace(content, put={}) if next(should_corrupt, False) else content

        member.corrupt = corrupt
        member.put(BLOCKED, c2="by order")
        await harness.wait_for_label("aside:0,blocked:2,plans:0")
        assert "c1" in harness.received_rules[-1].blocked and "c2" in harness.received_rules[-1].blocked
        *_, first, second = member.fetches
        assert first["base"] == 1 and len(second["digests"]) == 256

    run_with_member(tmp_path, test)


def test_long_content_is_paged(tmp_path: Path) -> None:
    async def test(member: FakeMember, harness: FollowerHarness) -> None:
        member.put(BLOCKED, **{f"c{number}": "by order" for number in range(20_000)})
        await harness.wait_for_label("aside:0,blocked:1,plans:0")
        assert "c19999" in harness.received_rules[-1].blocked and len(member.fetches) >= 5

    run_with_member(tmp_path, test, length=3.0)


@pytest.mark.parametrize("status", [503, 200])
def test_failing_member_leads_to_the_lapse_policy(tmp_path: Path, status: int) -> None:
    async def test(member: FakeMember, harness: FollowerHarness) -> None:
        member.put(BLOCKED, c1="by order")
        await harness.wait_for_label("aside:0,blocked:1,plans:0")
        member.status = status
        if status == 200:
            member.answer = lambda path, request: (200, b'{"number": "x"}')  # type: ignore[method-assign]
        async with asyncio.timeout(20):
            while boottime() < harness.follower.lease_expires_at:
                await asyncio.sleep(0.01)
        harness.follower.expire_lease()
        assert (
            "blocked:1-refuse" in harness.follower.lease.label and "c2" in harness.received_rules[-1].blocked
        )

    run_with_member(tmp_path, test)


def test_agent_without_a_leader_is_replaced_by_another(tmp_path: Path) -> None:
    async def run() -> None:
        async with (
            FakeMember(tmp_path / "a.sock") as first_member,
            FakeMember(tmp_path / "b.sock") as second_member,
        ):
            first_member.status = 503
            second_member.put(BLOCKED, c1="by order")
            harness = FollowerHarness(first_member.path, second_member.path)
            await harness.wait_for_label("aside:0,blocked:1,plans:0")
            second_member.status, first_member.status = 503, 200
            first_member.put(BLOCKED, c1="by order")
            first_member.put(BLOCKED, c2="by order")
            await harness.wait_for_label("aside:0,blocked:2,plans:0")
            harness.follower.stop()

    asyncio.run(run())
