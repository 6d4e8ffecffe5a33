"""Clients of the agents' HTTP interface: one for each agent, and concurrent requests to all of them.

``UnreachableError`` means that an agent gave no valid answer, so the state of its instances is unknown.
``RefusedError`` means that it refused the request.
"""

from __future__ import annotations

import asyncio
import os
import ssl
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, TypeVar

import aiohttp
import msgspec

from latchspoke.fleet import wire
from latchspoke.fleet.view import FleetView
from latchspoke.records import Position, RecordError, load, load_text
from latchspoke.records.load import Seconds
from latchspoke.records.schemas import DEFINITIONS, schema_path

T = TypeVar("T")


class AgentEntry(msgspec.Struct, frozen=True):
    """The address of an agent: a local Unix socket, or a TCP address with TLS."""

    socket: str = ""
    address: str = ""


class Identity(msgspec.Struct, frozen=True):
    """Files of the operator's certificate, its key, and the fleet's authority."""

    certificate: str
    key: str
    authority: str


class FleetRecord(msgspec.Struct, frozen=True):
    """The settings of a fleet, for tools."""

    agents: dict[str, AgentEntry]
    limit: Seconds
    parallel: int
    identity: Identity | None = None


def read_fleet(path: str) -> FleetRecord:
    """Read a fleet file; relative paths start at its folder. Raises RecordError."""
    record = load(path, schema=schema_path("fleet"), definition=DEFINITIONS["fleet"])
    settings = record.convert(FleetRecord)
    base = os.path.dirname(os.path.abspath(path))
    agents = {
        name: msgspec.structs.replace(entry, socket=entry.socket and os.path.join(base, entry.socket))
        for name, entry in settings.agents.items()
    }
    identity = settings.identity and Identity(
        *(os.path.join(base, p) for p in msgspec.structs.astuple(settings.identity))
    )
    return msgspec.structs.replace(settings, agents=agents, identity=identity)


def single_agent_fleet(socket: str) -> FleetRecord:
    """A fleet that consists of the agent behind this socket."""
    schema = schema_path("fleet").read_text()
    text = f"agents: here: socket: {msgspec.json.encode(os.path.abspath(socket)).decode()}"
    return load_text(text, "--socket", schema, DEFINITIONS["fleet"]).convert(FleetRecord)


class UnreachableError(Exception):
    """An agent gave no answer, or an invalid one; the state of its instances is unknown."""


class RefusedError(Exception):
    """An agent refused a request."""

    def __init__(self, problem: wire.Problem) -> None:
        super().__init__(problem.error)
        self.problem = problem


def refused_by_tls(error: BaseException | None) -> bool:
    """Whether the error may mean that the server refused the client's certificate.

    In TLS 1.3 the client finishes the handshake before the server has verified the client's certificate, so a
    refusal arrives as an alert with the first read, or as a connection reset.
    """
    while error is not None:
        if isinstance(error, ConnectionResetError | aiohttp.ServerDisconnectedError):
            return True
        if isinstance(error, ssl.SSLError) and "ALERT" in (error.reason or ""):
            return True
        error = error.__cause__ or error.__context__
    return False


