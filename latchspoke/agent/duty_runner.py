"""Runs the built-in duties, `resume` and `census`, while this agent holds them.

Each runs as a task that checks its fencing token before each action and is stopped before its grant ends.
Agents refuse a claim or a step under an older token, and the replicated log accepts a census report only
under the newest one.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import time
from collections.abc import Awaitable, Callable

import msgspec
import structlog

from latchspoke import __version__
from latchspoke.agent.client import Fleet, RefusedError, UnreachableError
from latchspoke.agent.config import DutiesRecord
from latchspoke.agent.holder_driver import HEARTBEAT_TIMEOUT_S, HolderDriver
from latchspoke.agent.members import MemberDriver, clock
from latchspoke.agent.operations import Operation, Refusal, resume
from latchspoke.duties import findings
from latchspoke.duties.machine import NAME as DUTIES
from latchspoke.duties.member_service import (
    CommandRequest,
    Committed,
    Query,
    QueryResult,
    decode_duties,
    duty_command,
)
from latchspoke.duties.records import Candidate, Define, Heartbeat, HeartbeatReply, Rule
from latchspoke.fleet import census, wire
from latchspoke.fleet.compare import compare
from latchspoke.fleet.orphaned_operations import OrphanTracker
from latchspoke.fleet.rollout import Decision
from latchspoke.fleet.view import FleetView

log = structlog.get_logger("agent.duties")

POLL_INTERVAL_S = 0.05
CLAIM_TTL_GRANTS = 2  # lifetime of a claim, in lengths of a grant
DEFINE_INTERVAL_S = 0.5
STOP_TIME_S = 1.0  # that a duty's task may need to stop
RESUME, CENSUS = "resume", "census"


class DutyLostError(Refusal):
    """The duty is no longer held here."""


class DutyRunner:
    """This agent as a holder of duties; ``record_event`` adds an event to the agent's record."""

    def __init__(
        self,
        driver: MemberDriver,
        record: DutiesRecord,
        fleet: Fleet,
        record_event: Callable[[str, str, str], None],
    ) -> None:
        self.driver, self.record, self.fleet, self.record_event = driver, record, fleet, record_event
        duty_loops: dict[str, Callable[[], Awaitable[None]]] = {}
        if record.resume:
            duty_loops[RESUME] = self.resume_loop
        if record.census:
            duty_loops[CENSUS] = self.census_loop
        self.duty_loops = duty_loops
        candidate = Candidate(driver.name, secrets.token_hex(4), "", __version__, tuple(duty_loops))
        self.holder_driver = HolderDriver(candidate, self.ask, STOP_TIME_S)
        self.defined: set[str] = set()
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def stop(self) -> None:
        """Release the duties held here, so that no other agent has to wait for the end of a grant."""
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task
        await self.fleet.__aexit__()

    async def ask(self, beat: Heartbeat, place: int) -> HeartbeatReply | None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                reply = await self.driver.ask(beat=beat)
                return reply if isinstance(reply, HeartbeatReply) else None
        return None

    # Starting and stopping duties.

    async def run(self) -> None:
        async with self.holder_driver:
            # A task of its own, as waiting for an answer must not delay the end of a duty.
            defining = asyncio.get_running_loop().create_task(self.define_loop())
            try:
                while True:
                    try:
                        await self.update_tasks()
                    except Exception:
                        log.exception("failed", duty="")
                    await asyncio.sleep(POLL_INTERVAL_S)
            finally:
                defining.cancel()
                await self.end_tasks(list(self.tasks))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(STOP_TIME_S):
                        await self.holder_driver.report_stopped()

    async def update_tasks(self) -> None:
        holder = self.holder_driver.holder
        await self.end_tasks(holder.duties_to_stop(clock()))
        for duty, right in holder.leases.items():
            if duty not in self.tasks and not right.stopping and self.holder_driver.token(duty) is not None:
                log.info("begins", duty=duty, token=right.token)
                self.tasks[duty] = asyncio.get_running_loop().create_task(self.run_duty(duty))

    async def end_tasks(self, duties: list[str]) -> None:
        ending = {duty: task for duty in duties if (task := self.tasks.pop(duty, None)) is not None}
        for task in ending.values():
            task.cancel()
        await asyncio.gather(*ending.values(), return_exceptions=True)
        for duty in duties:
            self.holder_driver.holder.mark_stopped(duty)
            log.info("stopped", duty=duty)

    async def run_duty(self, duty: str) -> None:
        """Run the loop of a duty; after an error, log it and start the loop again."""
        while True:
            try:
                await self.duty_loops[duty]()
            except Refusal as e:
                log.info("refused", duty=duty, error=str(e))
            except Exception:
                log.exception("failed", duty=duty)
            await asyncio.sleep(self.record.every)

    async def define_loop(self) -> None:
        """Define duties that have never been defined; one that an operator removed stays removed."""
        while not self.defined >= self.duty_loops.keys():
            await self.define_missing()
            await asyncio.sleep(DEFINE_INTERVAL_S)

    async def define_missing(self) -> None:
        shown = await self.driver.ask(look=Query(DUTIES))
        if not isinstance(shown, QueryResult):
            return
        known = decode_duties(shown)
        for duty in self.duty_loops:
            if duty in known:
                self.defined.add(duty)
            else:
                rule = Rule(float(self.record.length))
                await self.driver.ask(put=duty_command(Define(duty, rule), secrets.token_hex(8)))

    def require_token(self, duty: str) -> int:
        """The fencing token for an action that begins now. Raises DutyLostError."""
        token = self.holder_driver.token(duty)
        if token is None:
            raise DutyLostError(f"the duty {duty} was lost")
        return token

    def fence(self) -> dict[str, int]:
        return {RESUME: self.require_token(RESUME)}

    # `resume`.

    async def resume_loop(self) -> None:
        """Repeatedly look for operations whose tool has died, and resume them."""
        orphans = OrphanTracker(self.record.quiet)
        while True:
            answers = await self.fleet.ask(lambda client: client.operations())
            listings = await self.fleet.ask(lambda client: client.listing())
            for ident in orphans.due_operations(answers, listings, clock()):
                if not await self.resume_operation(ident):
                    orphans.record_failure(ident, clock())
            await asyncio.sleep(min(self.record.every, self.record.quiet / 2))

    async def resume_operation(self, ident: str) -> bool:
        """Resume one operation; returns whether it came to an end, successful or not."""
        token = self.require_token(RESUME)
        view = await self.fleet.refresh_view(FleetView(), time.time)
        self.record_event("resumes", ident, f"under token {token}")
        try:
            ttl = CLAIM_TTL_GRANTS * float(self.record.length)
            operation = await resume(self.fleet, ident, view, ignore_progress, self.fence, ttl)
            operation.interactive = False
            report = await operation.run()
        except Refusal as e:
            self.record_event("resume-refused", ident, str(e))
            return False
        self.record_event("resumed", ident, f"{report.state}{': ' if report.detail else ''}{report.detail}")
        return report.state != "refused"

    # `census`.

    async def census_loop(self) -> None:
        finding_tracker = census.FindingTracker()
        while True:
            current = await self.collect_findings()
            shown = await self.driver.ask(look=Query(findings.NAME))
            if isinstance(shown, QueryResult):
                known: findings.Findings = msgspec.msgpack.decode(shown.body, type=findings.Findings)
                new, ended = finding_tracker.update(
                    current, {key: finding.text for key, finding in known.open.items()}
                )
                if new or ended:
                    await self.report(new, ended, known)
            await asyncio.sleep(self.record.every)

    async def collect_findings(self) -> dict[str, str]:
        """Ask the agents one at a time, with pauses that spread the load of a large fleet."""
        views: dict[str, dict[str, object] | str] = {}
        unreachable: dict[str, str] = {}
        pause = self.record.every / (2 * len(self.fleet.clients))
        for agent, client in sorted(self.fleet.clients.items()):
            self.require_token(CENSUS)
            try:
                listing = await client.listing()
                up = [status.name for status in listing.instances if status.goal == "up"]
                answer = await client.views(up) if up else wire.ViewAnswer()
            except (UnreachableError, RefusedError) as e:
                unreachable[agent] = str(e)
                continue
            for name in up:
                views[f"{agent}/{name}"] = answer.views.get(name) or answer.missing.get(name, "gave no view")
            await asyncio.sleep(pause)
        return census.collect_findings(compare(views), unreachable)

    async def report(self, new: dict[str, str], ended: tuple[str, ...], known: findings.Findings) -> None:
        report = findings.Report(CENSUS, self.require_token(CENSUS), time.time(), new, ended)
        put = CommandRequest(findings.NAME, msgspec.msgpack.encode(report), secrets.token_hex(8))
        done = await self.driver.ask(put=put)
        if not isinstance(done, Committed) or done.why:
            log.warning("report-refused", why=done.why if isinstance(done, Committed) else "no answer")
            return
        for key, text in new.items():
            self.record_event("census-changed" if key in known.open else "census-found", "", f"{key}: {text}")
        for key in ended:
            self.record_event("census-over", "", key)


def ignore_progress(operation: Operation, move: Decision) -> None:
    """Show no progress: each step is in its agent's record anyway."""
