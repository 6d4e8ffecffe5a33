"""Carries out what the pure parts decide: one runtime for each instance, one store, one record of events.

Order of things: a new state is written, then its effects are carried out. Where the store refuses, what
was asked is refused; what was merely seen (an end, an answer) is kept in memory and written later, and no
process is made meanwhile, as a launch that is not on record could not be found again.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

import msgspec
import structlog

from latchspoke import __version__
from latchspoke.agent.config import AgentRecord, InstanceRecord
from latchspoke.agent.process import Launcher, Process
from latchspoke.agent.store import Step, Store, StoreError, Writer
from latchspoke.fleet import claims, lifecycle, steps, wire
from latchspoke.fleet.lifecycle import Answered, Exited, Instance, Phase, RecordEvent, Signal, Spawn, Spawned

log = structlog.get_logger("agent")

TICK = 0.1  # s between looks at what is due by the time alone
HELD_UP = 0.5  # s; a longer gap between two looks says that this agent itself did not run
SILENCE = (Phase.READY, Phase.UNREADY, Phase.STARTING)  # phases that silence alone can end
SIGNALS = {Signal.TERM: signal.SIGTERM, Signal.KILL: signal.SIGKILL, Signal.HUP: signal.SIGHUP}
VIEW_KEPT = ("version", "settings", "file")


class RefusalError(Exception):
    """What was asked is not done; ``status`` is HTTP's, ``code`` is for programs."""

    def __init__(self, status: int, code: str, text: str, claim: claims.Claim | None = None) -> None:
        super().__init__(text)
        self.status, self.code, self.claim = status, code, claim


class Runtime:
    """One instance as this agent runs it."""

    def __init__(self, record: InstanceRecord, state: Instance) -> None:
        self.record, self.state = record, state
        self.limits = record.limits.limits()
        self.process: Process | None = None
        self.unsaved = False
        self.view: dict[str, Any] = {}
        self.task: asyncio.Task[None] | None = None


