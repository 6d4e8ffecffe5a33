"""Runs the agent from start to SIGTERM: one for each folder; its gateways keep running afterwards."""

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

from latchspoke.agent.api import Api, caller_by_socket
from latchspoke.agent.client import Fleet, read_fleet
from latchspoke.agent.config import AgentRecord, TlsRecord
from latchspoke.agent.duty_runner import DutyRunner
from latchspoke.agent.health_checks import HealthChecks
from latchspoke.agent.members import MemberDriver
from latchspoke.agent.raft_store import RaftStoreError
from latchspoke.agent.store import Store, StoreError
from latchspoke.agent.supervisor import Supervisor
from latchspoke.agent.tls import TlsSite, caller_by_certificate
from latchspoke.keys.authority import KeysError
from latchspoke.keys.tls import Identity
from latchspoke.net.admin import bind_unix_socket
from latchspoke.records import RecordError

log = structlog.get_logger("agent")

BACKLOG = 256  # connections that wait to be accepted


class AgentError(Exception):
    """The agent can't run; the message is one line."""


class ErrorTolerantStderr:
    """Standard error that ignores write errors, as on a full disk, so that logging never ends the agent."""

    def write(self, text: str) -> None:
        with contextlib.suppress(OSError):
            sys.stderr.write(text)

    def flush(self) -> None:
        with contextlib.suppress(OSError):
            sys.stderr.flush()


def set_up_logs() -> None:
    """Log one JSON object per line on standard error."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, ErrorTolerantStderr())),
        cache_logger_on_first_use=True,
    )


@contextlib.contextmanager
def folder_lock(home: Path) -> Iterator[None]:
    """Lock the folder, so that no second agent manages the same gateways; released with the process."""
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
    """Open the store; without one the agent reports status, but accepts no operations."""
    try:
        return Store(home / "agent.db"), ""
    except StoreError as e:
        log.error("store", error=str(e))
        return None, str(e)


async def run(config: AgentRecord, stop_requested: asyncio.Event) -> None:
    store, why = open_store(config.home)
    supervisor = Supervisor(config, store, why)
    await supervisor.start()
    checks = HealthChecks(supervisor)
    members = await open_member(config)
    duty_runner = open_duties(config, supervisor, members)
    api = Api(supervisor, caller_by_certificate(caller_by_socket), members)
    runner = web.AppRunner(api.app(), access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    site: TlsSite | None = None
    try:
        await web.SockSite(runner, bind_unix_socket(config.socket, BACKLOG)).start()
        if config.tls is not None:
            site = open_tls(config.tls, supervisor, runner)
        log.info("serves", agent=config.name, socket=config.socket, instances=len(config.instances))
        await stop_requested.wait()
    except OSError as e:
        raise AgentError(f"can't listen at {config.socket}: {e}") from None
    finally:
        with contextlib.suppress(OSError):
            os.unlink(config.socket)
        if site is not None:
            await site.stop()
        await runner.cleanup()
        if duty_runner is not None:
            await duty_runner.stop()
        if members is not None:
            await members.stop()
        await checks.stop()
        supervisor.stop()
        log.info("ends", agent=config.name)


async def open_member(config: AgentRecord) -> MemberDriver | None:
    """Start the member of the replicated log; a damaged store ends the agent, but not its gateways."""
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
    duties = config.members.duties
    try:
        record = read_fleet(duties.fleet)
        identity = record.identity
        tls = identity and Identity(identity.certificate, identity.key, identity.authority, server=False)
        fleet = Fleet(record, tls.context if tls else None)
    except (RecordError, KeysError) as e:
        raise AgentError(str(e)) from None

    def record_event(kind: str, operation: str, detail: str) -> None:
        supervisor.record(kind, operation=operation, detail=detail)

    return DutyRunner(members, duties, fleet, record_event)


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
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await run(config, stop_requested)


def serve(config: AgentRecord) -> None:
    """Raises AgentError."""
    set_up_logs()
    with folder_lock(config.home):
        asyncio.run(run_until_signal(config))
