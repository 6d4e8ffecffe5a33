"""Carries out an operation over many agents, from its plan to its report.

All state is kept by the agents: each agent involved stores the plan before the first step, and records a step
before carrying it out. The next step follows from these records and the state of the fleet, so another tool
can resume the operation at any time. Steps are idempotent: a repeated request returns the step's state.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
import structlog

from latchspoke.agent.client import Fleet, RefusedError, UnreachableError
from latchspoke.fleet import wire
from latchspoke.fleet.rollout import Decision, Done, StartSteps, StepState, StepStatus, Stop, Wait, decide
from latchspoke.fleet.view import FleetView

log = structlog.get_logger("operation")

CLAIM_TTL_S = 20.0  # for so long a tool that has died blocks others
RENEW_FRACTION = 0.25  # of a claim's lifetime; then it is renewed
POLL_INTERVAL_S = 0.2
STEP_STATES = {"doing": StepState.RUNNING, "done": StepState.DONE, "failed": StepState.FAILED}


class Outcome(msgspec.Struct, frozen=True):
    """The outcome for one instance: ``done``, ``failed``, ``unknown`` or ``not begun``."""

    id: str
    outcome: str
    detail: str
    state: str
    last_known: str
    heard_ago: float
    began: float = 0.0
    ended: float = 0.0


class Report(msgspec.Struct, frozen=True):
    """The result of an operation. ``state`` is done, stopped, refused or interrupted."""

    operation: str
    action: str
    state: str
    detail: str
    instances: list[Outcome]
    took: float

    def exit_code(self) -> int:
        """0: all done, 1: refused or not begun, 3: some failed, 4: some unknown (takes precedence over 3)."""
        outcomes = {item.outcome for item in self.instances}
        if self.state == "refused":
            return 1
        if "unknown" in outcomes:
            return 4
        if "failed" in outcomes:
            return 3
        return 0 if outcomes <= {"done"} and self.state == "done" else 1


class Refusal(Exception):  # noqa: N818  (an outcome, not an error)
    """The operation was not begun, or can't go on; the message is one line with the reason."""


def split_id(ident: str) -> tuple[str, str]:
    agent, _, name = ident.partition("/")
    return agent, name