class Supervisor:
    """All instances of one agent."""

    def __init__(
        self,
        config: AgentRecord,
        store: Store | None,
        why_no_store: str = "",
        clock: Callable[[], float] = time.time,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self.config, self.store, self.why_no_store = config, store, why_no_store
        self.clock, self.draw = clock, draw
        self.launcher = Launcher(config.home)
        self.runtimes: dict[str, Runtime] = {}
        self.claims: claims.Claims = claims.NO_CLAIMS
        self.fences: dict[str, int] = {}
        self.open: dict[tuple[str, str], Step] = {}
        self.revision = 0
        self.certificate_until = 0.0
        self.ticked_at, self.woke_at = clock(), 0.0
        self.news = asyncio.Event()
        self.tasks: set[asyncio.Task[Any]] = set()

    # From start to end.

    async def start(self) -> None:
        """Take up what is on record: find the processes that still run, then start what should."""
        known: dict[str, Instance] = {}
        if self.store is not None:
            known, self.claims = self.store.instances(), self.store.claims()
            self.open = {(s.info.operation, s.info.instance): s for s in self.store.open_steps()}
            self.revision, self.fences = self.store.revision(), self.store.fences()
        for name, record in self.config.instances.items():
            state = known.get(name) or Instance(name, since=self.clock())
            if self.store is None:
                state = replace(state, launch=self.launcher.newest(name), phase=Phase.SILENT)
            self.runtimes[name] = Runtime(record, state)
        await asyncio.gather(*(self.find(runtime) for runtime in self.runtimes.values()))
        for name, runtime in self.runtimes.items():
            if self.store is not None and name not in known and runtime.record.start:
                self.give(runtime, lifecycle.StartRequested())
        self.ticked_at = self.clock()
        self.spend(self.tick_always())

    def stop(self) -> None:
        """The agent ends; its gateways go on."""
        for task in self.tasks:
            task.cancel()
        for runtime in self.runtimes.values():
            if runtime.process is not None:
                runtime.process.forget()
        if self.store is not None:
            self.store.close()

    def spend(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def find(self, runtime: Runtime) -> None:
        """Whether the process on record still runs, and if not how it ended."""
        state = runtime.state
        if not state.alive:
            return
        process = await self.launcher.find(state.name, state.launch, state.pid, state.started)
        if process is not None:
            log.info("found", instance=state.name, pid=process.pid, phase=state.phase.value)
            self.adopt(runtime, process)
            if self.store is None:
                runtime.state = replace(state, pid=process.pid, started=process.started)
            elif not state.pid:
                self.give(runtime, Spawned(process.pid, process.started))
            return
        if self.store is None:
            runtime.state = replace(state, phase=Phase.STOPPED)
            return
        status = await self.launcher.status(state.name, state.launch)
        self.give(runtime, Exited(status))

    def adopt(self, runtime: Runtime, process: Process) -> None:
        runtime.process = process
        launch = runtime.state.launch
        process.on_end(lambda: self.spend(self.gone(runtime, process, launch)))

    async def gone(self, runtime: Runtime, process: Process, launch: int) -> None:
        """A process has ended; its keeper writes how."""
        status = await self.launcher.status(runtime.state.name, launch)
        if runtime.process is process:
            runtime.process = None
            self.give(runtime, Exited(status))

    # Events.

    def give(self, runtime: Runtime, event: lifecycle.Event, **record: Any) -> None:
        """What was seen: never refused, at worst unsaved."""
        state, effects = lifecycle.handle(runtime.state, event, self.clock(), runtime.limits, self.draw())
        if state == runtime.state and not effects:
            return
        if not effects and replace(state, answered_at=0) == replace(runtime.state, answered_at=0):
            runtime.state = state  # an answer like the last: not worth the disk
            return
        try:
            self.save(state, effects, **record)
        except StoreError as e:
            self.lost_store(e)
            state, effects = self.without_launch(state, effects)
            runtime.unsaved = True
        else:
            runtime.unsaved = False
        runtime.state = state
        self.act(runtime, effects)
        self.judge(runtime)

    def without_launch(
        self, state: Instance, effects: list[lifecycle.Effect]
    ) -> tuple[Instance, list[lifecycle.Effect]]:
        """A launch waits until it can be put on record."""
        if not any(isinstance(e, Spawn) for e in effects):
            return state, effects
        waiting = replace(state, phase=Phase.WAITING, launch=state.launch - 1, retry_at=self.clock() + 1.0)
        return waiting, [e for e in effects if not isinstance(e, Spawn)]

    def save(self, state: Instance, effects: Iterable[lifecycle.Effect], step: Step | None = None) -> None:
        store = self.need_store()
        with store.transaction() as writer:
            writer.instance(state)
            if step is not None:
                writer.step(step)
            for note in effects:
                if isinstance(note, RecordEvent):
                    info = step.info if step is not None else None
                    self.note(writer, note.kind, state.name, note.detail, info.operation if info else "")
        self.told_news()

    def note(
        self, writer: Writer, kind: str, instance: str = "", detail: str = "", operation: str = "",
        operator: str = "",
    ) -> None:  # fmt: skip
        event = wire.Event(0, self.clock(), kind, instance, operation, operator, detail)
        self.revision = writer.event(event)
        log.info(kind, instance=instance, operation=operation, operator=operator, detail=detail)

    def record(self, kind: str, **more: str) -> None:
        """An event of its own, such as a refusal; one that can't be written is at least logged."""
        try:
            with self.need_store().transaction() as writer:
                self.note(writer, kind, **more)
            self.told_news()
        except (StoreError, RefusalError) as e:
            log.warning(kind, unrecorded=str(e), **more)

    def told_news(self) -> None:
        news, self.news = self.news, asyncio.Event()
        news.set()

    def need_store(self) -> Store:
        if self.store is None:
            raise StoreError(self.why_no_store)
        return self.store

    def lost_store(self, error: StoreError) -> None:
        if str(error) != self.why_no_store:
            log.error("store", error=str(error))
        self.why_no_store = str(error)

    def act(self, runtime: Runtime, effects: Iterable[lifecycle.Effect]) -> None:
        for effect in effects:
            match effect:
                case Spawn(launch):
                    self.spend(self.spawn(runtime, launch))
                case Signal():
                    if runtime.process is not None:
                        runtime.process.signal(SIGNALS[effect])

    async def spawn(self, runtime: Runtime, launch: int) -> None:
        name = runtime.state.name
        self.launcher.tidy(name, launch)
        told = await self.launcher.start(
            name, launch, self.config.command(name), self.config.environment(name)
        )
        if isinstance(told, str):
            self.give(runtime, lifecycle.SpawnFailed(told))
            return
        self.adopt(runtime, told)
        self.give(runtime, Spawned(told.pid, told.started))

    async def tick_always(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            self.tick()

    def tick(self) -> None:
        now = self.clock()
        if now - self.ticked_at > HELD_UP:
            # This process stood still; that no gateway was heard meanwhile is no fault of theirs.
            log.warning("held-up", seconds=round(now - self.ticked_at, 1))
            self.woke_at = now
        self.ticked_at = now
        for runtime in self.runtimes.values():
            if runtime.unsaved:
                self.save_late(runtime)
            due = lifecycle.next_tick_at(runtime.state, runtime.limits)
            excused = runtime.state.phase in SILENCE and now < self.woke_at + runtime.limits.silence_timeout_s
            if due is not None and due <= now and self.store is not None and not excused:
                self.give(runtime, lifecycle.Tick())
        for step in list(self.open.values()):
            if now >= step.info.until and step.info.instance in self.runtimes:
                self.judge(self.runtimes[step.info.instance])

    def save_late(self, runtime: Runtime) -> None:
        try:
            self.save(runtime.state, [RecordEvent("recorded-late", runtime.state.phase.value)])
        except StoreError as e:
            self.lost_store(e)
            return
        runtime.unsaved, self.why_no_store = False, ""
        self.judge(runtime)

    def answered(self, runtime: Runtime, ready: bool, view: dict[str, Any] | None = None) -> None:
        """A check had an answer."""
        if view is not None:
            runtime.view = {key: view[key] for key in VIEW_KEPT if key in view}
        self.give(runtime, Answered(ready))

    # Operations.

    def judge(self, runtime: Runtime) -> None:
        """Whether steps on this instance are over."""
        for step in [s for s in self.open.values() if s.info.instance == runtime.state.name]:
            info, now = step.info, self.clock()
            verdict = steps.step_outcome(
                info.action, step.base, runtime.state, info.until, now, runtime.limits
            )
            if verdict.state == "doing" or runtime.unsaved:
                continue
            over = msgspec.structs.replace(info, state=verdict.state, detail=verdict.detail, ended_at=now)
            try:
                with self.need_store().transaction() as writer:
                    writer.step(Step(over, step.base))
                    self.note(writer, f"step-{over.state}", info.instance, verdict.detail, info.operation)
            except StoreError as e:
                self.lost_store(e)
                continue
            del self.open[info.operation, info.instance]
            self.told_news()

    def runtime(self, name: str) -> Runtime:
        if name not in self.runtimes:
            raise RefusalError(404, "no-instance", f"agent {self.config.name} has no instance {name}")
        return self.runtimes[name]

    def write(self) -> Store:
        """For what is asked: without a store nothing can be promised."""
        if self.store is None:
            raise RefusalError(503, "store", self.why_no_store)
        return self.store

    def heed(self, fence: dict[str, int], who: str) -> None:
        """Refuse what comes under an older token of a duty than was seen here; remember a newer one first."""
        for duty, token in fence.items():
            newest = self.fences.get(duty, 0)
            if token < newest:
                self.record("fenced", operator=who, detail=f"{duty}: token {token} after {newest}")
                raise RefusalError(409, "fenced", f"token {token} of {duty} is not the newest, {newest} is")
            if token > newest:
                with self.write().transaction() as writer:
                    writer.fence(duty, token)
                self.fences[duty] = token

    def claim(self, asked: wire.ClaimRequest, who: str) -> list[claims.Claim]:
        store = self.write()
        self.heed(asked.fence, who)
        for name in asked.instances:
            self.runtime(name)
        try:
            new = claims.acquire(self.claims, asked.instances, who, asked.operation, asked.ttl, self.clock())
        except claims.ClaimRefusedError as e:
            self.record("claim-refused", instance=e.claim.instance if e.claim else "",
                        operation=asked.operation, operator=who, detail=e.reason)  # fmt: skip
            raise self.claimed(e) from None
        except ValueError as e:
            raise RefusalError(400, "bad-request", str(e)) from None
        with store.transaction() as writer:
            writer.claims(self.claims, new)
            for name in asked.instances:
                self.note(writer, "claimed", name, f"token {new[name].token}", asked.operation, who)
        self.claims = new
        self.told_news()
        return [new[name] for name in asked.instances]

    def claimed(self, error: claims.ClaimRefusedError) -> RefusalError:
        text = error.reason
        if error.claim is not None:
            held = error.claim
            text += f": {held.holder} holds it for {held.operation} since {held.since:.3f}"
        return RefusalError(409, "claimed", text, error.claim)

    def renew(self, asked: wire.TokenRequest) -> list[claims.Claim]:
        store = self.write()
        try:
            new = claims.renew(self.claims, asked.tokens, asked.ttl, self.clock())
        except claims.ClaimRefusedError as e:
            raise self.claimed(e) from None
        with store.transaction() as writer:
            writer.claims(self.claims, new)
        self.claims = new
        return [new[name] for name in asked.tokens]

    def release(self, asked: wire.TokenRequest) -> None:
        store = self.write()
        new = claims.release(self.claims, asked.tokens)
        with store.transaction() as writer:
            writer.claims(self.claims, new)
        self.claims = new
        self.told_news()

    def step(self, asked: wire.StepRequest, who: str) -> wire.StepInfo:
        """Begin a step, once: asked again, the answer is how it stands."""
        store, runtime, now = self.write(), self.runtime(asked.instance), self.clock()
        self.heed(asked.fence, who)
        event = steps.ACTION_EVENTS.get(asked.action)
        if event is None:
            raise RefusalError(400, "bad-request", f"no such action: {asked.action}")
        try:
            claim = claims.check_token(self.claims, asked.instance, asked.token, now)
        except claims.ClaimRefusedError as e:
            self.record("step-refused", instance=asked.instance, operation=asked.operation, operator=who,
                        detail=e.reason)  # fmt: skip
            raise self.claimed(e) from None
        if (claim.operation, claim.holder) != (asked.operation, who):
            raise RefusalError(409, "claimed", f"{asked.instance} is claimed for another operation", claim)
        if (known := store.step(asked.operation, asked.instance)) is not None:
            return known.info
        base = runtime.state
        info = wire.StepInfo(
            asked.operation, asked.instance, asked.action, "doing", asked.token, now, now + asked.limit,
            base_launch=base.launch,
        )  # fmt: skip
        try:
            state, effects = lifecycle.handle(base, event, now, runtime.limits, self.draw())
        except lifecycle.InvalidPhaseError as e:
            # On record too: whoever goes on with the operation must not try it again and again.
            over = msgspec.structs.replace(info, state="failed", detail=str(e), ended_at=now)
            self.save(base, [RecordEvent("step-failed", str(e))], step=Step(over, base))
            return over
        begun = Step(info, base)
        self.save(state, [RecordEvent("step-begun", f"{asked.action} by {who}"), *effects], step=begun)
        self.open[asked.operation, asked.instance] = begun
        runtime.state, runtime.unsaved = state, False
        self.act(runtime, effects)
        self.judge(runtime)
        return (store.step(asked.operation, asked.instance) or begun).info

    def put_operation(self, plan: wire.OperationPlan, who: str) -> wire.OperationStatus:
        """Store a plan, once: one id never stands for two plans."""
        store = self.write()
        known = store.operation(plan.id)
        if known is not None:
            if known.plan != plan:
                raise RefusalError(409, "operation", f"operation {plan.id} is there with another plan")
            if known.state == "interrupted":
                known = msgspec.structs.replace(known, state="open", detail="")
                with store.transaction() as writer:
                    writer.operation(known)
                    self.note(writer, "operation-resumed", "", "", plan.id, who)
                self.told_news()
            return self.with_steps(known)
        made = wire.OperationStatus(plan)
        with store.transaction() as writer:
            writer.operation(made)
            self.note(writer, "operation", "", f"{plan.action}: {plan.reason}", plan.id, who)
        self.told_news()
        return made

    def close_operation(self, ident: str, asked: wire.CloseOperation, who: str) -> wire.OperationStatus:
        store = self.write()
        known = self.operation(ident)
        now = self.clock()
        for claim in self.claims.values():
            if claim.operation == ident and claim.holder != who and claim.is_live(now):
                # A tool that woke up late must not end what another has gone on with.
                raise RefusalError(409, "claimed", f"{claim.holder} is going on with {ident}", claim)
        closed = msgspec.structs.replace(known, state=asked.state, detail=asked.detail, steps=[])
        with store.transaction() as writer:
            writer.operation(closed)
            self.note(writer, f"operation-{asked.state}", "", asked.detail, ident, who)
        self.told_news()
        return self.with_steps(closed)

    def operation(self, ident: str) -> wire.OperationStatus:
        known = self.write().operation(ident)
        if known is None:
            raise RefusalError(404, "no-operation", f"agent {self.config.name} has no operation {ident}")
        return self.with_steps(known)

    def operations(self) -> list[wire.OperationStatus]:
        return [self.with_steps(known) for known in self.write().operations()]

    def with_steps(self, known: wire.OperationStatus) -> wire.OperationStatus:
        infos = [step.info for step in self.write().steps(known.plan.id)]
        return msgspec.structs.replace(known, steps=infos)

    # What is told.

    def listing(self) -> wire.Listing:
        names = sorted(self.runtimes)
        return wire.Listing(self.agent_status(), [self.status(name) for name in names])

    def agent_status(self) -> wire.AgentStatus:
        return wire.AgentStatus(
            self.config.name, self.config.name, __version__, self.clock(), revision=self.revision,
            store=self.why_no_store, certificate_until=self.certificate_until,
        )  # fmt: skip

    def status(self, name: str) -> wire.InstanceStatus:
        runtime, now = self.runtime(name), self.clock()
        state, view = runtime.state, runtime.view if runtime.state.alive else {}
        claim = self.claims.get(name)
        step = max((s.info for s in self.open.values() if s.info.instance == name),
                   key=lambda info: info.since, default=None)  # fmt: skip
        return wire.InstanceStatus(
            name, runtime.record.zone, state.state_label(now, runtime.limits), state.phase.value,
            state.goal.value,
            state.since, listen=runtime.record.listen, pid=state.pid, launch=state.launch,
            end=state.end.value, end_detail=state.end_detail, ended_at=state.ended_at,
            crashes=state.crashes, retry_at=state.retry_at, kill_at=state.kill_at,
            answered_at=state.answered_at, version=view.get("version", ""),
            settings=view.get("settings", {}).get("digest", ""),
            taken_up=view.get("file", {}).get("taken_up"),
            claim=claim_info(claim) if claim is not None and claim.is_live(now) else None, step=step,
        )  # fmt: skip


def claim_info(claim: claims.Claim) -> wire.ClaimInfo:
    return wire.ClaimInfo(
        claim.instance, claim.token, claim.holder, claim.operation, claim.since, claim.expires
    )
