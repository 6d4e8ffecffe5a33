"""Carries out an operation over many agents, from its plan to its report.

Nothing is kept here alone: the plan is with every agent that it touches before the first step, each step
is recorded by its agent before it is done, and what is to come follows from those records and the state of
the fleet. So another tool can go on at any moment (``resume``), and a step that was begun is never begun
again: an agent asked twice for one step answers how it stands.
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
from latchspoke.fleet.rollout import Act, Done, Move, Stand, StepSeen, Stop, Wait, next_move
from latchspoke.fleet.view import FleetView

log = structlog.get_logger("operation")

TTL = 20.0  # s; a tool that dies holds up others no longer than this
RENEW_PART = 0.25  # of that; then they are renewed
LOOK = 0.2  # s between looks while steps are under way
STANDS = {"doing": Stand.DOING, "done": Stand.DONE, "failed": Stand.FAILED}


class Outcome(msgspec.Struct, frozen=True):
    """What became of one instance: ``done``, ``failed``, ``unknown`` or ``not begun``."""

    id: str
    outcome: str
    detail: str
    state: str
    last_known: str
    heard_ago: float
    began: float = 0.0
    ended: float = 0.0


class Report(msgspec.Struct, frozen=True):
    """Exactly what happened. ``state`` is done, stopped, refused or interrupted."""

    operation: str
    action: str
    state: str
    detail: str
    instances: list[Outcome]
    took: float

    def exit_code(self) -> int:
        """0 all done, 1 refused or not begun, 3 some failed, 4 some unknown (which outweighs failed)."""
        outcomes = {item.outcome for item in self.instances}
        if self.state == "refused":
            return 1
        if "unknown" in outcomes:
            return 4
        if "failed" in outcomes:
            return 3
        return 0 if outcomes <= {"done"} and self.state == "done" else 1


class Refusal(Exception):  # noqa: N818  (an outcome that is told, not a fault)
    """The operation was not begun, or can't go on; one line says why."""


def agent_of(ident: str) -> tuple[str, str]:
    agent, _, name = ident.partition("/")
    return agent, name


