"""What an agent is told: a typed record (schema ``agent``), with its paths made whole."""

from __future__ import annotations

import ipaddress
import sys
from pathlib import Path

import msgspec

from latchspoke.fleet.lifecycle import Limits
from latchspoke.records import Position, RecordError, load
from latchspoke.records.load import Seconds
from latchspoke.records.schemas import DEFINITIONS, schema_path

RULES_START = 86_400.0  # s; the least limit on the start of a gateway that goes by rules
SOCKET_PATH_MOST = 107  # bytes; the kernel's limit on a Unix socket's path


class LimitsRecord(msgspec.Struct, frozen=True, rename="camel"):
    """Durations in seconds; see the schema for what each is."""

    start: Seconds
    drain: Seconds
    margin: Seconds
    silent: Seconds
    pause: Seconds
    pause_most: Seconds
    crashes: int
    settle: Seconds

    def limits(self) -> Limits:
        return Limits(
            start_timeout_s=self.start, drain_timeout_s=self.drain, kill_margin_s=self.margin,
            silence_timeout_s=self.silent,
            min_backoff_s=self.pause, max_backoff_s=self.pause_most, max_crashes=self.crashes,
            settle_time_s=self.settle,
        )  # fmt: skip


class RulesRecord(msgspec.Struct, frozen=True):
    """``members``: agents' sockets, this agent's own unless named; ``start``: wait, or known."""

    start: str
    members: list[str] = []


class InstanceRecord(msgspec.Struct, frozen=True):
    """One gateway of this host."""

    config: str
    listen: str
    limits: LimitsRecord
    zone: str = ""
    discovery: str = ""
    start: bool = True
    environment: dict[str, str] = {}
    rules: RulesRecord | None = None
    command: list[str] = []


class TlsRecord(msgspec.Struct, frozen=True):
    """Files of the agent's certificate, its key, and the fleet's authority."""

    listen: str
    certificate: str
    key: str
    authority: str


class ChecksRecord(msgspec.Struct, frozen=True):
    interval: Seconds
    limit: Seconds


class DutiesRecord(msgspec.Struct, frozen=True):
    """The program's own duties, for which this agent stands; ``fleet`` names the file of the whole fleet."""

    fleet: str
    resume: bool
    census: bool
    length: Seconds
    every: Seconds
    quiet: Seconds


class MembersRecord(msgspec.Struct, frozen=True):
    """``peers``: the addresses of all members of the replicated log, this agent's as well."""

    peers: dict[str, str]
    first: bool
    beat: Seconds
    election: Seconds
    drift: float
    tls: bool = False
    duties: DutiesRecord | None = None


class AgentRecord(msgspec.Struct, frozen=True):
    """The whole file."""

    name: str
    folder: str
    socket: str
    checks: ChecksRecord
    instances: dict[str, InstanceRecord] = {}
    tls: TlsRecord | None = None
    members: MembersRecord | None = None

    @property
    def home(self) -> Path:
        return Path(self.folder)

    def admin_path(self, instance: str) -> Path:
        return self.home / "run" / instance / "admin.sock"

    def command(self, instance: str) -> list[str]:
        told = self.instances[instance].command or [sys.executable, "-m", "latchspoke", "serve"]
        return [*told, "--admin", str(self.admin_path(instance))]

    def environment(self, instance: str) -> dict[str, str]:
        """What a gateway is told on the platform, in the same variables."""
        record = self.instances[instance]
        told = {"GW_NAME": instance, "GW_LISTEN": record.listen, "GW_CONFIG": record.config}
        if record.discovery:
            told["GW_DISCOVERY"] = record.discovery
        if record.rules is not None:
            told["GW_MEMBERS"] = ",".join(record.rules.members or [self.socket])
            told["GW_RULES_KEPT"] = str(self.home / f"{instance}.rules.json")
            told["GW_RULES_START"] = record.rules.start
        return told | record.environment


def read_agent(path: str) -> AgentRecord:
    """Raises RecordError. Paths in the file are meant from the file's own folder."""
    record = load(path, schema=schema_path("agent"), definition=DEFINITIONS["agent"])
    told = record.convert(AgentRecord)
    base = Path(path).resolve().parent

    def whole(name: str) -> str:
        return str(base / name) if name else name

    tls = told.tls and msgspec.structs.replace(
        told.tls, certificate=whole(told.tls.certificate), key=whole(told.tls.key),
        authority=whole(told.tls.authority),
    )  # fmt: skip
    instances = {
        name: msgspec.structs.replace(
            instance,
            config=whole(instance.config),
            limits=patient(instance),
            rules=instance.rules
            and msgspec.structs.replace(
                instance.rules, members=[whole(path) for path in instance.rules.members]
            ),
        )
        for name, instance in told.instances.items()
    }
    members = told.members
    if members is not None and members.duties is not None:
        duties = msgspec.structs.replace(members.duties, fleet=whole(members.duties.fleet))
        members = msgspec.structs.replace(members, duties=duties)
    told = msgspec.structs.replace(
        told,
        folder=whole(told.folder),
        socket=whole(told.socket),
        tls=tls,
        instances=instances,
        members=members,
    )
    check(told, Position(path, 1, 1))
    return told


def patient(instance: InstanceRecord) -> LimitsRecord:
    """A gateway that waits for a right to act is not ready, and to start it again would not help."""
    if instance.rules is None:
        return instance.limits
    return msgspec.structs.replace(instance.limits, start=Seconds(max(instance.limits.start, RULES_START)))


def check_members(told: MembersRecord, name: str, secure: bool, at: Position) -> None:
    """``secure``: the agent has a certificate. Without TLS members speak on loopback only."""
    if told.tls and not secure:
        raise RecordError(at, "members.tls", "without the agent's own `tls`", "its certificate there")
    if name not in told.peers:
        raise RecordError(
            at, "members.peers", f"{name}, this agent, is not among them", "its own address too"
        )
    for peer, where in told.peers.items():
        host = where.rpartition(":")[0].strip("[]")
        try:
            loopback = ipaddress.ip_address(host).is_loopback
        except ValueError:
            loopback = False
        if not loopback and not told.tls:
            raise RecordError(at, f"members.peers.{peer}", where, "`tls: true`, or an address on loopback")


def check(told: AgentRecord, at: Position) -> None:
    """What types alone don't say."""
    if told.members is not None:
        check_members(told.members, told.name, told.tls is not None, at)
    listens: dict[str, str] = {}
    for name, instance in told.instances.items():
        other = listens.setdefault(instance.listen, name)
        if other != name:
            raise RecordError(
                at, f"instances.{name}.listen", f"{instance.listen}, as {other} has", "an address of its own"
            )
    for path in (told.socket, *(str(told.admin_path(name)) for name in told.instances)):
        if len(path.encode()) > SOCKET_PATH_MOST:
            raise RecordError(
                at, "folder", f"the socket path {path}", f"one of at most {SOCKET_PATH_MOST} bytes"
            )
