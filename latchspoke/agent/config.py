"""The agent's settings: typed records (schema ``agent``), with absolute paths."""

from __future__ import annotations

import ipaddress
import sys
from pathlib import Path

import msgspec

from latchspoke.fleet.lifecycle import Limits
from latchspoke.records import Position, RecordError, load
from latchspoke.records.load import Seconds
from latchspoke.records.schemas import DEFINITIONS, schema_path

RULES_START_LIMIT_S = 86_400.0  # shortest start limit of a gateway that depends on rules
SOCKET_PATH_MAX_BYTES = 107  # the kernel's limit


class LimitsRecord(msgspec.Struct, frozen=True, rename="camel"):
    """Limits of an instance, in seconds; the schema describes each."""

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
    """``members``: agents' sockets, by default this agent's own; ``start``: ``wait`` or ``known``."""

    start: str
    members: list[str] = []


class InstanceRecord(msgspec.Struct, frozen=True):
    """One gateway on this host."""

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
    """The TCP listen address, and the files of the agent's certificate, its key and the fleet's authority."""

    listen: str
    certificate: str
    key: str
    authority: str


class ChecksRecord(msgspec.Struct, frozen=True):
    interval: Seconds
    limit: Seconds


class DutiesRecord(msgspec.Struct, frozen=True):
    """The built-in duties for which this agent is a candidate; ``fleet`` is the path of the fleet file."""

    fleet: str
    resume: bool
    census: bool
    length: Seconds
    every: Seconds
    quiet: Seconds


class MembersRecord(msgspec.Struct, frozen=True):
    """``peers``: the addresses of all members of the replicated log, including this agent's own."""

    peers: dict[str, str]
    first: bool
    beat: Seconds
    election: Seconds
    drift: float
    tls: bool = False
    duties: DutiesRecord | None = None


class AgentRecord(msgspec.Struct, frozen=True):
    """The agent's settings file."""

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
        command = self.instances[instance].command or [sys.executable, "-m", "latchspoke", "serve"]
        return [*command, "--admin", str(self.admin_path(instance))]

    def environment(self, instance: str) -> dict[str, str]:
        """The environment variables of a gateway, the same as those set by the platform."""
        record = self.instances[instance]
        variables = {"GW_NAME": instance, "GW_LISTEN": record.listen, "GW_CONFIG": record.config}
        if record.discovery:
            variables["GW_DISCOVERY"] = record.discovery
        if record.rules is not None:
            variables["GW_MEMBERS"] = ",".join(record.rules.members or [self.socket])
            variables["GW_RULES_KEPT"] = str(self.home / f"{instance}.rules.json")
            variables["GW_RULES_START"] = record.rules.start
        return variables | record.environment


def read_agent(path: str) -> AgentRecord:
    """Read the settings; relative paths start at the file's folder. Raises RecordError."""
    record = load(path, schema=schema_path("agent"), definition=DEFINITIONS["agent"])
    agent = record.convert(AgentRecord)
    base = Path(path).resolve().parent

    def absolute(name: str) -> str:
        return str(base / name) if name else name

    tls = agent.tls and msgspec.structs.replace(
        agent.tls, certificate=absolute(agent.tls.certificate), key=absolute(agent.tls.key),
        authority=absolute(agent.tls.authority),
    )  # fmt: skip
    instances = {
        name: msgspec.structs.replace(
            instance,
            config=absolute(instance.config),
            limits=limits_for_rules(instance),
            rules=instance.rules
            and msgspec.structs.replace(
                instance.rules, members=[absolute(path) for path in instance.rules.members]
            ),
        )
        for name, instance in agent.instances.items()
    }
    members = agent.members
    if members is not None and members.duties is not None:
        duties = msgspec.structs.replace(members.duties, fleet=absolute(members.duties.fleet))
        members = msgspec.structs.replace(members, duties=duties)
    agent = msgspec.structs.replace(
        agent,
        folder=absolute(agent.folder),
        socket=absolute(agent.socket),
        tls=tls,
        instances=instances,
        members=members,
    )
    check(agent, Position(path, 1, 1))
    return agent


def limits_for_rules(instance: InstanceRecord) -> LimitsRecord:
    """The limits, with a long start limit if the gateway depends on rules.

    Such a gateway is not ready until it gets its rules, and a restart would not help.
    """
    if instance.rules is None:
        return instance.limits
    return msgspec.structs.replace(
        instance.limits, start=Seconds(max(instance.limits.start, RULES_START_LIMIT_S))
    )


def check_members(members: MembersRecord, name: str, has_certificate: bool, position: Position) -> None:
    """Check the settings of a member. Without TLS, only loopback addresses are allowed."""
    if members.tls and not has_certificate:
        raise RecordError(position, "members.tls", "without the agent's own `tls`", "its certificate there")
    if name not in members.peers:
        raise RecordError(
            position, "members.peers", f"{name}, this agent, is not among them", "its own address too"
        )
    for peer, address in members.peers.items():
        host = address.rpartition(":")[0].strip("[]")
        try:
            loopback = ipaddress.ip_address(host).is_loopback
        except ValueError:
            loopback = False
        if not loopback and not members.tls:
            raise RecordError(
                position, f"members.peers.{peer}", address, "`tls: true`, or an address on loopback"
            )


def check(agent: AgentRecord, position: Position) -> None:
    """Check constraints between fields. Raises RecordError."""
    if agent.members is not None:
        check_members(agent.members, agent.name, agent.tls is not None, position)
    listens: dict[str, str] = {}
    for name, instance in agent.instances.items():
        other_instance = listens.setdefault(instance.listen, name)
        if other_instance != name:
            raise RecordError(
                position,
                f"instances.{name}.listen",
                f"{instance.listen}, as {other_instance} has",
                "an address of its own",
            )
    for path in (agent.socket, *(str(agent.admin_path(name)) for name in agent.instances)):
        if len(path.encode()) > SOCKET_PATH_MAX_BYTES:
            raise RecordError(
                position, "folder", f"the socket path {path}", f"one of at most {SOCKET_PATH_MAX_BYTES} bytes"
            )