class Operation:
    """One operation as carried out by this process."""

    def __init__(
        self,
        fleet: Fleet,
        plan: wire.OperationPlan,
        view: FleetView,
        clock: Callable[[], float] = time.time,
        on_progress: Callable[[Operation, Decision], None] = lambda operation, move: None,
        fence: Callable[[], dict[str, int]] = dict,
        ttl: float | None = None,
    ) -> None:
        """``ttl`` is the lifetime of its claims in seconds.

        ``fence`` is called before each action and returns the fencing token of the duty under which the
        operation runs; it raises Refusal if the duty was lost.
        """
        self.fence, self.ttl = fence, CLAIM_TTL_S if ttl is None else ttl
        self.interactive = True  # run by a person: cancellation closes the operation as interrupted
        self.fleet, self.plan, self.view, self.clock = fleet, plan, view, clock
        self.on_progress = on_progress
        self.steps: dict[str, StepStatus] = {}
        self.step_infos: dict[str, wire.StepInfo] = {}
        self.tokens: dict[str, dict[str, int]] = {}  # by agent, then by instance
        self.unavailable_since: float | None = None
        self.started_at = clock()
        self.not_begun = True  # by this process or an earlier one
        self.log = log.bind(operation=plan.id, action=plan.action)
        self.targets: dict[str, list[str]] = {}
        for ident in [ident for wave in plan.waves for ident in wave]:
            agent, name = split_id(ident)
            self.targets.setdefault(agent, []).append(name)

    async def run(self) -> Report:
        """Run the operation; the report is made in any case, also when interrupted."""
        renewing: asyncio.Task[None] | None = None
        try:
            await self.put_plan()
            await self.claim_all()
            renewing = asyncio.get_running_loop().create_task(self.renew_loop())
            move = await self.run_steps()
        except Refusal as e:
            # An operation that was begun stays open, to be continued or resumed by another process.
            await (self.close("abandoned", str(e)) if self.not_begun else self.release_claims())
            return self.report("refused", str(e))
        except asyncio.CancelledError:
            # Interrupted by a person, it is resumed on request only; otherwise the next holder continues it.
            await asyncio.shield(
                self.close("interrupted", "by its operator") if self.interactive else self.release_claims()
            )
            return self.report("interrupted", f"go on with: latchspoke fleet resume {self.plan.id}")
        finally:
            if renewing is not None:
                renewing.cancel()
        state, detail = ("stopped", move.reason) if isinstance(move, Stop) else ("done", "")
        await self.close(state, detail)
        return self.report(state, detail)

    # Preparation.

    async def put_plan(self) -> None:
        """Store the plan with all agents involved."""
        answers = await self.fleet.ask(lambda client: client.put_operation(self.plan), self.targets)
        for agent, answer in answers.items():
            if isinstance(answer, wire.OperationStatus):
                if answer.state != "open":
                    raise Refusal(f"operation {self.plan.id} is {answer.state} at agent {agent}")
                self.apply_status(agent, answer)
            else:
                raise Refusal(f"{self.refusal_prefix()}: {answer}")

    async def claim_all(self) -> None:
        """Claim the instances agent by agent, in a fixed order; the first refusal ends the operation."""
        for agent in sorted(self.targets):
            try:
                await self.claim(agent)
            except (RefusedError, UnreachableError) as e:
                raise Refusal(f"{self.refusal_prefix()}: {e}") from None
        self.not_begun = False

    def refusal_prefix(self) -> str:
        return "nothing was begun" if self.not_begun else "can't go on"

    async def claim(self, agent: str) -> None:
        client = self.fleet.clients[agent]
        self.tokens[agent] = await client.claim(self.targets[agent], self.plan.id, self.ttl, self.fence())

    async def renew_loop(self) -> None:
        while True:
            await asyncio.sleep(RENEW_FRACTION * self.ttl)
            with contextlib.suppress(Refusal):
                self.fence()
                await self.renew_claims()

    async def renew_claims(self) -> None:
        await self.fleet.ask(lambda client: client.renew(self.tokens[client.name], self.ttl), self.tokens)

    async def release_claims(self) -> None:
        await self.fleet.ask(lambda client: client.release(self.tokens[client.name]), self.tokens)

    async def close(self, state: str, detail: str) -> None:
        """Release the claims and close the operation; unreachable agents keep it open until resumed."""
        await self.release_claims()
        await self.fleet.ask(lambda c: c.close_operation(self.plan.id, state, detail), self.targets)
        self.log.info("closed", state=state, detail=detail)

    # Steps.

    async def run_steps(self) -> Stop | Done:
        while True:
            await self.refresh()
            now = self.clock()
            move = decide(self.plan, self.steps, self.available(), now, self.unavailable_since)
            self.on_progress(self, move)
            self.unavailable_since = self.update_unavailable_since(move, now)
            match move:
                case StartSteps(names):
                    await self.begin_steps(names)
                case Wait():
                    await asyncio.sleep(POLL_INTERVAL_S)
                case Stop() | Done():
                    return move

    def update_unavailable_since(self, move: Decision, now: float) -> float | None:
        """Since when too few instances have been available, with no step under way that could change that."""
        if isinstance(move, Wait) and "must be left" in move.reason:
            return self.unavailable_since if self.unavailable_since is not None else now
        return None

    def available(self) -> dict[str, bool]:
        seen = self.view.instances
        return {ident: ident in seen and seen[ident].available for ident in self.plan.members}

    async def refresh(self) -> None:
        """Update the view of the fleet and the state of the steps from the agents' records."""
        self.view = await self.fleet.refresh_view(self.view, self.clock)
        answers = await self.fleet.ask(lambda client: client.operation(self.plan.id), self.targets)
        for agent, answer in answers.items():
            if isinstance(answer, wire.OperationStatus):
                self.apply_status(agent, answer)
            else:
                self.mark_unknown(agent, str(answer))

    def apply_status(self, agent: str, status: wire.OperationStatus) -> None:
        known = {info.instance: info for info in status.steps}
        for name in self.targets[agent]:
            ident = f"{agent}/{name}"
            info = known.get(name)
            if info is not None:
                self.step_infos[ident] = info
                self.set_step(ident, STEP_STATES[info.state], info.ended_at or info.since, info.detail)
            elif ident in self.steps and self.steps[ident].state is StepState.UNKNOWN:
                # The request failed, and the agent's record shows that the step was never begun.
                del self.steps[ident]

    def mark_unknown(self, agent: str, why: str) -> None:
        """Mark the steps under way at an unreachable agent as unknown; finished ones stay as they are."""
        for name in self.targets[agent]:
            ident = f"{agent}/{name}"
            if self.steps.get(ident, StepStatus()).state is StepState.RUNNING:
                self.set_step(ident, StepState.UNKNOWN, self.clock(), why)

    def set_step(self, ident: str, stand: StepState, at: float, detail: str) -> None:
        old = self.steps.get(ident)
        if old is None or (old.state, old.detail) != (stand, detail):
            self.steps[ident] = StepStatus(stand, at, detail)
            self.log.info("step", instance=ident, stand=stand.value, detail=detail)

    async def begin_steps(self, names: tuple[str, ...]) -> None:
        """Request steps concurrently. A step whose agent did not answer may have been begun."""
        await asyncio.gather(*(self.begin_step(ident) for ident in names))

    async def begin_step(self, ident: str) -> None:
        agent, name = split_id(ident)
        try:
            info = await self.request_step(agent, name)
        except UnreachableError as e:
            self.set_step(ident, StepState.UNKNOWN, self.clock(), str(e))
        except RefusedError as e:
            self.set_step(ident, StepState.FAILED, self.clock(), str(e))
        else:
            self.step_infos[ident] = info
            self.set_step(ident, STEP_STATES[info.state], info.ended_at or info.since, info.detail)

    async def request_step(self, agent: str, name: str) -> wire.StepInfo:
        client, plan = self.fleet.clients[agent], self.plan

        def request() -> wire.StepRequest:
            token = self.tokens[agent][name]
            return wire.StepRequest(plan.id, name, plan.action, token, plan.step_limit, self.fence())

        try:
            return await client.step(request())
        except RefusedError as e:
            claim = e.problem.claim
            if e.problem.code != "claimed" or claim is None:
                raise
            if claim.token != self.tokens[agent][name]:
                raise Refusal(f"another tool has taken over: {e}") from None
            # Our claim expired while the agent was unreachable, and nobody else has claimed the instance.
            with contextlib.suppress(UnreachableError):
                await self.claim(agent)
            return await client.step(request())

    # Report.

    def report(self, state: str, detail: str) -> Report:
        outcomes = [self.outcome(f"{agent}/{name}") for agent in self.targets for name in self.targets[agent]]
        outcomes.sort(key=lambda item: item.id)
        took = round(self.clock() - self.started_at, 3)
        return Report(self.plan.id, self.plan.action, state, detail, outcomes, took)

    def outcome(self, ident: str) -> Outcome:
        seen, step, info = self.view.instances.get(ident), self.steps.get(ident), self.step_infos.get(ident)
        stand = step.state if step is not None else StepState.PENDING
        outcomes = {
            StepState.PENDING: "not begun", StepState.RUNNING: "unknown", StepState.DONE: "done",
            StepState.FAILED: "failed",
            StepState.UNKNOWN: "unknown",
        }  # fmt: skip
        detail = step.detail if step is not None else ""
        if stand is StepState.RUNNING:
            detail = f"still under way: {seen.status.state if seen else 'never heard'}"
            if seen and "silent" in seen.status.state:
                detail += f", last answered {self.clock() - seen.status.answered_at:.1f} s ago"
        return Outcome(
            ident, outcomes[stand], detail,
            state=seen.state if seen else "unknown",
            last_known=seen.status.state if seen else "",
            heard_ago=round(max(self.clock() - seen.received_at, 0.0), 1) if seen else -1.0,
            began=info.since if info else 0.0, ended=info.ended_at if info else 0.0,
        )  # fmt: skip


