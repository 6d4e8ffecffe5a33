"""What clients, servers and the operator saw in a day: all that the rules are judged by."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

Doc = dict[str, Any]


@dataclass(slots=True, eq=False)
class ClientRequest:
    """What a client wants, over all its tries."""

    kind: str
    zone: str
    tenant: str
    at: float
    worth: float  # if it is served inside its aim
    owed: bool = True
    earned: float = 0.0
    attempts: int = 0
    status: int = 0  # of the last answer, 0: none
    ended: float = 0.0
    served: float = -1.0  # how long it took, -1: it was not


@dataclass(slots=True, eq=False)
class Attempt:
    """One request on the wire."""

    ident: str
    request: ClientRequest | None  # None: a question to a certain gateway on which configuration is in force
    host: str
    path: str
    method: str
    body: bytes
    key: str
    tenant: str
    repeatable: bool
    sent: float
    deadline: float  # s, absolute
    client: str  # the client's host
    gateway: str = ""  # ip
    status: int = 0  # 0: no answer came; -1: the connection ended without one
    seal: str = ""
    echoed_ident: str = ""  # the id in the answer
    answer: bytes = b""
    ended: float = -1.0
    read: bool = False  # whether all of it has reached the gateway
    retry_after_s: float | None = None
    exchange: str = ""  # which one it is a try of, where callers have names


@dataclass(slots=True, eq=False)
class Exchange:
    """What a caller wants done once, over all its tries."""

    ident: str
    repeatable: bool
    attempts: list[str] = field(default_factory=list)
    unknown_answers: int = 0  # how often its caller was told that nobody knows
    outcome: str = ""  # how, for its caller; empty: it had no clear answer


@dataclass(slots=True, eq=False)
class Arrival:
    """A request at a server."""

    ident: str
    server: str
    service: str
    zone: str
    region: str
    at: float
    source: str  # ip
    sent: float  # when the gateway wrote it, by the way it took
    method: str
    path: str
    body: bytes
    tenant: str
    key: str  # of the client, which must not be shown
    ran: bool = False
    status: int = 0
    seal: str = ""
    answer: bytes = b""
    cold: bool = False
    misrouted: bool = False
    ended: float = math.inf
    broke: bool = False  # the server itself broke the answer off


@dataclass(slots=True, eq=False)
class Command:
    """An order of the operator's."""

    what: str  # replace, modify, begin, finish
    version: int
    base: int
    doc: Doc | None  # the whole that comes of it, if it is taken
    zone: str
    sent: float
    valid: bool = True
    acked_at: float = math.inf
    refused_at: float = math.inf
    answered_by: str = ""
    status: int = 0
    abandoned_at: float = math.inf  # when it was given up
    lost_ack_at: float = math.inf  # when a success was sent that was lost on its way


@dataclass(slots=True, eq=False)
class ServerDrain:
    """A server that ends in order."""

    server: str
    started_at: float
    acked_at: float = math.inf
    deregistered_at: float = math.inf
    answered_by: str = ""


@dataclass(slots=True)
class DayRecord:
    """A whole day."""

    requests: list[ClientRequest] = field(default_factory=list)
    attempts: dict[str, Attempt] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    exchanges: dict[str, Exchange] = field(default_factory=dict)
    commands: list[Command] = field(default_factory=list)
    drains: list[ServerDrain] = field(default_factory=list)
    unexpected_data: list[tuple[float, str, str]] = field(default_factory=list)  # bytes that nobody asked for
    log_events: list[tuple[float, str, str, dict[str, Any]]] = field(
        default_factory=list
    )  # the programs' logs
    process_exits: list[tuple[float, str, str]] = field(
        default_factory=list
    )  # processes that ended by themselves
    terminations: list[tuple[float, str, float]] = field(
        default_factory=list
    )  # SIGTERM: at, ip, end of grace
    reloads: list[tuple[float, str]] = field(default_factory=list)
    starts: list[tuple[float, str]] = field(default_factory=list)  # of processes: at, ip
    read_back: Doc | None = None
    read_back_started_at: float = 0.0  # when the read-back began
    final_fault: tuple[float, float] | None = None  # the closing fault, and when all machines were back
    injected_troubles: list[tuple[float, str]] = field(default_factory=list)  # troubles as they came


@dataclass(slots=True)
class Reachability:
    """Which machines were in touch when, by what befell them."""

    contact_s: float
    disruptions: dict[str, list[list[float]]] = field(default_factory=dict)  # ip -> [from, to] of trouble
    planned_downtime: dict[str, list[list[float]]] = field(
        default_factory=dict
    )  # as spans: SIGTERM, its grace, no process
    link_cuts: list[tuple[float, float]] = field(default_factory=list)  # spans with any link in trouble
    core_disruptions: list[float] = field(default_factory=list)  # moments that unsettle the core
    without_majority: list[list[float]] = field(
        default_factory=list
    )  # spans without a majority that is connected
    core_ips: tuple[str, ...] = ()  # ips of the core

    def add_disruption(self, ip: str, start: float, end: float) -> None:
        self.disruptions.setdefault(ip, []).append([start, end])

    def core_stable(self, start: float, end: float) -> bool:
        """Whether the core was, throughout."""
        return not any(start - self.contact_s < at <= end for at in self.core_disruptions) and not any(
            a <= end and b >= start for a, b in self.without_majority
        )

    def link_cut_within(self, start: float, end: float) -> bool:
        """Whether a link was in trouble then."""
        return any(a <= end and b >= start for a, b in self.link_cuts)

    def undisturbed(self, ip: str, start: float, end: float) -> bool:
        """Whether nothing befell the machine then."""
        return not any(a <= end and b >= start for a, b in self.disruptions.get(ip, ()))

    def only_core_disrupted(self, ip: str, since: float, when: float) -> bool:
        """Whether only an unsettled core may have held it up, and from ``since`` on most of that was well.

        Then the bounds of configuration and evacuation are stretched by ``stretchMaxS`` and no more.
        """
        start = when - self.contact_s
        undisturbed_cores = sum(self.undisturbed(core, since, when) for core in self.core_ips)
        return (
            self.undisturbed(ip, start, when)
            and not any(a <= when and b >= start for a, b in self.planned_downtime.get(ip, ()))
            and not any(a <= when and b >= since for a, b in self.without_majority)
            and 2 * undisturbed_cores > len(self.core_ips)
        )

    def in_contact(self, ip: str, when: float) -> bool:
        """In touch at this moment."""
        start = when - self.contact_s
        return (
            self.undisturbed(ip, start, when)
            and not any(a <= when and b >= start for a, b in self.planned_downtime.get(ip, ()))
            and not any(start < at <= when for at in self.core_disruptions)
            and not any(a <= when and b >= start for a, b in self.without_majority)
        )
