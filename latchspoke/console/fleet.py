"""Many gateways at once, through the agents on their hosts.

Usage:
  latchspoke fleet list [options] [SELECTOR...]
  latchspoke fleet inspect [options] SELECTOR...
  latchspoke fleet compare [options] [SELECTOR...]
  latchspoke fleet watch [options] [SELECTOR...]
  latchspoke fleet history [options]
  latchspoke fleet operations [options]
  latchspoke fleet (start|stop|drain|restart|reload|roll) [options] [SELECTOR...]
  latchspoke fleet resume [options] OPERATION
  latchspoke fleet -h | --help

Commands:
  list        Every instance with its state, and what an operator should know of it.
  inspect     All that is known of these, with the gateways' own views.
  compare     Which instances disagree, on what, and who has not taken up its file.
  watch       Tell each change as it comes, until Ctrl-C.
  history     What was done, by whom, and what became of it.
  start       Start what is selected, all at once.
  stop        Drain what is selected, all at once; nothing that was taken is lost.
  drain       The same one after the other, so that --keep are left at every moment.
  restart     Drain and start again, all at once.
  reload      Have the file read again (SIGHUP).
  roll        Restart in waves, with so many unavailable at the most.
  resume      Go on with an operation whose tool has ended.
  operations  Those on record with the agents.

A SELECTOR is KEY=PATTERN[,PATTERN] with KEY one of name, host, zone, state, version, or a name's pattern
alone. Of one key any may fit, of several keys all must. What changes things wants a selector or --all.

Options:
  --fleet FILE           The fleet's file, a typed record [env: LATCHSPOKE_FLEET].
  --socket PATH          One agent on this host, in place of a file.
  --json                 Print JSON, whole and nothing else.
  --dry-run              Say what would be done, and do nothing.
  --log FILE             Append one JSON line an event to this file.
  --all                  Everything there is.
  --despite-silence      Act although an agent is not heard, on those that are.
  --keep N               So many must be left available [default: 0].
  --wave N               Instances in one wave [default: 1].
  --canary N             Instances in the first wave [default: 0].
  --max-unavailable N    Not ready at once, of all selected [default: 1].
  --pause DURATION       Between waves [default: 0s].
  --failures N           Steps that may fail before it stops; 0 for roll, any for the others.
  --limit DURATION       For one step [default: 60s].
  --reason TEXT          Kept on record.
  --for DURATION         End after so long.
  --operation ID         Only this operation's events.
  --last N               So many events of each agent [default: 200].
  -h --help              Show this.

Exit codes: 0 all done or all agree, 1 refused or not begun, 2 wrong usage, 3 some failed or disagree,
4 some unknown.
"""

from __future__ import annotations

import asyncio
import os
import secrets
import signal
import ssl
import sys
import time
from collections.abc import Callable, Coroutine
from fnmatch import fnmatchcase
from typing import Any

import msgspec
import structlog
from rich.console import Console

from latchspoke.agent.client import Fleet, FleetRecord, read_fleet, single_agent_fleet
from latchspoke.agent.operations import Operation, Refusal, Report, resume
from latchspoke.console import tables
from latchspoke.console.usage import UsageError, read_duration, read_usage, read_whole
from latchspoke.fleet import wire
from latchspoke.fleet.compare import compare
from latchspoke.fleet.rollout import build_waves
from latchspoke.fleet.view import FleetView, InstanceView, SelectorError, changes, parse_selector, select
from latchspoke.keys.authority import KeysError
from latchspoke.keys.tls import Identity
from latchspoke.records import RecordError

WATCH = 0.5  # s between looks
FLEET_VARIABLE = "LATCHSPOKE_FLEET"


class Session:
    """One call of the tool."""

    def __init__(self, args: dict[str, Any], record: FleetRecord) -> None:
        self.args, self.record = args, record
        self.console = Console(soft_wrap=not sys.stdout.isatty(), highlight=False)
        self.fleet: Fleet

    async def run(self, work: Callable[[Session], Coroutine[Any, Any, int]]) -> int:
        async with Fleet(self.record, self.tls()) as self.fleet:
            return await work(self)

    def tls(self) -> ssl.SSLContext | None:
        told = self.record.identity
        if told is None:
            return None
        return Identity(told.certificate, told.key, told.authority, server=False).context

    def put(self, value: Any, show: Callable[[], Any]) -> None:
        """JSON where it is asked for; else what ``show`` prints."""
        if self.args["--json"]:
            sys.stdout.write(msgspec.json.format(wire.encode(value), indent=2).decode() + "\n")
        else:
            show()

    async def look(self) -> FleetView:
        return await self.fleet.refresh_view(FleetView(), time.time)

    async def chosen(self) -> tuple[FleetView, list[InstanceView]]:
        view = await self.look()
        return view, select(view, self.args["SELECTOR"])