def find_operation(
    answers: Mapping[str, Any], ident: str
) -> tuple[wire.OperationPlan, dict[str, wire.OperationStatus]]:
    """The recorded plan, and the status by agent; raises Refusal if no agent has the operation."""
    recorded = {
        agent: status for agent, status in answers.items() if isinstance(status, wire.OperationStatus)
    }
    if not recorded:
        unreachable = [str(status) for status in answers.values() if isinstance(status, UnreachableError)]
        suffix = f"; not heard: {'; '.join(unreachable)}" if unreachable else ""
        raise Refusal(f"no agent has operation {ident}{suffix}")
    return next(iter(recorded.values())).plan, recorded


async def resume(
    fleet: Fleet,
    ident: str,
    view: FleetView,
    on_progress: Callable[[Operation, Decision], None],
    fence: Callable[[], dict[str, int]] = dict,
    ttl: float | None = None,
) -> Operation:
    """Load a recorded operation, ready to run. Steps that were begun are not begun again."""
    plan, recorded = find_operation(await fleet.ask(lambda client: client.operation(ident)), ident)
    closed_states = {status.state for status in recorded.values()} - {"open", "interrupted"}
    if closed_states:
        raise Refusal(f"operation {ident} is {', '.join(sorted(closed_states))} already")
    operation = Operation(fleet, plan, view, on_progress=on_progress, fence=fence, ttl=ttl)
    operation.not_begun = False
    for agent, status in recorded.items():
        if agent in operation.targets:
            operation.apply_status(agent, status)
    return operation
