"""The agent's interface: HTTP with JSON, version 1, the schema in ``latchspoke.fleet.wire``.

Every answer that is no success is a ``Problem``. Who asks is known by the transport: the user at the
other end of the Unix socket, or the certificate on TCP. A viewer may look; only an operator may act, and
what is refused is recorded.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import pwd
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import aiohttp
import msgspec
import structlog
from aiohttp import web

from latchspoke.agent.health_checks import fetch_view
from latchspoke.agent.members import MemberDriver, MembersChange
from latchspoke.agent.store import StoreError
from latchspoke.agent.supervisor import RefusalError, Supervisor, claim_info
from latchspoke.duties import findings
from latchspoke.duties.machine import NAME as DUTIES
from latchspoke.duties.office import HOLDERS, Look, Refused, Reply, Shown, put_duty, put_rules, read_duties
from latchspoke.duties.records import Beat, Define, DutyState, Move, Remove
from latchspoke.fleet import wire
from latchspoke.revisions.machine import Summary
from latchspoke.revisions.records import NAME as RULES
from latchspoke.revisions.records import Content, FetchRules, Holders, PutRules, RulesQuestion

log = structlog.get_logger("agent.api")
T = TypeVar("T")

BODY_MOST = 4 * 1024 * 1024
WAIT_MOST = 30.0  # s that a question for news may be held
EVENTS_MOST = 1000
VIEWS_AT_ONCE = 32


@dataclass(frozen=True, slots=True)
class Caller:
    """Who asks; ``role`` is operator, viewer or '' for nobody that is known."""

    name: str
    role: str


def unix_caller(peer: socket.socket) -> Caller:
    """The socket's file lets only its owner in; root comes in anyway."""
    _, uid, _ = struct.unpack("3i", peer.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    try:
        name = pwd.getpwuid(uid).pw_name
    except KeyError:
        name = str(uid)
    return Caller(name, "operator" if uid in (0, os.geteuid()) else "")


class DutiesShown(msgspec.Struct, frozen=True):
    """The duties as they were at some moment after the question, with all up to ``index``."""

    index: int
    duties: dict[str, DutyState]


class RulesShown(msgspec.Struct, frozen=True):
    """The rules' documents without their contents."""

    index: int
    documents: dict[str, Summary]


Identify = Callable[[web.Request], Caller]


def by_socket(request: web.Request) -> Caller:
    transport = request.transport
    peer = transport.get_extra_info("socket") if transport is not None else None
    return unix_caller(peer) if peer is not None else Caller("?", "")


def answer(value: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=wire.encode(value), status=status, content_type="application/json",
        headers={wire.HEADER: str(wire.INTERFACE)},
    )  # fmt: skip


class Api:
    """The routes of one agent."""

    def __init__(
        self, supervisor: Supervisor, identify: Identify, members: MemberDriver | None = None
    ) -> None:
        self.supervisor, self.identify, self.members = supervisor, identify, members
        self.viewing = asyncio.Semaphore(VIEWS_AT_ONCE)

    def app(self) -> web.Application:
        app = web.Application(middlewares=[self.guard], client_max_size=BODY_MOST)
        app.add_routes(
            [
                web.get("/v1/instances", self.instances),
                web.get("/v1/views", self.views),
                web.get("/v1/events", self.events),
                web.get("/v1/operations", self.operations),
                web.get("/v1/operations/{id}", self.operation),
                web.put("/v1/operations/{id}", self.put_operation),
                web.post("/v1/operations/{id}/close", self.close_operation),
                web.post("/v1/claims", self.claim),
                web.post("/v1/claims/renew", self.renew),
                web.post("/v1/claims/release", self.release),
                web.post("/v1/steps", self.step),
                web.get("/v1/members", self.member),
                web.post("/v1/members", self.change_members),
                web.get("/v1/duties", self.duties),
                web.post("/v1/duties/commands", self.command),
                web.post("/v1/duties/beat", self.beat),
                web.get("/v1/findings", self.findings),
                web.get("/v1/rules", self.rules),
                web.get("/v1/rules/holders", self.holders),
                web.post("/v1/rules/commands", self.put_rules),
                web.post("/v1/rules/question", self.question),
                web.post("/v1/rules/content", self.content),
            ]
        )
        return app

    @web.middleware
    async def guard(
        self, request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        """Version, caller and role first; then every refusal as one kind of answer."""
        try:
            self.check_version(request)
            request["caller"] = caller = self.identify(request)
            if caller.role == "" or (request.method != "GET" and caller.role != "operator"):
                what = f"{request.method} {request.path}"
                self.supervisor.record("forbidden", operator=caller.name, detail=what)
                role = caller.role or "without a role"
                raise RefusalError(403, "forbidden", f"{caller.name} is {role} and may not {what}")
            return await handler(request)
        except RefusalError as e:
            info = claim_info(e.claim) if e.claim is not None else None
            return answer(wire.Problem(e.code, str(e), info), e.status)
        except StoreError as e:
            return answer(wire.Problem("store", str(e)), 503)
        except msgspec.MsgspecError as e:
            return answer(wire.Problem("bad-request", str(e)), 400)
        except web.HTTPException as e:
            return answer(wire.Problem("bad-request", e.reason or "?"), e.status)

    @staticmethod
    def check_version(request: web.Request) -> None:
        told = request.headers.get(wire.HEADER, "")
        if told != str(wire.INTERFACE):
            raise RefusalError(
                426, "interface", f"this agent speaks interface {wire.INTERFACE}, not {told or 'one unnamed'}"
            )

    async def read(self, request: web.Request, kind: type[T]) -> T:
        return wire.decode(kind, await request.read())

    def driver(self) -> MemberDriver:
        if self.members is None:
            raise RefusalError(404, "no-member", "this agent is no member")
        return self.members

    @staticmethod
    def known(reply: Reply) -> Reply:
        """What a majority stands behind; raises that nothing can be known here and now."""
        if isinstance(reply, Refused):
            code = "unknown" if reply.under_way else "no-leader"
            text = "it may have been done, or may yet be" if reply.under_way else "no leader is heard here"
            raise RefusalError(503, code, text)
        return reply

    async def look(self, look: Look) -> Shown:
        shown = self.known(await self.driver().ask(look=look))
        assert isinstance(shown, Shown)
        return shown

    async def member(self, request: web.Request) -> web.Response:
        return answer(self.driver().status())

    async def change_members(self, request: web.Request) -> web.Response:
        asked = await self.read(request, MembersChange)
        why = await self.driver().change(asked.add, asked.remove)
        if why:
            raise RefusalError(409, "not-changed", why)
        return answer(self.driver().status())

    async def duties(self, request: web.Request) -> web.Response:
        shown = await self.look(Look(DUTIES))
        return answer(DutiesShown(shown.index, read_duties(shown)))

    async def findings(self, request: web.Request) -> web.Response:
        shown = await self.look(Look(findings.NAME))
        return answer(msgspec.msgpack.decode(shown.body, type=findings.Findings))

    async def rules(self, request: web.Request) -> web.Response:
        shown = await self.look(Look(RULES))
        summaries: dict[str, Summary] = msgspec.msgpack.decode(shown.body, type=dict[str, Summary])
        return answer(RulesShown(shown.index, summaries))

    async def holders(self, request: web.Request) -> web.Response:
        """As the leader knows them."""
        shown = await self.look(Look(HOLDERS))
        return answer(msgspec.msgpack.decode(shown.body, type=Holders))

    async def put_rules(self, request: web.Request) -> web.Response:
        """``?ident=`` as with duties."""
        command = await self.read(request, PutRules)
        detail = f"{command.name} on {command.parent}: {command.reason}"
        self.supervisor.record("rules", operator=request["caller"].name, detail=detail)
        command = msgspec.structs.replace(command, author=request["caller"].name)
        put = put_rules(command, request.query.get("ident", ""))
        return answer(self.known(await self.driver().ask(put=put)))

    async def question(self, request: web.Request) -> web.Response:
        """A gateway's."""
        asked = await self.read(request, RulesQuestion)
        return answer(self.known(await self.driver().ask(question=asked)))

    async def content(self, request: web.Request) -> web.Response:
        """From what this member itself holds: its digest tells the asker whether it is right."""
        asked = await self.read(request, FetchRules)
        found: Content | None = self.driver().replica.rules.content(asked)
        if found is None:
            raise RefusalError(404, "no-content", f"{asked.name} {asked.version} is not here")
        return answer(found)

    async def command(self, request: web.Request) -> web.Response:
        """``?ident=`` is drawn by who asks: asked again under it, nothing is done twice."""
        command: Define | Remove | Move = wire.decode(Define | Remove | Move, await request.read())  # type: ignore[arg-type]
        self.supervisor.record("duty", operator=request["caller"].name, detail=str(command))
        put = put_duty(command, request.query.get("ident", ""))
        return answer(self.known(await self.driver().ask(put=put)))

    async def beat(self, request: web.Request) -> web.Response:
        return answer(self.known(await self.driver().ask(beat=await self.read(request, Beat))))

    async def instances(self, request: web.Request) -> web.Response:
        return answer(self.supervisor.listing())

    async def views(self, request: web.Request) -> web.Response:
        """The gateways' own views, asked for side by side; ``?name=`` may stand several times."""
        names = request.query.getall("name", None) or sorted(self.supervisor.runtimes)
        told = await asyncio.gather(*(self.view(name) for name in names))
        pairs = list(zip(names, told, strict=True))
        views = {name: view for name, view in pairs if not isinstance(view, str)}
        missing = {name: view for name, view in pairs if isinstance(view, str)}
        return answer(wire.ViewAnswer(views, missing))

    async def view(self, name: str) -> dict[str, Any] | str:
        runtime = self.supervisor.runtime(name)
        if not runtime.state.alive:
            return f"is {runtime.state.word(self.supervisor.clock(), runtime.limits)}"
        timeout = aiohttp.ClientTimeout(total=self.supervisor.config.checks.limit)
        async with self.viewing:
            return await fetch_view(str(self.supervisor.config.admin_path(name)), timeout)

    async def events(self, request: web.Request) -> web.Response:
        """Those after a revision; with ``wait`` held until there is one, or so many seconds."""
        try:
            after = int(request.query.get("after", "0"))
            wait = min(float(request.query.get("wait", "0")), WAIT_MOST)
        except ValueError:
            raise RefusalError(400, "bad-request", "after and wait are numbers") from None
        events_changed = self.supervisor.events_changed
        store = self.supervisor.require_operations_store()
        events = store.events(after, EVENTS_MOST)
        if not events and wait > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(events_changed.wait(), wait)
            events = store.events(after, EVENTS_MOST)
        revision = events[-1].revision if events else max(after, self.supervisor.revision)
        return answer(wire.Events(events, revision))

    async def operations(self, request: web.Request) -> web.Response:
        return answer(wire.Operations(self.supervisor.operations()))

    async def operation(self, request: web.Request) -> web.Response:
        return answer(self.supervisor.operation(request.match_info["id"]))

    async def put_operation(self, request: web.Request) -> web.Response:
        plan = await self.read(request, wire.OperationPlan)
        if plan.id != request.match_info["id"]:
            raise RefusalError(400, "bad-request", "the plan's id is not the address's")
        return answer(self.supervisor.put_operation(plan, request["caller"].name))

    async def close_operation(self, request: web.Request) -> web.Response:
        asked = await self.read(request, wire.CloseOperation)
        return answer(
            self.supervisor.close_operation(request.match_info["id"], asked, request["caller"].name)
        )

    async def claim(self, request: web.Request) -> web.Response:
        asked = await self.read(request, wire.ClaimRequest)
        made = self.supervisor.claim(asked, request["caller"].name)
        return answer(wire.Claimed([claim_info(claim) for claim in made]))

    async def renew(self, request: web.Request) -> web.Response:
        made = self.supervisor.renew(await self.read(request, wire.TokenRequest))
        return answer(wire.Claimed([claim_info(claim) for claim in made]))

    async def release(self, request: web.Request) -> web.Response:
        self.supervisor.release(await self.read(request, wire.TokenRequest))
        return answer(wire.Claimed([]))

    async def step(self, request: web.Request) -> web.Response:
        asked = await self.read(request, wire.StepRequest)
        return answer(self.supervisor.step(asked, request["caller"].name))