# Looking.


async def run_list(session: Session) -> int:
    view, seen = await session.chosen()
    now = time.time()
    notes = tables.silent_note(view, now)

    def show() -> None:
        session.console.print(tables.listing(seen, now))
        for line in notes:
            session.console.print(line, style="yellow")

    session.put({"instances": [plain(s, now) for s in seen], "remarks": notes}, show)
    return 4 if view.unreachable_agents() or any(s.problem for s in seen) else 0


def plain(seen: InstanceView, now: float) -> dict[str, Any]:
    return {
        "id": seen.id,
        "state": seen.state,
        "problem": seen.problem,
        "heard_ago": round(now - seen.received_at, 3),
        "status": seen.status,
    }


async def views_of(session: Session, seen: list[InstanceView]) -> dict[str, dict[str, Any] | str]:
    """The gateways' own views by id, or why there is none; one question an agent."""
    by_agent: dict[str, list[str]] = {}
    told: dict[str, dict[str, Any] | str] = {s.id: s.problem for s in seen if s.problem}
    for item in seen:
        if not item.problem:
            by_agent.setdefault(item.agent, []).append(item.status.name)
    answers = await session.fleet.ask(lambda client: client.views(by_agent[client.name]), by_agent)
    for agent, answer in answers.items():
        for name in by_agent[agent]:
            if isinstance(answer, wire.ViewAnswer):
                told[f"{agent}/{name}"] = answer.views.get(name) or answer.missing.get(name, "gave no view")
            else:
                told[f"{agent}/{name}"] = str(answer)
    return told


async def run_inspect(session: Session) -> int:
    _, seen = await session.chosen()
    if not seen:
        raise UsageError("nothing fits the selectors")
    views, now = await views_of(session, seen), time.time()
    value = [plain(s, now) | {"view": views[s.id]} for s in seen]
    session.put(value, lambda: session.console.print_json(wire.encode(value).decode()))
    return 4 if any(isinstance(views[s.id], str) for s in seen) else 0


async def run_compare(session: Session) -> int:
    view, seen = await session.chosen()
    # What is meant to be down has no view, and that is no disagreement.
    wanted = [s for s in seen if s.problem or s.status.goal == "up"]
    told = compare(await views_of(session, wanted))
    silent = [agent.problem for agent in view.unreachable_agents()]

    def show() -> None:
        for line in [*tables.comparison_lines(told), *silent]:
            session.console.print(line, markup=False)
        if told.agree and not silent:
            session.console.print(f"{len(told.compared)} instances agree")

    session.put({"comparison": told, "silent": silent, "agree": told.agree and not silent}, show)
    if told.unreachable or silent:
        return 4
    return 0 if told.agree else 3


async def run_watch(session: Session) -> int:
    """Each change as it comes. The first look is told whole, as changes from nothing."""
    view, names = FleetView(), session.args["SELECTOR"]
    end = time.time() + read_duration(session.args, "--for") if session.args["--for"] else float("inf")
    while time.time() < end:
        later = await session.fleet.refresh_view(view, time.time)
        fitting = {s.id for version in (view, later) for s in select(version, names)}
        for change in changes(view, later):
            if change.id in fitting:
                tell_change(session, change.id, change.describe())
        view = later
        await asyncio.sleep(WATCH)
    return 0


def tell_change(session: Session, ident: str, words: str) -> None:
    at = time.time()
    if session.args["--json"]:
        print(wire.encode({"at": round(at, 3), "id": ident, "change": words}).decode(), flush=True)
    else:
        clock = time.strftime("%H:%M:%S", time.localtime(at))
        session.console.print(f"{clock}  {ident}  {words}", markup=False)


