"""The agent's HTTP interface: JSON, version 1, with the schema in ``latchspoke.fleet.wire``.

Every error response is a ``Problem``. The caller is identified by the transport: the user of a Unix socket,
or the client certificate on TCP. A viewer may read, only an operator may change anything, and refused
requests are recorded as events.
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
from latchspoke.duties.member_service import (
    RULES_HOLDERS,
    Query,
    QueryResult,
    Rejected,
    Reply,
    decode_duties,
    duty_command,
    rules_command,
)
from latchspoke.duties.records import Define, DutyState, Heartbeat, Move, Remove
from latchspoke.fleet import wire
from latchspoke.revisions.machine import Summary
from latchspoke.revisions.records import NAME as RULES
from latchspoke.revisions.records import Content, FetchRules, GatewayLeases, PutRules, RulesQuestion

log = structlog.get_logger("agent.api")
T = TypeVar("T")

BODY_MAX_BYTES = 4 * 1024 * 1024
EVENTS_WAIT_MAX_S = 30.0  # longest long poll for new events
EVENTS_MAX = 1000
VIEWS_MAX_CONCURRENT = 32


@dataclass(frozen=True, slots=True)
class Caller:
    """The caller of a request; ``role`` is operator, viewer, or '' if unknown."""

    name: str
    role: str


def unix_caller(peer: socket.socket) -> Caller:
    """Identify the user at the other end of a Unix socket; the agent's own user and root are operators."""
    _, uid, _ = struct.unpack("3i", peer.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    try:
        name = pwd.getpwuid(uid).pw_name
    except KeyError:
        name = str(uid)
    return Caller(name, "operator" if uid in (0, os.geteuid()) else "")


class DutiesShown(msgspec.Struct, frozen=True):
    """The duties after applying the log up to ``index``, read after the request arrived."""

    index: int
    duties: dict[str, DutyState]


class RulesShown(msgspec.Struct, frozen=True):
    """Summaries of the rules documents, without contents."""

    index: int
    documents: dict[str, Summary]


Identify = Callable[[web.Request], Caller]


def caller_by_socket(request: web.Request) -> Caller:
    transport = request.transport
    peer = transport.get_extra_info("socket") if transport is not None else None
    return unix_caller(peer) if peer is not None else Caller("?", "")


def answer(value: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=wire.encode(value), status=status, content_type="application/json",
        headers={wire.INTERFACE_HEADER: str(wire.INTERFACE_VERSION)},
    )  # fmt: skip


class Api:
    """The routes of one agent's HTTP interface."""

    def __init__(
        self, supervisor: Supervisor, identify: Identify, members: MemberDriver | None = None
    ) -> None:
        self.supervisor, self.identify, self.members = supervisor, identify, members
        self.view_slots = asyncio.Semaphore(VIEWS_MAX_CONCURRENT)

    def app(self) -> web.Application:
        app = web.Application(middlewares=[self.guard], client_max_size=BODY_MAX_BYTES)
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
        """Check interface version, caller and role, and turn refusals into ``Problem`` responses."""
        try:
            self.check_version(request)
            request["caller"] = caller = self.identify(request)
            if caller.role == "" or (request.method != "GET" and caller.role != "operator"):
                action = f"{request.method} {request.path}"
                self.supervisor.record("forbidden", operator=caller.name, detail=action)
                role = caller.role or "without a role"
                raise RefusalError(403, "forbidden", f"{caller.name} is {role} and may not {action}")
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
        version = request.headers.get(wire.INTERFACE_HEADER, "")
        if version != str(wire.INTERFACE_VERSION):
            raise RefusalError(
                426,
                "interface",
                f"this agent speaks interface {wire.INTERFACE_VERSION}, not {version or 'one unnamed'}",
            )

    async def read_body(self, request: web.Request, kind: type[T]) -> T:
        return wire.decode(kind, await request.read())

    def require_member(self) -> MemberDriver:
        if self.members is None:
            raise RefusalError(404, "no-member", "this agent is no member")
        return self.members

    @staticmethod
    def require_answer(reply: Reply) -> Reply:
        """The reply, unless it is ``Refused``; then raises RefusalError."""
        if isinstance(reply, Rejected):
            code = "unknown" if reply.under_way else "no-leader"
            text = "it may have been done, or may yet be" if reply.under_way else "no leader is heard here"
            raise RefusalError(503, code, text)
        return reply

    async def query_machine(self, look: Query) -> QueryResult:
        shown = self.require_answer(await self.require_member().ask(look=look))
        assert isinstance(shown, QueryResult)
        return shown

    async def member(self, request: web.Request) -> web.Response:
        return answer(self.require_member().status())

    async def change_members(self, request: web.Request) -> web.Response:
        body = await self.read_body(request, MembersChange)
        reason = await self.require_member().change(body.add, body.remove)
        if reason:
            raise RefusalError(409, "not-changed", reason)
        return answer(self.require_member().status())

    async def duties(self, request: web.Request) -> web.Response:
        shown = await self.query_machine(Query(DUTIES))
        return answer(DutiesShown(shown.index, decode_duties(shown)))

    async def findings(self, request: web.Request) -> web.Response:
        shown = await self.query_machine(Query(findings.NAME))
        return answer(msgspec.msgpack.decode(shown.body, type=findings.Findings))

    async def rules(self, request: web.Request) -> web.Response:
        shown = await self.query_machine(Query(RULES))
        summaries: dict[str, Summary] = msgspec.msgpack.decode(shown.body, type=dict[str, Summary])
        return answer(RulesShown(shown.index, summaries))

    async def holders(self, request: web.Request) -> web.Response:
        """The gateways that hold rules, as the leader knows them."""
        shown = await self.query_machine(Query(RULES_HOLDERS))
        return answer(msgspec.msgpack.decode(shown.body, type=GatewayLeases))

    async def put_rules(self, request: web.Request) -> web.Response:
        """Store rules; ``?ident=`` makes a repeated request idempotent."""
        command = await self.read_body(request, PutRules)
        detail = f"{command.name} on {command.parent}: {command.reason}"
        self.supervisor.record("rules", operator=request["caller"].name, detail=detail)
        command = msgspec.structs.replace(command, author=request["caller"].name)
        put = rules_command(command, request.query.get("ident", ""))
        return answer(self.require_answer(await self.require_member().ask(put=put)))

    async def question(self, request: web.Request) -> web.Response:
        """Answer a gateway's question about the rules it may act by."""
        body = await self.read_body(request, RulesQuestion)
        return answer(self.require_answer(await self.require_member().ask(question=body)))

    async def content(self, request: web.Request) -> web.Response:
        """The content of a rules document, from this member's own copy; the caller verifies its digest."""
        body = await self.read_body(request, FetchRules)
        found: Content | None = self.require_member().replica.rules.content(body)
        if found is None:
            raise RefusalError(404, "no-content", f"{body.name} {body.version} is not here")
        return answer(found)

    async def command(self, request: web.Request) -> web.Response:
        """Apply a command on duties; ``?ident=`` makes a repeated request idempotent."""
        command: Define | Remove | Move = wire.decode(Define | Remove | Move, await request.read())  # type: ignore[arg-type]
        self.supervisor.record("duty", operator=request["caller"].name, detail=str(command))
        put = duty_command(command, request.query.get("ident", ""))
        return answer(self.require_answer(await self.require_member().ask(put=put)))

    async def beat(self, request: web.Request) -> web.Response:
        return answer(
            self.require_answer(
                await self.require_member().ask(beat=await self.read_body(request, Heartbeat))
            )
        )

    async def instances(self, request: web.Request) -> web.Response:
        return answer(self.supervisor.listing())

    async def views(self, request: web.Request) -> web.Response:
        """The gateways' own views, requested concurrently; ``?name=`` may be given several times."""
        names = request.query.getall("name", None) or sorted(self.supervisor.runtimes)
        answers = await asyncio.gather(*(self.view(name) for name in names))
        pairs = list(zip(names, answers, strict=True))
        views = {name: view for name, view in pairs if not isinstance(view, str)}
        missing = {name: view for name, view in pairs if isinstance(view, str)}
        return answer(wire.ViewAnswer(views, missing))

    async def view(self, name: str) -> dict[str, Any] | str:
        runtime = self.supervisor.runtime(name)
        if not runtime.state.alive:
            return f"is {runtime.state.state_label(self.supervisor.clock(), runtime.limits)}"
        timeout = aiohttp.ClientTimeout(total=self.supervisor.config.checks.limit)
        async with self.view_slots:
            return await fetch_view(str(self.supervisor.config.admin_path(name)), timeout)

    async def events(self, request: web.Request) -> web.Response:
        """Events after a revision; ``wait`` is the time to wait for one, in seconds."""
        try:
            after = int(request.query.get("after", "0"))
            wait = min(float(request.query.get("wait", "0")), EVENTS_WAIT_MAX_S)
        except ValueError:
            raise RefusalError(400, "bad-request", "after and wait are numbers") from None
        events_changed = self.supervisor.events_changed
        store = self.supervisor.require_operations_store()
        events = store.events(after, EVENTS_MAX)
        if not events and wait > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(events_changed.wait(), wait)
            events = store.events(after, EVENTS_MAX)
        revision = events[-1].revision if events else max(after, self.supervisor.revision)
        return answer(wire.Events(events, revision))

    async def operations(self, request: web.Request) -> web.Response:
        return answer(wire.Operations(self.supervisor.operations()))

    async def operation(self, request: web.Request) -> web.Response:
        return answer(self.supervisor.operation(request.match_info["id"]))

    async def put_operation(self, request: web.Request) -> web.Response:
        plan = await self.read_body(request, wire.OperationPlan)
        if plan.id != request.match_info["id"]:
            raise RefusalError(400, "bad-request", "the plan's id is not the address's")
        return answer(self.supervisor.put_operation(plan, request["caller"].name))

    async def close_operation(self, request: web.Request) -> web.Response:
        body = await self.read_body(request, wire.CloseOperation)
        return answer(self.supervisor.close_operation(request.match_info["id"], body, request["caller"].name))

    async def claim(self, request: web.Request) -> web.Response:
        body = await self.read_body(request, wire.ClaimRequest)
        claims = self.supervisor.claim(body, request["caller"].name)
        return answer(wire.Claimed([claim_info(claim) for claim in claims]))

    async def renew(self, request: web.Request) -> web.Response:
        claims = self.supervisor.renew(await self.read_body(request, wire.TokenRequest))
        return answer(wire.Claimed([claim_info(claim) for claim in claims]))

    async def release(self, request: web.Request) -> web.Response:
        self.supervisor.release(await self.read_body(request, wire.TokenRequest))
        return answer(wire.Claimed([]))

    async def step(self, request: web.Request) -> web.Response:
        body = await self.read_body(request, wire.StepRequest)
        return answer(self.supervisor.step(body, request["caller"].name))
