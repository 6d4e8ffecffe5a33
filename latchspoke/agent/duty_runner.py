"""The program's own duties, for which an agent stands: `resume` and `census`.

Each runs as a task while this agent holds it, asks for its token just before each act, and is ended before
the grant is. What it acts on knows the token: agents refuse a claim or a step under an older one, and the log
takes a census's report only under the newest.
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
from latchspoke.agent.holder_driver import LIMIT, HolderDriver
from latchspoke.agent.members import MemberDriver, clock
from latchspoke.agent.operations import Operation, Refusal, resume
from latchspoke.duties import findings
from latchspoke.duties.machine import NAME as DUTIES
from latchspoke.duties.office import Done, Look, Put, Shown, put_duty, read_duties
from latchspoke.duties.records import Answer, Beat, Candidate, Define, Rule
from latchspoke.fleet import census, wire
from latchspoke.fleet.compare import compare
from latchspoke.fleet.resuming import Orphans
from latchspoke.fleet.rollout import Move
from latchspoke.fleet.view import FleetView

log = structlog.get_logger("agent.duties")

LOOK = 0.05  # s between looks at what is to be begun or stopped
TTL_GRANTS = 2  # grants that claims last: whoever comes next waits for their lapse
DEFINE = 0.5  # s between looks at whether there are such duties
STOP = 1.0  # s that a duty's work may need to stop
RESUME, CENSUS = "resume", "census"


class DutyLostError(Refusal):
    """The duty is no longer held here."""


class DutyRunner:
    """This agent as a holder; ``note`` puts an event on its record."""

    def __init__(
        self,
        driver: MemberDriver,
        record: DutiesRecord,
        fleet: Fleet,
        note: Callable[[str, str, str], None],
    ) -> None:
        self.driver, self.record, self.fleet, self.note = driver, record, fleet, note
        wanted: dict[str, Callable[[], Awaitable[None]]] = {}
        if record.resume:
            wanted[RESUME] = self.resume_always
        if record.census:
            wanted[CENSUS] = self.census_always
        self.wanted = wanted
        who = Candidate(driver.name, secrets.token_hex(4), "", __version__, tuple(wanted))
        self.holding = HolderDriver(who, self.ask, STOP)
        self.defined: set[str] = set()
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.task = asyncio.get_running_loop().create_task(self.work())

    async def stop(self) -> None:
        """What is held is given back, so that nobody waits for its end."""
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task
        await self.fleet.__aexit__()

    async def ask(self, beat: Beat, place: int) -> Answer | None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LIMIT):
                reply = await self.driver.ask(beat=beat)
                return reply if isinstance(reply, Answer) else None
        return None

    # Holding.

    async def work(self) -> None:
        async with self.holding:
            # Apart: what waits for an answer must not hold up what has to stop in time.
            defining = asyncio.get_running_loop().create_task(self.define_all())
            try:
                while True:
                    try:
                        await self.look()
                    except Exception:
                        log.exception("failed", duty="")
                    await asyncio.sleep(LOOK)
            finally:
                defining.cancel()
                await self.end(list(self.tasks))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(STOP):
                        await self.holding.tell()

    async def look(self) -> None:
        holder = self.holding.holder
        await self.end(holder.to_stop(clock()))
        for duty, right in holder.rights.items():
            if duty not in self.tasks and not right.stopping and self.holding.token(duty) is not None:
                log.info("begins", duty=duty, token=right.token)
                self.tasks[duty] = asyncio.get_running_loop().create_task(self.carry_on(duty))

    async def end(self, duties: list[str]) -> None:
        ending = {duty: task for duty in duties if (task := self.tasks.pop(duty, None)) is not None}
        for task in ending.values():
            task.cancel()
        await asyncio.gather(*ending.values(), return_exceptions=True)
        for duty in duties:
            self.holding.holder.stopped(duty)
            log.info("stopped", duty=duty)

    async def carry_on(self, duty: str) -> None:
        """A fault in one look at the fleet does not end the duty: it is logged, and the next look comes."""
        while True:
            try:
                await self.wanted[duty]()
            except Refusal as e:
                log.info("refused", duty=duty, error=str(e))
            except Exception:
                log.exception("failed", duty=duty)
            await asyncio.sleep(self.record.every)

    async def define_all(self) -> None:
        """Duties that nobody has ever heard of are made; one that an operator removed stays so."""
        while not self.defined >= self.wanted.keys():
            await self.define()
            await asyncio.sleep(DEFINE)

    async def define(self) -> None:
        shown = await self.driver.ask(look=Look(DUTIES))
        if not isinstance(shown, Shown):
            return
        known = read_duties(shown)
        for duty in self.wanted:
            if duty in known:
                self.defined.add(duty)
            else:
                rule = Rule(float(self.record.length))
                await self.driver.ask(put=put_duty(Define(duty, rule), secrets.token_hex(8)))

    def token(self, duty: str) -> int:
        """For an act that begins now. Raises LostError."""
        token = self.holding.token(duty)
        if token is None:
            raise DutyLostError(f"the duty {duty} was lost")
        return token

    def fence(self) -> dict[str, int]:
        return {RESUME: self.token(RESUME)}

    # `resume`.

    async def resume_always(self) -> None:
        """Look, go on with what its tool has left, look again."""
        orphans = Orphans(self.record.quiet)
        while True:
            told = await self.fleet.ask(lambda client: client.operations())
            listings = await self.fleet.ask(lambda client: client.listing())
            for ident in orphans.due(told, listings, clock()):
                if not await self.resume(ident):
                    orphans.in_vain(ident, clock())
            await asyncio.sleep(min(self.record.every, self.record.quiet / 2))

    async def resume(self, ident: str) -> bool:
        """Whether it has come to an end, good or bad."""
        token = self.token(RESUME)
        view = await self.fleet.refresh_view(FleetView(), time.time)
        self.note("resumes", ident, f"under token {token}")
        try:
            ttl = TTL_GRANTS * float(self.record.length)
            operation = await resume(self.fleet, ident, view, quietly, self.fence, ttl)
            operation.personal = False
            report = await operation.run()
        except Refusal as e:
            self.note("resume-refused", ident, str(e))
            return False
        self.note("resumed", ident, f"{report.state}{': ' if report.detail else ''}{report.detail}")
        return report.state != "refused"

    # `census`.

    async def census_always(self) -> None:
        news = census.News()
        while True:
            found = await self.look_at_fleet()
            shown = await self.driver.ask(look=Look(findings.NAME))
            if isinstance(shown, Shown):
                known: findings.Findings = msgspec.msgpack.decode(shown.body, type=findings.Findings)
                new, over = news.of(found, {key: one.text for key, one in known.open.items()})
                if new or over:
                    await self.report(new, over, known)
            await asyncio.sleep(self.record.every)

    async def look_at_fleet(self) -> dict[str, str]:
        """Agent after agent at a pace, so that a census of many is nobody's burden."""
        views: dict[str, dict[str, object] | str] = {}
        silent: dict[str, str] = {}
        pause = self.record.every / (2 * len(self.fleet.clients))
        for agent, client in sorted(self.fleet.clients.items()):
            self.token(CENSUS)
            try:
                listing = await client.listing()
                up = [status.name for status in listing.instances if status.goal == "up"]
                told = await client.views(up) if up else wire.ViewAnswer()
            except (UnreachableError, RefusedError) as e:
                silent[agent] = str(e)
                continue
            for name in up:
                views[f"{agent}/{name}"] = told.views.get(name) or told.missing.get(name, "gave no view")
            await asyncio.sleep(pause)
        return census.findings(compare(views), silent)

    async def report(self, new: dict[str, str], over: tuple[str, ...], known: findings.Findings) -> None:
        told = findings.Report(CENSUS, self.token(CENSUS), time.time(), new, over)
        put = Put(findings.NAME, msgspec.msgpack.encode(told), secrets.token_hex(8))
        done = await self.driver.ask(put=put)
        if not isinstance(done, Done) or done.why:
            log.warning("report-refused", why=done.why if isinstance(done, Done) else "no answer")
            return
        for key, text in new.items():
            self.note("census-changed" if key in known.open else "census-found", "", f"{key}: {text}")
        for key in over:
            self.note("census-over", "", key)


def quietly(operation: Operation, move: Move) -> None:
    """Each step is in its agent's record anyway."""