class Operation:
    """One operation in the hands of this tool."""

    def __init__(
        self,
        fleet: Fleet,
        plan: wire.OperationPlan,
        view: FleetView,
        clock: Callable[[], float] = time.time,
        on_progress: Callable[[Operation, Move], None] = lambda operation, move: None,
        fence: Callable[[], dict[str, int]] = dict,
        ttl: float | None = None,
    ) -> None:
        """``ttl``: s that its claims last. ``fence`` gives the token of the duty under which this runs, at
        each act; it raises Refusal once that is lost.
        """
        self.fence, self.ttl = fence, TTL if ttl is None else ttl
        self.personal = True  # an end from outside is a person's word
        self.fleet, self.plan, self.view, self.clock = fleet, plan, view, clock
        self.on_progress = on_progress
        self.steps: dict[str, StepSeen] = {}
        self.infos: dict[str, wire.StepInfo] = {}
        self.tokens: dict[str, dict[str, int]] = {}  # by agent, by instance
        self.short_since: float | None = None
        self.began = clock()
        self.fresh = True  # nothing of it has been begun, by this tool or another
        self.log = log.bind(operation=plan.id, action=plan.action)
        self.targets: dict[str, list[str]] = {}
        for ident in [ident for wave in plan.waves for ident in wave]:
            agent, name = agent_of(ident)
            self.targets.setdefault(agent, []).append(name)

    async def run(self) -> Report:
        """From the plan to the report; also when interrupted, what is under way is told as it stands."""
        renewing: asyncio.Task[None] | None = None
        try:
            await self.put_plan()
            await self.claim_all()
            renewing = asyncio.get_running_loop().create_task(self.renew_always())
            move = await self.go_on()
        except Refusal as e:
            # What was begun stays open: whoever holds it, or resumes it, goes on.
            await (self.close("abandoned", str(e)) if self.fresh else self.give_back())
            return self.report("refused", str(e))
        except asyncio.CancelledError:
            # A person's word: nobody goes on with it but by another one. Else it stays open for the next.
            await asyncio.shield(
                self.close("interrupted", "by its operator") if self.personal else self.give_back()
            )
            return self.report("interrupted", f"go on with: latchspoke fleet resume {self.plan.id}")
        finally:
            if renewing is not None:
                renewing.cancel()
        state, detail = ("stopped", move.why) if isinstance(move, Stop) else ("done", "")
        await self.close(state, detail)
        return self.report(state, detail)

    # Before the first step.

    async def put_plan(self) -> None:
        """All agents that it touches know the plan before anything is done."""
        told = await self.fleet.ask(lambda client: client.put_operation(self.plan), self.targets)
        for agent, answer in told.items():
            if isinstance(answer, wire.OperationStatus):
                if answer.state != "open":
                    raise Refusal(f"operation {self.plan.id} is {answer.state} at agent {agent}")
                self.take(agent, answer)
            else:
                raise Refusal(f"{self.before()}: {answer}")

    async def claim_all(self) -> None:
        """Agent after agent in one order; whoever refuses ends it, and what was taken is given back."""
        for agent in sorted(self.targets):
            try:
                await self.claim(agent)
            except (RefusedError, UnreachableError) as e:
                raise Refusal(f"{self.before()}: {e}") from None
        self.fresh = False

    def before(self) -> str:
        return "nothing was begun" if self.fresh else "can't go on"

    async def claim(self, agent: str) -> None:
        client = self.fleet.clients[agent]
        self.tokens[agent] = await client.claim(self.targets[agent], self.plan.id, self.ttl, self.fence())

    async def renew_always(self) -> None:
        while True:
            await asyncio.sleep(RENEW_PART * self.ttl)
            with contextlib.suppress(Refusal):
                self.fence()
                await self.renew()

    async def renew(self) -> None:
        await self.fleet.ask(lambda client: client.renew(self.tokens[client.name], self.ttl), self.tokens)

    async def give_back(self) -> None:
        await self.fleet.ask(lambda client: client.release(self.tokens[client.name]), self.tokens)

    async def close(self, state: str, detail: str) -> None:
        """Agents that are not heard keep it open; their claims end by themselves."""
        await self.give_back()
        await self.fleet.ask(lambda c: c.close_operation(self.plan.id, state, detail), self.targets)
        self.log.info("closed", state=state, detail=detail)

    # Step by step.

    async def go_on(self) -> Stop | Done:
        while True:
            await self.refresh()
            now = self.clock()
            move = next_move(self.plan, self.steps, self.available(), now, self.short_since)
            self.on_progress(self, move)
            self.short_since = self.still_short(move, now)
            match move:
                case Act(names):
                    await self.begin(names)
                case Wait():
                    await asyncio.sleep(LOOK)
                case Stop() | Done():
                    return move

    def still_short(self, move: Move, now: float) -> float | None:
        """Since when too few have been available with nothing under way that could change it."""
        if isinstance(move, Wait) and "must be left" in move.why:
            return self.short_since if self.short_since is not None else now
        return None

    def available(self) -> dict[str, bool]:
        seen = self.view.instances
        return {ident: ident in seen and seen[ident].available for ident in self.plan.members}

    async def refresh(self) -> None:
        """The fleet, and how the steps stand by their agents' records."""
        self.view = await self.fleet.refresh_view(self.view, self.clock)
        told = await self.fleet.ask(lambda client: client.operation(self.plan.id), self.targets)
        for agent, answer in told.items():
            if isinstance(answer, wire.OperationStatus):
                self.take(agent, answer)
            else:
                self.lose(agent, str(answer))

    def take(self, agent: str, told: wire.OperationStatus) -> None:
        known = {info.instance: info for info in told.steps}
        for name in self.targets[agent]:
            ident = f"{agent}/{name}"
            info = known.get(name)
            if info is not None:
                self.infos[ident] = info
                self.set(ident, STANDS[info.state], info.ended_at or info.since, info.detail)
            elif ident in self.steps and self.steps[ident].stand is Stand.UNKNOWN:
                # It was asked for, and the agent's record says that it was never begun.
                del self.steps[ident]

    def lose(self, agent: str, why: str) -> None:
        """Steps that were under way there, or may be, are unknown from now on; those over are over."""
        for name in self.targets[agent]:
            ident = f"{agent}/{name}"
            if self.steps.get(ident, StepSeen()).stand is Stand.DOING:
                self.set(ident, Stand.UNKNOWN, self.clock(), why)

    def set(self, ident: str, stand: Stand, at: float, detail: str) -> None:
        old = self.steps.get(ident)
        if old is None or (old.stand, old.detail) != (stand, detail):
            self.steps[ident] = StepSeen(stand, at, detail)
            self.log.info("step", instance=ident, stand=stand.value, detail=detail)

    async def begin(self, names: tuple[str, ...]) -> None:
        """Ask for the steps side by side. One whose agent did not answer may have been begun."""
        await asyncio.gather(*(self.begin_one(ident) for ident in names))

    async def begin_one(self, ident: str) -> None:
        agent, name = agent_of(ident)
        try:
            info = await self.ask_step(agent, name)
        except UnreachableError as e:
            self.set(ident, Stand.UNKNOWN, self.clock(), str(e))
        except RefusedError as e:
            self.set(ident, Stand.FAILED, self.clock(), str(e))
        else:
            self.infos[ident] = info
            self.set(ident, STANDS[info.state], info.ended_at or info.since, info.detail)

    async def ask_step(self, agent: str, name: str) -> wire.StepInfo:
        client, plan = self.fleet.clients[agent], self.plan

        def request() -> wire.StepRequest:
            token = self.tokens[agent][name]
            return wire.StepRequest(plan.id, name, plan.action, token, plan.step_limit, self.fence())

        try:
            return await client.step(request())
        except RefusedError as e:
            held = e.problem.claim
            if e.problem.code != "claimed" or held is None:
                raise
            if held.token != self.tokens[agent][name]:
                raise Refusal(f"another tool has taken over: {e}") from None
            # Ours has lapsed while the agent was away, and nobody came in between.
            with contextlib.suppress(UnreachableError):
                await self.claim(agent)
            return await client.step(request())

    # What happened.

    def report(self, state: str, detail: str) -> Report:
        outcomes = [self.outcome(f"{agent}/{name}") for agent in self.targets for name in self.targets[agent]]
        outcomes.sort(key=lambda item: item.id)
        took = round(self.clock() - self.began, 3)
        return Report(self.plan.id, self.plan.action, state, detail, outcomes, took)

    def outcome(self, ident: str) -> Outcome:
        seen, step, info = self.view.instances.get(ident), self.steps.get(ident), self.infos.get(ident)
        stand = step.stand if step is not None else Stand.TODO
        words = {
            Stand.TODO: "not begun", Stand.DOING: "unknown", Stand.DONE: "done", Stand.FAILED: "failed",
            Stand.UNKNOWN: "unknown",
        }  # fmt: skip
        told = step.detail if step is not None else ""
        if stand is Stand.DOING:
            told = f"still under way: {seen.status.state if seen else 'never heard'}"
            if seen and "silent" in seen.status.state:
                told += f", last answered {self.clock() - seen.status.answered_at:.1f} s ago"
        return Outcome(
            ident, words[stand], told,
            state=seen.state if seen else "unknown",
            last_known=seen.status.state if seen else "",
            heard_ago=round(max(self.clock() - seen.heard_at, 0.0), 1) if seen else -1.0,
            began=info.since if info else 0.0, ended=info.ended_at if info else 0.0,
        )  # fmt: skip


