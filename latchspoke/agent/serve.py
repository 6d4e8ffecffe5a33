"""Puts the agent together: one to a folder, from start to SIGTERM; its gateways outlive it."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
import signal
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import TextIO, cast

import structlog
from aiohttp import web

from latchspoke.agent.api import Api, by_socket
from latchspoke.agent.client import Fleet, read_fleet
from latchspoke.agent.config import AgentRecord, TlsRecord
from latchspoke.agent.duty_runner import DutyRunner
from latchspoke.agent.health_checks import HealthChecks
from latchspoke.agent.members import MemberDriver
from latchspoke.agent.raft_store import RaftStoreError
from latchspoke.agent.store import Store, StoreError
from latchspoke.agent.supervisor import Supervisor
from latchspoke.agent.tls import TlsSite, by_certificate
from latchspoke.keys.authority import KeysError
from latchspoke.keys.tls import Identity
from latchspoke.net.admin import bind
from latchspoke.records import RecordError

log = structlog.get_logger("agent")

BACKLOG = 256  # connections of tools that wait to be taken


class AgentError(Exception):
    """The agent can't run; one line says why."""


class Tolerant:
    """Standard error; a log that can't be written, as on a full disk, must not end what it tells of."""

    def write(self, text: str) -> None:
        with contextlib.suppress(OSError):
            sys.stderr.write(text)

    def flush(self) -> None:
        with contextlib.suppress(OSError):
            sys.stderr.flush()


def set_up_logs() -> None:
    """One event a line on standard error: JSON, with the time first."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, Tolerant())),
        cache_logger_on_first_use=True,
    )


@contextlib.contextmanager
def alone(home: Path) -> Iterator[None]:
    """Two agents over one folder would both restart what crashes; the lock ends with the process."""
    try:
        home.mkdir(parents=True, exist_ok=True, mode=0o700)
        lock = os.open(home / "agent.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    except OSError as e:
        raise AgentError(f"can't use the folder {home}: {e.strerror}") from None
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        yield
    except BlockingIOError:
        raise AgentError(f"another agent holds {home}") from None
    finally:
        os.close(lock)


def open_store(home: Path) -> tuple[Store | None, str]:
    """Without it the agent still tells what it sees, and its gateways go on serving."""
    try:
        return Store(home / "agent.db"), ""
    except StoreError as e:
        log.error("store", error=str(e))
        return None, str(e)


async def run(config: AgentRecord, done: asyncio.Event) -> None:
    store, why = open_store(config.home)
    supervisor = Supervisor(config, store, why)
    await supervisor.start()
    checks = HealthChecks(supervisor)
    members = await open_member(config)
    own = open_duties(config, supervisor, members)
    api = Api(supervisor, by_certificate(by_socket), members)
    runner = web.AppRunner(api.app(), access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    site: TlsSite | None = None
    try:
        await web.SockSite(runner, bind(config.socket, BACKLOG)).start()
        if config.tls is not None:
            site = open_tls(config.tls, supervisor, runner)
        log.info("serves", agent=config.name, socket=config.socket, instances=len(config.instances))
        await done.wait()
    except OSError as e:
        raise AgentError(f"can't listen at {config.socket}: {e}") from None
    finally:
        with contextlib.suppress(OSError):
            os.unlink(config.socket)
        if site is not None:
            await site.stop()
        await runner.cleanup()
        if own is not None:
            await own.stop()
        if members is not None:
            await members.stop()
        await checks.stop()
        supervisor.stop()
        log.info("ends", agent=config.name)


async def open_member(config: AgentRecord) -> MemberDriver | None:
    """A ledger that can't be trusted ends the agent: its gateways go on, and a person has to look."""
    if config.members is None:
        return None
    try:
        members = MemberDriver(config.name, config.members, config.home, config.tls)
        await members.start()
    except (RaftStoreError, KeysError) as e:
        raise AgentError(str(e)) from None
    except OSError as e:
        raise AgentError(f"can't listen at {config.members.peers[config.name]}: {e}") from None
    log.info("member", agent=config.name, identity=members.replica.member.identity)
    return members


def open_duties(
    config: AgentRecord, supervisor: Supervisor, members: MemberDriver | None
) -> DutyRunner | None:
    if members is None or config.members is None or config.members.duties is None:
        return None
    told = config.members.duties
    try:
        record = read_fleet(told.fleet)
        identity = record.identity
        tls = identity and Identity(identity.certificate, identity.key, identity.authority, server=False)
        fleet = Fleet(record, tls.context if tls else None)
    except (RecordError, KeysError) as e:
        raise AgentError(str(e)) from None

    def note(kind: str, operation: str, detail: str) -> None:
        supervisor.record(kind, operation=operation, detail=detail)

    return DutyRunner(members, told, fleet, note)


def open_tls(record: TlsRecord, supervisor: Supervisor, runner: web.AppRunner) -> TlsSite:
    assert runner.server is not None  # it has been set up
    try:
        site = TlsSite(record, supervisor, runner.server)
    except KeysError as e:
        raise AgentError(str(e)) from None
    except OSError as e:
        raise AgentError(f"can't listen at {record.listen}: {e}") from None
    supervisor.certificate_until = site.certificate_until
    log.info("serves", agent=supervisor.config.name, tls=record.listen, port=site.port)
    return site


async def run_until_signal(config: AgentRecord) -> None:
    done = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, done.set)
    await run(config, done)


def serve(config: AgentRecord) -> None:
    """Raises AgentError."""
    set_up_logs()
    with alone(config.home):
        asyncio.run(run_until_signal(config))