async def run_history(session: Session) -> int:
    """All agents' records put together by their clocks, which may differ."""
    last, wanted = read_whole(session.args, "--last", 1), session.args["--operation"]
    answers = await session.fleet.ask(lambda client: recent(client, last))
    events: list[tuple[str, wire.Event]] = [
        (agent, event)
        for agent, told in answers.items()
        if isinstance(told, list)
        for event in told
        if wanted in (None, event.operation)
    ]
    events.sort(key=lambda item: (item[1].at, item[0], item[1].revision))
    problems = [str(told) for told in answers.values() if not isinstance(told, list)]

    def show() -> None:
        made = tables.table("when", "agent", "what", "instance", "operation", "by", "detail")
        for agent, event in events:
            when = time.strftime("%m-%d %H:%M:%S", time.localtime(event.at))
            made.add_row(when, agent, event.kind, event.instance, event.operation, event.operator,
                         event.detail)  # fmt: skip
        session.console.print(made)
        for line in problems:
            session.console.print(line, style="yellow", markup=False)

    told = [{"agent": agent, "event": event} for agent, event in events]
    session.put({"events": told, "problems": problems}, show)
    return 4 if problems else 0


async def recent(client: Any, last: int) -> list[wire.Event]:
    """An agent's newest events, so many."""
    newest = (await client.listing()).agent.revision
    events: list[wire.Event] = []
    after = max(newest - last, 0)
    while after < newest:
        told = await client.events(after)
        if not told.events:
            break
        events += told.events
        after = told.events[-1].revision
    return events


async def run_operations(session: Session) -> int:
    answers = await session.fleet.ask(lambda client: client.operations())
    held: dict[str, dict[str, Any]] = {}
    for agent, told in answers.items():
        for known in told.operations if isinstance(told, wire.Operations) else ():
            item = held.setdefault(known.plan.id, {"plan": known.plan, "agents": {}, "steps": {}})
            item["agents"][agent] = known.state
            item["steps"] |= {f"{agent}/{info.instance}": info.state for info in known.steps}
    problems = [str(told) for told in answers.values() if not isinstance(told, wire.Operations)]

    def show() -> None:
        made = tables.table("operation", "action", "by", "when", "state", "steps", "reason")
        for item in sorted(held.values(), key=lambda i: i["plan"].created):
            plan, states = item["plan"], list(item["steps"].values())
            counts = ", ".join(f"{states.count(word)} {word}" for word in dict.fromkeys(states))
            when = time.strftime("%m-%d %H:%M:%S", time.localtime(plan.created))
            made.add_row(plan.id, plan.action, plan.operator, when,
                         "/".join(sorted(set(item["agents"].values()))), counts, plan.reason)  # fmt: skip
        session.console.print(made)
        for line in problems:
            session.console.print(line, style="yellow", markup=False)

    session.put({"operations": list(held.values()), "problems": problems}, show)
    return 4 if problems else 0


# Acting.


async def run_action(session: Session) -> int:
    args = session.args
    view, seen = await session.chosen()
    if not args["SELECTOR"] and not args["--all"]:
        raise UsageError("name what to act on by selectors, or --all")
    if not seen:
        raise UsageError("nothing fits the selectors")
    refuse_in_the_dark(args, view)
    plan = make_plan(session, view, seen)
    if args["--dry-run"]:
        session.put(plan, lambda: show_plan(session, plan))
        return 0
    with tables.Progress(session.console) as progress:
        quiet = bool(args["--json"])
        operation = Operation(session.fleet, plan, view)
        if not quiet:
            operation.on_progress = progress
        report = await guarded(operation)
    return tell_report(session, report)


def refuse_in_the_dark(args: dict[str, Any], view: FleetView) -> None:
    """An agent that was never heard has instances that nobody can count: they may be all that is missing.

    A roll over those that are heard could take down the last one that serves. Naming hosts says that the
    others are not meant.
    """
    hosts = [
        p for word in args["SELECTOR"] for key, ps in [parse_selector(word)] if key == "host" for p in ps
    ]
    dark = [
        agent.problem
        for agent in view.unreachable_agents()
        if not hosts or any(fnmatchcase(agent.name, pattern) for pattern in hosts)
    ]
    if dark and not args["--despite-silence"]:
        raise Refusal(
            f"nothing was begun: {'; '.join(dark)}; what it runs is unknown and counts as unavailable"
            " (name other hosts with host=, or --despite-silence)"
        )