def find_operation(
    answers: Mapping[str, Any], ident: str
) -> tuple[wire.OperationPlan, dict[str, wire.OperationStatus]]:
    """The plan as recorded, and which agents have it; raises Refusal where none has."""
    held = {agent: told for agent, told in answers.items() if isinstance(told, wire.OperationStatus)}
    if not held:
        unheard = [str(told) for told in answers.values() if isinstance(told, UnreachableError)]
        more = f"; not heard: {'; '.join(unheard)}" if unheard else ""
        raise Refusal(f"no agent has operation {ident}{more}")
    return next(iter(held.values())).plan, held


async def resume(
    fleet: Fleet,
    ident: str,
    view: FleetView,
    on_progress: Callable[[Operation, Move], None],
    fence: Callable[[], dict[str, int]] = dict,
    ttl: float | None = None,
) -> Operation:
    """The operation as it stands, ready to run. Steps that were begun are not begun again."""
    plan, held = find_operation(await fleet.ask(lambda client: client.operation(ident)), ident)
    over = {told.state for told in held.values()} - {"open", "interrupted"}
    if over:
        raise Refusal(f"operation {ident} is {', '.join(sorted(over))} already")
    operation = Operation(fleet, plan, view, on_progress=on_progress, fence=fence, ttl=ttl)
    operation.fresh = False
    for agent, told in held.items():
        if agent in operation.targets:
            operation.take(agent, told)
    return operation
