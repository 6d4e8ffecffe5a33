"""How the fleet is shown to people: tables and progress with ``rich``."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Any

from rich.console import Console
from rich.live import Live
from rich.table import Table
from rich.text import Text

from latchspoke.agent.operations import Operation, Report
from latchspoke.fleet.compare import Comparison
from latchspoke.fleet.rollout import Decision, Done, StartSteps, Stop, Wait
from latchspoke.fleet.view import AgentView, FleetView, InstanceView

GOOD, BAD, BUSY = "green", "red", "yellow"
COLOURS = {
    "ready": GOOD, "done": GOOD, "stopped": "dim", "starting": BUSY, "draining": BUSY, "waiting": BUSY,
    "not begun": "dim", "unready": BUSY, "doing": BUSY,
}  # fmt: skip
SOON = 14 * 86400.0  # s; a certificate that ends within this shows


def coloured(word: str) -> Text:
    return Text(word, style=COLOURS.get(word, BAD))


def age(seconds: float) -> str:
    """Short, and never finer than it is known."""
    if seconds < 0:
        return "never"
    if seconds < 100:
        return f"{seconds:.0f}s"
    if seconds < 6000:
        return f"{seconds / 60:.0f}m"
    return f"{seconds / 3600:.0f}h" if seconds < 360000 else f"{seconds / 86400:.0f}d"


def table(*columns: str) -> Table:
    made = Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        made.add_column(column, overflow="fold")
    return made


def listing(seen: Iterable[InstanceView], now: float) -> Table:
    made = table("instance", "zone", "state", "for", "launch", "version", "settings", "last end", "remark")
    for item in seen:
        status = item.status
        end = "" if status.end == "none" else f"{status.end} {age(now - status.ended_at)} ago"
        made.add_row(
            item.id, status.zone, coloured(item.state), age(now - status.since), str(status.launch),
            status.version, status.settings[:8] + ("" if status.taken_up in (None, True) else "*"), end,
            remark(item, now),
        )  # fmt: skip
    return made


def remark(item: InstanceView, now: float) -> str:
    """What an operator should know of it beside its state."""
    status, parts = item.status, []
    if item.problem:
        parts.append(f"{item.problem}; was {status.state} {age(now - item.received_at)} ago")
    if "silent" in status.state and status.answered_at:
        parts.append(f"last answered {age(now - status.answered_at)} ago")
    if status.kill_at > now:
        parts.append(f"killed in {age(status.kill_at - now)} unless it ends")
    if status.retry_at > now:
        parts.append(f"next try in {age(status.retry_at - now)}")
    if status.claim is not None:
        parts.append(f"claimed by {status.claim.holder} for {status.claim.operation}")
    if status.taken_up is False:
        parts.append("its file is not taken up")
    return "; ".join(parts)


def agents_remarks(agents: Iterable[AgentView], now: float) -> list[str]:
    """Lines below a listing: agents that are not heard, can't write, or whose certificate ends soon."""
    lines = []
    for agent in agents:
        status = agent.status
        if agent.problem:
            lines.append(agent.problem)
        elif status is not None:
            if status.store:
                lines.append(f"agent {agent.name} takes no operations: {status.store}")
            left = status.certificate_until - now
            if status.certificate_until and left < SOON:
                lines.append(f"agent {agent.name}: its certificate ends in {age(max(left, 0))}")
    return lines


def report_table(report: Report) -> Table:
    made = table("instance", "outcome", "state", "detail")
    for item in report.instances:
        state = item.state
        if state == "unknown" and item.last_known:
            state = f"unknown (was {item.last_known} {age(item.heard_ago)} ago)"
        made.add_row(item.id, coloured(item.outcome), state, item.detail)
    return made


def comparison_lines(told: Comparison) -> list[str]:
    lines = []
    for difference in told.differences:
        lines.append(f"{difference.path}:")
        for value, names in difference.holders:
            mark = "" if difference.majority is None or value == difference.majority else "  <- differs"
            lines.append(f"    {value!r}: {', '.join(names)}{mark}")
    lines += [f"{name}: {why}" for name, why in told.stale]
    lines += [f"{name}: not compared, {why}" for name, why in told.unreachable]
    return lines


def move_words(move: Decision) -> str:
    match move:
        case StartSteps(names):
            return f"begins {', '.join(names)}"
        case Wait(why, until):
            left = f", {max(until - time.time(), 0):.0f} s left" if until is not None else ""
            return f"waits: {why}{left}"
        case Stop(why):
            return f"stops: {why}"
        case Done():
            return "done"


class Progress:
    """A display that moves where the output is a terminal; nothing elsewhere, as the report tells all."""

    def __init__(self, console: Console) -> None:
        self.live = Live(console=console, refresh_per_second=5, transient=True)
        self.shown = console.is_terminal

    def __enter__(self) -> Progress:
        if self.shown:
            self.live.start()
        return self

    def __exit__(self, *exc: Any) -> None:
        if self.shown:
            self.live.stop()

    def __call__(self, operation: Operation, move: Decision) -> None:
        if not self.shown:
            return
        made = table("instance", "step", "state", "detail")
        for item in operation.report("", "").instances:
            made.add_row(item.id, coloured(item.outcome), item.state, item.detail)
        made.caption = f"{operation.plan.action} {operation.plan.id}: {move_words(move)}"
        self.live.update(made)


def silent_note(view: FleetView, now: float) -> list[str]:
    return agents_remarks(sorted(view.agents.values(), key=lambda a: a.name), now)