def make_plan(session: Session, view: FleetView, seen: list[InstanceView]) -> wire.OperationPlan:
    args = session.args
    word = next(w for w in ("start", "stop", "drain", "restart", "reload", "roll") if args[w])
    action = {"stop": "drain", "roll": "restart"}.get(word, word)
    names = [s.id for s in seen]
    zones = {s.id: s.status.zone for s in seen}
    if word == "roll":
        made = build_waves(
            names, zones, read_whole(session.args, "--wave", 1), read_whole(session.args, "--canary")
        )
        least = max(len(names) - read_whole(session.args, "--max-unavailable", 1), 0)
    else:
        made = build_waves(names, zones, 1) if word == "drain" else [sorted(names)]
        least = read_whole(session.args, "--keep")
    # For what must be left, the whole fleet counts when a number was named, and else what is selected.
    members = names if word == "roll" else [s.id for s in view.sorted()]
    return wire.OperationPlan(
        id=f"{word}-{time.strftime('%Y%m%d-%H%M%S', time.gmtime())}-{secrets.token_hex(3)}",
        action=action,
        operator=os.environ.get("USER") or str(os.getuid()),
        created=round(time.time(), 3),
        waves=made,
        least_available=least,
        pause=read_duration(session.args, "--pause") if word == "roll" else 0.0,
        step_limit=read_duration(session.args, "--limit"),
        failures=read_whole(session.args, "--failures")
        if args["--failures"]
        else 0
        if word == "roll"
        else len(names),
        reason=args["--reason"] or "",
        members=members,
    )


def show_plan(session: Session, plan: wire.OperationPlan) -> None:
    session.console.print(f"would {plan.action}, leaving at least {plan.least_available} available:")
    for number, wave in enumerate(plan.waves, 1):
        session.console.print(f"  wave {number}: {', '.join(wave)}", markup=False)


async def guarded(operation: Operation) -> Report:
    """Ctrl-C ends the tool's part; the report tells how all stands then."""
    task = asyncio.get_running_loop().create_task(operation.run())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    try:
        return await task
    finally:
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.remove_signal_handler(number)


def tell_report(session: Session, report: Report) -> int:
    def show() -> None:
        session.console.print(tables.report_table(report))
        said = f"{report.operation}: {report.state} in {report.took:.1f} s"
        session.console.print(f"{said}{': ' if report.detail else ''}{report.detail}", markup=False)

    session.put(report, show)
    return report.exit_code()


async def run_resume(session: Session) -> int:
    view = await session.look()
    with tables.Progress(session.console) as progress:
        quiet = bool(session.args["--json"])
        operation = await resume(
            session.fleet, session.args["OPERATION"], view, (lambda o, m: None) if quiet else progress
        )
        report = await guarded(operation)
    return tell_report(session, report)


WORK: dict[str, Callable[[Session], Coroutine[Any, Any, int]]] = {
    "list": run_list, "inspect": run_inspect, "compare": run_compare, "watch": run_watch,
    "history": run_history, "operations": run_operations, "resume": run_resume,
    **dict.fromkeys(("start", "stop", "drain", "restart", "reload", "roll"), run_action),
}  # fmt: skip


def set_up_logs(path: str | None) -> None:
    """To a file if one is named, and nowhere else: the output is for the result."""
    file = open(path, "a") if path else open(os.devnull, "w")  # noqa: SIM115  (for the process's life)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=file),
    )


def read_record(args: dict[str, Any]) -> FleetRecord:
    if args["--socket"]:
        return single_agent_fleet(args["--socket"])
    path = args["--fleet"] or os.environ.get(FLEET_VARIABLE)
    if not path:
        raise UsageError(f"name the fleet's file with --fleet or {FLEET_VARIABLE}, or an agent with --socket")
    return read_fleet(path)


def main(argv: list[str]) -> int:
    args = read_usage(__doc__, "fleet", argv)
    if args is None:
        return 2
    try:
        set_up_logs(args["--log"])
        session = Session(args, read_record(args))
        work = next(call for word, call in WORK.items() if args[word])
        return asyncio.run(session.run(work))
    except (UsageError, SelectorError) as e:
        print(f"latchspoke fleet: {e}", file=sys.stderr)
        return 2
    except (RecordError, KeysError, OSError) as e:
        print(e, file=sys.stderr)
        return 2
    except Refusal as e:
        print(f"latchspoke fleet: {e}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
