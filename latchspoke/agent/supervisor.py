"""Runs all gateway instances of one host: applies lifecycle decisions, stores state and records events.

A new state is written to the store before its effects are carried out. If the write fails, a requested
operation is refused, while an observation (a process exit, a health-check answer) is kept in memory and
written later. No process is started meanwhile, since a launch that is not stored could not be found again
after a restart of the agent.
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

TICK_INTERVAL_S = 0.1
STALL_THRESHOLD_S = 0.5  # a longer gap between two ticks means that the agent itself was not running
PHASES_ENDED_BY_SILENCE = (Phase.READY, Phase.UNREADY, Phase.STARTING)
SIGNALS = {Signal.TERM: signal.SIGTERM, Signal.KILL: signal.SIGKILL, Signal.HUP: signal.SIGHUP}
VIEW_FIELDS_KEPT = ("version", "settings", "file")


class RefusalError(Exception):
    """A request was refused; ``status`` is the HTTP status, ``code`` identifies the reason to programs."""

    def __init__(self, status: int, code: str, text: str, claim: claims.Claim | None = None) -> None:
        super().__init__(text)
        self.status, self.code, self.claim = status, code, claim


class Runtime:
    """One instance: its configuration, its lifecycle state and its process."""

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
        store_error: str = "",
        clock: Callable[[], float] = time.time,
        random_fraction: Callable[[], float] = random.random,
    ) -> None:
        self.config, self.store, self.store_error = config, store, store_error
        self.clock, self.random_fraction = clock, random_fraction
        self.launcher = Launcher(config.home)
        self.runtimes: dict[str, Runtime] = {}
        self.claims: claims.Claims = claims.NO_CLAIMS
        self.fences: dict[str, int] = {}
        self.open_steps: dict[tuple[str, str], Step] = {}
        self.revision = 0
        self.certificate_until = 0.0
        self.last_tick_at, self.resumed_at = clock(), 0.0
        self.events_changed = asyncio.Event()
        self.tasks: set[asyncio.Task[Any]] = set()

    # Startup and shutdown.

    async def start(self) -> None:
        """Restore the stored state, find the processes that still run, then start new instances."""
        known: dict[str, Instance] = {}
        if self.store is not None:
            known, self.claims = self.store.instances(), self.store.claims()
            self.open_steps = {(s.info.operation, s.info.instance): s for s in self.store.open_steps()}
            self.revision, self.fences = self.store.revision(), self.store.fences()
        for name, record in self.config.instances.items():
            state = known.get(name) or Instance(name, since=self.clock())
            if self.store is None:
                state = replace(state, launch=self.launcher.newest_launch(name), phase=Phase.SILENT)
            self.runtimes[name] = Runtime(record, state)
        await asyncio.gather(*(self.find_process(runtime) for runtime in self.runtimes.values()))
        for name, runtime in self.runtimes.items():
            if self.store is not None and name not in known and runtime.record.start:
                self.handle_event(runtime, lifecycle.StartRequested())
        self.last_tick_at = self.clock()
        self.start_task(self.tick_loop())

    def stop(self) -> None:
        """Stop the agent; its gateways keep running."""
        for task in self.tasks:
            task.cancel()
        for runtime in self.runtimes.values():
            if runtime.process is not None:
                runtime.process.stop_watching()
        if self.store is not None:
            self.store.close()

    def start_task(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def find_process(self, runtime: Runtime) -> None:
        """Adopt the recorded process if it still runs; otherwise handle its exit."""
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
                self.handle_event(runtime, Spawned(process.pid, process.started))
            return
        if self.store is None:
            runtime.state = replace(state, phase=Phase.STOPPED)
            return
        status = await self.launcher.status(state.name, state.launch)
        self.handle_event(runtime, Exited(status))

    def adopt(self, runtime: Runtime, process: Process) -> None:
        runtime.process = process
        launch = runtime.state.launch
        process.on_end(lambda: self.start_task(self.process_ended(runtime, process, launch)))

    async def process_ended(self, runtime: Runtime, process: Process, launch: int) -> None:
        """Handle the end of a process; its wrapper shell writes the exit status."""
        status = await self.launcher.status(runtime.state.name, launch)
        if runtime.process is process:
            runtime.process = None
            self.handle_event(runtime, Exited(status))

    # Events.

    def handle_event(self, runtime: Runtime, event: lifecycle.Event, **record: Any) -> None:
        """Apply an observed event. If the write fails, the new state is applied and marked as unsaved."""
        state, effects = lifecycle.handle(
            runtime.state, event, self.clock(), runtime.limits, self.random_fraction()
        )
        if state == runtime.state and not effects:
            return
        if not effects and replace(state, answered_at=0) == replace(runtime.state, answered_at=0):
            runtime.state = state  # only the time of the last answer changed: not written
            return
        try:
            self.save(state, effects, **record)
        except StoreError as e:
            self.note_store_error(e)
            state, effects = self.postpone_launch(state, effects)
            runtime.unsaved = True
        else:
            runtime.unsaved = False
        runtime.state = state
        self.carry_out(runtime, effects)
        self.finish_steps(runtime)

    def postpone_launch(
        self, state: Instance, effects: list[lifecycle.Effect]
    ) -> tuple[Instance, list[lifecycle.Effect]]:
        """Postpone a launch that could not be stored."""
        if not any(isinstance(e, Spawn) for e in effects):
            return state, effects
        waiting = replace(state, phase=Phase.WAITING, launch=state.launch - 1, retry_at=self.clock() + 1.0)
        return waiting, [e for e in effects if not isinstance(e, Spawn)]

    def save(self, state: Instance, effects: Iterable[lifecycle.Effect], step: Step | None = None) -> None:
        store = self.require_store()
        with store.transaction() as writer:
            writer.instance(state)
            if step is not None:
                writer.step(step)
            for effect in effects:
                if isinstance(effect, RecordEvent):
                    info = step.info if step is not None else None
                    self.append_event(
                        writer, effect.kind, state.name, effect.detail, info.operation if info else ""
                    )
        self.notify_watchers()

    def append_event(
        self, writer: Writer, kind: str, instance: str = "", detail: str = "", operation: str = "",
        operator: str = "",
    ) -> None:  # fmt: skip
        event = wire.Event(0, self.clock(), kind, instance, operation, operator, detail)
        self.revision = writer.event(event)
        log.info(kind, instance=instance, operation=operation, operator=operator, detail=detail)

    def record(self, kind: str, **fields: str) -> None:
        """Record an event, such as a refusal, in a transaction of its own; log it if the write fails."""
        try:
            with self.require_store().transaction() as writer:
                self.append_event(writer, kind, **fields)
            self.notify_watchers()
        except (StoreError, RefusalError) as e:
            log.warning(kind, unrecorded=str(e), **fields)

    def notify_watchers(self) -> None:
        events_changed, self.events_changed = self.events_changed, asyncio.Event()
        events_changed.set()

    def require_store(self) -> Store:
        if self.store is None:
            raise StoreError(self.store_error)
        return self.store

    def note_store_error(self, error: StoreError) -> None:
        if str(error) != self.store_error:
            log.error("store", error=str(error))
        self.store_error = str(error)

    def carry_out(self, runtime: Runtime, effects: Iterable[lifecycle.Effect]) -> None:
        for effect in effects:
            match effect:
                case Spawn(launch):
                    self.start_task(self.spawn(runtime, launch))
                case Signal():
                    if runtime.process is not None:
                        runtime.process.signal(SIGNALS[effect])

    async def spawn(self, runtime: Runtime, launch: int) -> None:
        name = runtime.state.name
        self.launcher.remove_old_folders(name, launch)
        launched = await self.launcher.start(
            name, launch, self.config.command(name), self.config.environment(name)
        )
        if isinstance(launched, str):
            self.handle_event(runtime, lifecycle.SpawnFailed(launched))
            return
        self.adopt(runtime, launched)
        self.handle_event(runtime, Spawned(launched.pid, launched.started))

    async def tick_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick()

    def tick(self) -> None:
        now = self.clock()
        if now - self.last_tick_at > STALL_THRESHOLD_S:
            # The agent itself was suspended, so gateways are not blamed for silence in that time.
            log.warning("held-up", seconds=round(now - self.last_tick_at, 1))
            self.resumed_at = now
        self.last_tick_at = now
        for runtime in self.runtimes.values():
            if runtime.unsaved:
                self.save_unsaved(runtime)
            due = lifecycle.next_tick_at(runtime.state, runtime.limits)
            silence_excused = (
                runtime.state.phase in PHASES_ENDED_BY_SILENCE
                and now < self.resumed_at + runtime.limits.silence_timeout_s
            )
            if due is not None and due <= now and self.store is not None and not silence_excused:
                self.handle_event(runtime, lifecycle.Tick())
        for step in list(self.open_steps.values()):
            if now >= step.info.until and step.info.instance in self.runtimes:
                self.finish_steps(self.runtimes[step.info.instance])

    def save_unsaved(self, runtime: Runtime) -> None:
        try:
            self.save(runtime.state, [RecordEvent("recorded-late", runtime.state.phase.value)])
        except StoreError as e:
            self.note_store_error(e)
            return
        runtime.unsaved, self.store_error = False, ""
        self.finish_steps(runtime)

    def answered(self, runtime: Runtime, ready: bool, view: dict[str, Any] | None = None) -> None:
        """Handle the answer to a health check."""
        if view is not None:
            runtime.view = {key: view[key] for key in VIEW_FIELDS_KEPT if key in view}
        self.handle_event(runtime, Answered(ready))

    # Operations.

    def finish_steps(self, runtime: Runtime) -> None:
        """Record the outcome of this instance's open steps that have finished."""
        for step in [s for s in self.open_steps.values() if s.info.instance == runtime.state.name]:
            info, now = step.info, self.clock()
            verdict = steps.step_outcome(
                info.action, step.base, runtime.state, info.until, now, runtime.limits
            )
            if verdict.state == "doing" or runtime.unsaved:
                continue
            finished = msgspec.structs.replace(info, state=verdict.state, detail=verdict.detail, ended_at=now)
            try:
                with self.require_store().transaction() as writer:
                    writer.step(Step(finished, step.base))
                    self.append_event(
                        writer, f"step-{finished.state}", info.instance, verdict.detail, info.operation
                    )
            except StoreError as e:
                self.note_store_error(e)
                continue
            del self.open_steps[info.operation, info.instance]
            self.notify_watchers()

    def runtime(self, name: str) -> Runtime:
        if name not in self.runtimes:
            raise RefusalError(404, "no-instance", f"agent {self.config.name} has no instance {name}")
        return self.runtimes[name]

    def require_operations_store(self) -> Store:
        """The store, for a requested operation. Raises RefusalError where there is none."""
        if self.store is None:
            raise RefusalError(503, "store", self.store_error)
        return self.store

    def check_fence(self, fence: dict[str, int], operator: str) -> None:
        """Refuse a fencing token older than the newest one seen for its duty; store a newer one first."""
        for duty, token in fence.items():
            newest = self.fences.get(duty, 0)
            if token < newest:
                self.record("fenced", operator=operator, detail=f"{duty}: token {token} after {newest}")
                raise RefusalError(409, "fenced", f"token {token} of {duty} is not the newest, {newest} is")
            if token > newest:
                with self.require_operations_store().transaction() as writer:
                    writer.fence(duty, token)
                self.fences[duty] = token

    def claim(self, request: wire.ClaimRequest, operator: str) -> list[claims.Claim]:
        store = self.require_operations_store()
        self.check_fence(request.fence, operator)
        for name in request.instances:
            self.runtime(name)
        try:
            new = claims.acquire(
                self.claims, request.instances, operator, request.operation, request.ttl, self.clock()
            )
        except claims.ClaimRefusedError as e:
            self.record("claim-refused", instance=e.claim.instance if e.claim else "",
                        operation=request.operation, operator=operator, detail=e.reason)  # fmt: skip
            raise self.claim_refusal(e) from None
        except ValueError as e:
            raise RefusalError(400, "bad-request", str(e)) from None
        with store.transaction() as writer:
            writer.claims(self.claims, new)
            for name in request.instances:
                self.append_event(
                    writer, "claimed", name, f"token {new[name].token}", request.operation, operator
                )
        self.claims = new
        self.notify_watchers()
        return [new[name] for name in request.instances]

    def claim_refusal(self, error: claims.ClaimRefusedError) -> RefusalError:
        text = error.reason
        if error.claim is not None:
            claim = error.claim
            text += f": {claim.holder} holds it for {claim.operation} since {claim.since:.3f}"
        return RefusalError(409, "claimed", text, error.claim)

    def renew(self, request: wire.TokenRequest) -> list[claims.Claim]:
        store = self.require_operations_store()
        try:
            new = claims.renew(self.claims, request.tokens, request.ttl, self.clock())
        except claims.ClaimRefusedError as e:
            raise self.claim_refusal(e) from None
        with store.transaction() as writer:
            writer.claims(self.claims, new)
        self.claims = new
        return [new[name] for name in request.tokens]

    def release(self, request: wire.TokenRequest) -> None:
        store = self.require_operations_store()
        new = claims.release(self.claims, request.tokens)
        with store.transaction() as writer:
            writer.claims(self.claims, new)
        self.claims = new
        self.notify_watchers()

    def step(self, request: wire.StepRequest, operator: str) -> wire.StepInfo:
        """Begin a step, idempotently: a repeated request returns the step's current state."""
        store, runtime, now = self.require_operations_store(), self.runtime(request.instance), self.clock()
        self.check_fence(request.fence, operator)
        event = steps.ACTION_EVENTS.get(request.action)
        if event is None:
            raise RefusalError(400, "bad-request", f"no such action: {request.action}")
        try:
            claim = claims.check_token(self.claims, request.instance, request.token, now)
        except claims.ClaimRefusedError as e:
            self.record("step-refused", instance=request.instance, operation=request.operation,
                        operator=operator, detail=e.reason)  # fmt: skip
            raise self.claim_refusal(e) from None
        if (claim.operation, claim.holder) != (request.operation, operator):
            raise RefusalError(409, "claimed", f"{request.instance} is claimed for another operation", claim)
        if (known := store.step(request.operation, request.instance)) is not None:
            return known.info
        base = runtime.state
        info = wire.StepInfo(
            request.operation, request.instance, request.action, "doing", request.token, now,
            now + request.limit, base_launch=base.launch,
        )  # fmt: skip
        try:
            state, effects = lifecycle.handle(base, event, now, runtime.limits, self.random_fraction())
        except lifecycle.InvalidPhaseError as e:
            # Stored as well, so that a tool that resumes the operation does not retry the step.
            failed = msgspec.structs.replace(info, state="failed", detail=str(e), ended_at=now)
            self.save(base, [RecordEvent("step-failed", str(e))], step=Step(failed, base))
            return failed
        begun_step = Step(info, base)
        self.save(
            state, [RecordEvent("step-begun", f"{request.action} by {operator}"), *effects], step=begun_step
        )
        self.open_steps[request.operation, request.instance] = begun_step
        runtime.state, runtime.unsaved = state, False
        self.carry_out(runtime, effects)
        self.finish_steps(runtime)
        return (store.step(request.operation, request.instance) or begun_step).info

    def put_operation(self, plan: wire.OperationPlan, operator: str) -> wire.OperationStatus:
        """Store a plan, idempotently; refuse another plan under the same ID."""
        store = self.require_operations_store()
        known = store.operation(plan.id)
        if known is not None:
            if known.plan != plan:
                raise RefusalError(409, "operation", f"operation {plan.id} is there with another plan")
            if known.state == "interrupted":
                known = msgspec.structs.replace(known, state="open", detail="")
                with store.transaction() as writer:
                    writer.operation(known)
                    self.append_event(writer, "operation-resumed", "", "", plan.id, operator)
                self.notify_watchers()
            return self.with_recorded_steps(known)
        status = wire.OperationStatus(plan)
        with store.transaction() as writer:
            writer.operation(status)
            self.append_event(writer, "operation", "", f"{plan.action}: {plan.reason}", plan.id, operator)
        self.notify_watchers()
        return status

    def close_operation(
        self, ident: str, request: wire.CloseOperation, operator: str
    ) -> wire.OperationStatus:
        store = self.require_operations_store()
        known = self.operation(ident)
        now = self.clock()
        for claim in self.claims.values():
            if claim.operation == ident and claim.holder != operator and claim.is_live(now):
                # A tool that was suspended must not close an operation that another one has resumed.
                raise RefusalError(409, "claimed", f"{claim.holder} is going on with {ident}", claim)
        closed = msgspec.structs.replace(known, state=request.state, detail=request.detail, steps=[])
        with store.transaction() as writer:
            writer.operation(closed)
            self.append_event(writer, f"operation-{request.state}", "", request.detail, ident, operator)
        self.notify_watchers()
        return self.with_recorded_steps(closed)

    def operation(self, ident: str) -> wire.OperationStatus:
        known = self.require_operations_store().operation(ident)
        if known is None:
            raise RefusalError(404, "no-operation", f"agent {self.config.name} has no operation {ident}")
        return self.with_recorded_steps(known)

    def operations(self) -> list[wire.OperationStatus]:
        return [self.with_recorded_steps(known) for known in self.require_operations_store().operations()]

    def with_recorded_steps(self, known: wire.OperationStatus) -> wire.OperationStatus:
        step_infos = [step.info for step in self.require_operations_store().steps(known.plan.id)]
        return msgspec.structs.replace(known, steps=step_infos)

    # Status.

    def listing(self) -> wire.Listing:
        names = sorted(self.runtimes)
        return wire.Listing(self.agent_status(), [self.status(name) for name in names])

    def agent_status(self) -> wire.AgentStatus:
        return wire.AgentStatus(
            self.config.name, self.config.name, __version__, self.clock(), revision=self.revision,
            store=self.store_error, certificate_until=self.certificate_until,
        )  # fmt: skip

    def status(self, name: str) -> wire.InstanceStatus:
        runtime, now = self.runtime(name), self.clock()
        state, view = runtime.state, runtime.view if runtime.state.alive else {}
        claim = self.claims.get(name)
        step = max((s.info for s in self.open_steps.values() if s.info.instance == name),
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