class AgentClient:
    """The client of one agent."""

    def __init__(self, name: str, entry: AgentEntry, limit: float, tls: ssl.SSLContext | None) -> None:
        self.name, self.entry, self.limit = name, entry, limit
        connector: aiohttp.BaseConnector
        if entry.socket:
            connector, self.base = aiohttp.UnixConnector(entry.socket), "http://agent"
        else:
            if tls is None:
                position = Position("the fleet's file", 1, 1)
                raise RecordError(position, f"agents.{name}", "an address", "an identity for TLS beside it")
            connector, self.base = aiohttp.TCPConnector(ssl=tls), f"https://{entry.address}"
        self.web = aiohttp.ClientSession(connector=connector)

    async def close(self) -> None:
        await self.web.close()

    async def call(
        self, kind: type[T], method: str, path: str, body: Any = None, limit: float | None = None
    ) -> T:
        """Send one request, with a timeout in seconds. Raises UnreachableError or RefusedError."""
        limit = self.limit if limit is None else limit
        data = wire.encode(body) if body is not None else None
        try:
            async with self.web.request(
                method, self.base + path, data=data, timeout=aiohttp.ClientTimeout(total=limit),
                headers={wire.INTERFACE_HEADER: str(wire.INTERFACE_VERSION)},
            ) as answer:  # fmt: skip
                return self.decode_answer(kind, answer, await answer.read())
        except TimeoutError:
            raise UnreachableError(f"agent {self.name}: no answer within {limit:g} s") from None
        except aiohttp.ClientConnectorCertificateError as e:
            why = getattr(e.certificate_error, "verify_message", "") or e.certificate_error
            raise UnreachableError(f"agent {self.name}: its certificate is not trusted ({why})") from None
        except aiohttp.ClientConnectorError as e:
            raise UnreachableError(f"agent {self.name}: can't connect ({e.os_error.strerror or e})") from None
        except (aiohttp.ClientError, OSError, ValueError) as e:
            if self.entry.address and refused_by_tls(e):
                why = "it closed the connection after the handshake; its event history has the reason"
                raise UnreachableError(
                    f"agent {self.name}: probably refuses this certificate ({why})"
                ) from None
            what = type(e).__name__
            raise UnreachableError(f"agent {self.name}: gave an invalid answer ({what})") from None

    def decode_answer(self, kind: type[T], answer: aiohttp.ClientResponse, body: bytes) -> T:
        version = answer.headers.get(wire.INTERFACE_HEADER)
        if version != str(wire.INTERFACE_VERSION):
            spoken = f"interface {version}" if version else "no known interface"
            raise UnreachableError(
                f"agent {self.name}: speaks {spoken}, this tool speaks {wire.INTERFACE_VERSION}"
            )
        try:
            if answer.status == 200:
                return wire.decode(kind, body)
            problem = wire.decode(wire.Problem, body)
        except msgspec.MsgspecError as e:
            raise UnreachableError(f"agent {self.name}: gave an invalid answer ({e})") from None
        raise RefusedError(problem)

    async def listing(self) -> wire.Listing:
        return await self.call(wire.Listing, "GET", "/v1/instances")

    async def views(self, names: Iterable[str] = ()) -> wire.ViewAnswer:
        query = "&".join(f"name={name}" for name in names)
        path = f"/v1/views?{query}" if query else "/v1/views"
        # The agent waits for its gateways, which have time limits of their own.
        return await self.call(wire.ViewAnswer, "GET", path, limit=2 * self.limit)

    async def events(self, after: int = 0, wait: float = 0.0) -> wire.Events:
        path = f"/v1/events?after={after}&wait={wait:g}"
        return await self.call(wire.Events, "GET", path, limit=self.limit + wait)

    async def operations(self) -> wire.Operations:
        return await self.call(wire.Operations, "GET", "/v1/operations")

    async def operation(self, ident: str) -> wire.OperationStatus:
        return await self.call(wire.OperationStatus, "GET", f"/v1/operations/{ident}")

    async def put_operation(self, plan: wire.OperationPlan) -> wire.OperationStatus:
        return await self.call(wire.OperationStatus, "PUT", f"/v1/operations/{plan.id}", plan)

    async def close_operation(self, ident: str, state: str, detail: str) -> wire.OperationStatus:
        body = wire.CloseOperation(state, detail)
        return await self.call(wire.OperationStatus, "POST", f"/v1/operations/{ident}/close", body)

    async def claim(
        self, names: list[str], operation: str, ttl: float, fence: dict[str, int] | None = None
    ) -> dict[str, int]:
        """Claim instances; returns the tokens by instance."""
        body = wire.ClaimRequest(names, operation, ttl, fence or {})
        answer = await self.call(wire.Claimed, "POST", "/v1/claims", body)
        return {claim.instance: claim.token for claim in answer.claims}

    async def renew(self, tokens: dict[str, int], ttl: float) -> None:
        await self.call(wire.Claimed, "POST", "/v1/claims/renew", wire.TokenRequest(tokens, ttl))

    async def release(self, tokens: dict[str, int]) -> None:
        await self.call(wire.Claimed, "POST", "/v1/claims/release", wire.TokenRequest(tokens))

    async def step(self, request: wire.StepRequest) -> wire.StepInfo:
        return await self.call(wire.StepInfo, "POST", "/v1/steps", request)


class Fleet:
    """The clients of all agents of a fleet."""

    def __init__(self, record: FleetRecord, tls: ssl.SSLContext | None = None) -> None:
        self.record = record
        self.clients = {
            name: AgentClient(name, entry, record.limit, tls) for name, entry in record.agents.items()
        }
        self.concurrency_limit = asyncio.Semaphore(record.parallel)

    async def __aenter__(self) -> Fleet:
        return self

    async def __aexit__(self, *exc: object) -> None:
        await asyncio.gather(*(client.close() for client in self.clients.values()))

    async def ask(
        self, question: Callable[[AgentClient], Coroutine[Any, Any, T]], names: Iterable[str] | None = None
    ) -> dict[str, T | UnreachableError | RefusedError]:
        """Call agents concurrently; the result for each is its answer, or the error it raised."""

        async def ask_agent(client: AgentClient) -> T | UnreachableError | RefusedError:
            async with self.concurrency_limit:
                try:
                    return await question(client)
                except (UnreachableError, RefusedError) as e:
                    return e

        chosen = sorted(self.clients if names is None else names)
        answers = await asyncio.gather(*(ask_agent(self.clients[name]) for name in chosen))
        return dict(zip(chosen, answers, strict=True))

    async def refresh_view(self, view: FleetView, now: Callable[[], float]) -> FleetView:
        """Ask all agents for their instances and return the updated view."""
        for name, answer in (await self.ask(lambda client: client.listing())).items():
            if isinstance(answer, wire.Listing):
                view = view.with_listing(name, answer, now())
            else:
                view = view.with_problem(name, str(answer))
        return view
