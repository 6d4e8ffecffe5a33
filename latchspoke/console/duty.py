"""Duties that one holder has at a time.

Usage:
  latchspoke duty list [options]
  latchspoke duty show [options] NAME
  latchspoke duty history [options] NAME
  latchspoke duty define [options] NAME
  latchspoke duty remove [options] NAME
  latchspoke duty move [options] NAME TO
  latchspoke duty release [options] NAME
  latchspoke duty findings [options]
  latchspoke duty run [options] NAME [--] COMMAND...
  latchspoke duty -h | --help

Commands:
  list     Every duty: who holds it, and by which token.
  show     One of them.
  history  Who held it before, and how each tenure ended.
  define   There is such a duty from now on, or it goes by another rule.
  remove   Nobody gets it any more; who holds it is asked to stop.
  move     Have TO take it over, once who holds it has stopped.
  release  Have anybody else take it over.
  findings What the census of the fleet has found, and since when.
  run      Run COMMAND while this process holds the duty, and end it before the duty is lost.

Options:
  --socket PATH      An agent that is a member; several with commas [env: LATCHSPOKE_MEMBERS].
  --length DURATION  Of a grant, without a further word [default: 10s].
  --names PATTERNS   Who may hold it, with commas [default: *].
  --zones ZONES      In which zones; any unless given.
  --as NAME          Under this name, in place of the host's and the process's number.
  --zone ZONE        Of this process.
  --grace DURATION   What COMMAND may need to end after SIGTERM, half a grant at most [default: 2s].
  --json             Print JSON.
  -h --help          Show this.

`run` hands COMMAND the variables LATCHSPOKE_DUTY and LATCHSPOKE_TOKEN. What it acts on should refuse a token
older than one it has seen: a process that is stopped can't be ended in time by anybody but that.
Exit codes: 0 done, 1 refused or nothing known, 2 wrong usage, 3 `findings` has some, 4 unknown whether it
was done; of `run` COMMAND's own.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import secrets
import signal
import sys
import time
from collections.abc import Sequence
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from latchspoke import __version__
from latchspoke.agent.api import DutiesShown
from latchspoke.agent.client import AgentClient, AgentEntry, RefusedError, UnreachableError
from latchspoke.agent.holder_driver import HolderDriver, holder_over_sockets
from latchspoke.agent.members import clock
from latchspoke.console.usage import UsageError, read_duration, read_usage
from latchspoke.duties.findings import Findings
from latchspoke.duties.member_service import Committed
from latchspoke.duties.records import Candidate, Define, DutyState, Move, Remove, Rule
from latchspoke.fleet import wire

LIMIT = 5.0  # s for one question
AGAIN = 0.3  # s until a command of which nothing is known is asked again
LOOK = 0.02  # s between looks at what is to be stopped
NOT_RUN = 127  # the shell's code for a command that can't be run
KILL_PART = 0.7  # of the time from SIGTERM to the end of the grant; then SIGKILL


def main(argv: list[str]) -> int:
    # Everything after the command's own name is the command's.
    args = read_usage(__doc__, "duty", argv)
    if args is None:
        return 2
    try:
        if args["run"]:
            return asyncio.run(run(args))
        return asyncio.run(ask(args))
    except UsageError as e:
        print(f"latchspoke duty: {e}", file=sys.stderr)
        return 2
    except UnreachableError as e:
        print(f"latchspoke duty: {e}", file=sys.stderr)
        return 1
    except RefusedError as e:
        print(f"latchspoke duty: {e}", file=sys.stderr)
        return 4 if e.problem.code == "unknown" else 1


def sockets(args: dict[str, Any]) -> list[str]:
    told = args["--socket"] or os.environ.get("LATCHSPOKE_MEMBERS", "")
    if not told:
        raise UsageError("--socket or LATCHSPOKE_MEMBERS has to name an agent's socket")
    return [path for path in told.split(",") if path]


async def ask(args: dict[str, Any]) -> int:
    clients = [AgentClient(path, AgentEntry(path), LIMIT, None) for path in sockets(args)]
    try:
        if command := command_of(args):
            done = await insist(clients, f"/v1/duties/commands?ident={secrets.token_hex(8)}", command)
            if done.why:
                print(f"latchspoke duty: {done.why}", file=sys.stderr)
            return 1 if done.why else 0
        if args["findings"]:
            return show_findings(args, await clients[0].call(Findings, "GET", "/v1/findings"))
        shown = await clients[0].call(DutiesShown, "GET", "/v1/duties")
    finally:
        await asyncio.gather(*(client.close() for client in clients))
    name = args["NAME"]
    if name and name not in shown.duties:
        print(f"latchspoke duty: there is no duty {name}", file=sys.stderr)
        return 1
    chosen = {n: s for n, s in shown.duties.items() if name in (None, n) and (name or s.rule is not None)}
    if args["--json"]:
        print(msgspec.json.encode({"index": shown.index, "duties": chosen}).decode())
    else:
        Console(highlight=False).print(history(chosen[name]) if args["history"] else table(chosen))
    return 0


async def insist(clients: list[AgentClient], path: str, body: object, tries: int = 4) -> Committed:
    """One command under one ident, asked again elsewhere while nothing is known of it: it is done once."""
    for n in range(tries):
        client = clients[n % len(clients)]
        try:
            return await client.call(Committed, "POST", path, body)
        except UnreachableError as e:
            # It may have been done; another member, or the same one later, knows.
            if n == tries - 1:
                raise RefusedError(wire.Problem("unknown", f"it may have been done: {e}")) from None
        except RefusedError as e:
            if e.problem.code not in ("unknown", "no-leader") or n == tries - 1:
                raise
        await asyncio.sleep(AGAIN)
    raise AssertionError


def show_findings(args: dict[str, Any], told: Findings) -> int:
    """3 where something is open, as with `fleet compare`."""
    if args["--json"]:
        print(msgspec.json.encode(told).decode())
    else:
        made = Table("what", "since", "until", "how", box=None)
        for one in (*told.open.values(), *reversed(told.past)):
            until = moment(one.until) if one.until else "now"
            made.add_row(one.key, moment(one.since), until, one.text)
        Console(highlight=False, soft_wrap=True).print(made)
    return 3 if told.open else 0


def moment(at: float) -> str:
    return time.strftime("%m-%d %H:%M:%S", time.localtime(at))


def command_of(args: dict[str, Any]) -> Define | Remove | Move | None:
    name = args["NAME"]
    if args["define"]:
        zones = tuple((args["--zones"] or "").split(",")) if args["--zones"] else ()
        return Define(name, Rule(read_duration(args, "--length"), tuple(args["--names"].split(",")), zones))
    if args["remove"]:
        return Remove(name)
    if args["move"] or args["release"]:
        return Move(name, args["TO"] or "")
    return None


def table(duties: dict[str, DutyState]) -> Table:
    made = Table("duty", "holder", "token", "grant", "wanted", box=None)
    for name, state in sorted(duties.items()):
        holder = state.tenure.holder if state.tenure is not None and state.held else "nobody"
        grant = f"{state.rule.length:g} s" if state.rule is not None else "removed"
        wanted = "" if state.wanted is None else state.wanted or "anybody else"
        made.add_row(name, holder, str(state.token or ""), grant, wanted)
    return made


def history(state: DutyState) -> Table:
    made = Table("token", "holder", "ended", box=None)
    for tenure in state.past:
        made.add_row(str(tenure.token), tenure.holder, tenure.why.value)
    if state.tenure is not None and state.held:
        made.add_row(str(state.tenure.token), state.tenure.holder, "holds it")
    return made


async def run(args: dict[str, Any]) -> int:
    name = args["--as"] or f"{os.uname().nodename}-{os.getpid()}"
    who = Candidate(name, secrets.token_hex(4), args["--zone"] or "", __version__, (args["NAME"],))
    work = Work(args["NAME"], args["COMMAND"])
    loop, ending = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ending.set)
    async with holder_over_sockets(who, sockets(args), read_duration(args, "--grace")) as holding:
        while True:
            code = await work.look(holding, ending.is_set())
            if code is not None or (ending.is_set() and work.process is None):
                await holding.report_stopped()
                return 0 if code is None else code
            await asyncio.sleep(LOOK)


LIBC = ctypes.CDLL(None, use_errno=True)
PR_SET_PDEATHSIG = 1


def end_with_parent() -> None:
    """In the child: who started it can no longer end it in time once that is killed itself."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Work:
    """An operator's command under a duty: its whole group ends before the duty does."""

    def __init__(self, duty: str, command: Sequence[str]) -> None:
        self.duty, self.command = duty, command
        self.process: asyncio.subprocess.Process | None = None
        self.group = 0
        self.until = 0.0
        self.kill_at = 0.0

    async def look(self, holding: HolderDriver, ending: bool) -> int | None:
        """What is due now; the command's own exit code once it has ended by itself."""
        holder, now = holding.holder, clock()
        if ending:
            holder.stop_all()
        right = holder.leases.get(self.duty)
        if self.process is not None:
            if self.process.returncode is not None:
                return self.ended(holding)
            self.until = right.expires_at if right is not None else self.until
            if right is None or right.stopping or self.duty in holder.duties_to_stop(now):
                self.stop(now)
        elif right is not None and self.duty in holder.duties_to_stop(now):
            holder.mark_stopped(self.duty)
        elif right is not None and (token := holding.token(self.duty)) is not None:
            self.kill_at, self.until = 0.0, right.expires_at
            return await self.begin(holding, token)
        return None

    async def begin(self, holding: HolderDriver, token: int) -> int | None:
        more = {"LATCHSPOKE_DUTY": self.duty, "LATCHSPOKE_TOKEN": str(token)}
        try:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, env=os.environ | more, start_new_session=True, preexec_fn=end_with_parent
            )
        except OSError as e:
            print(f"latchspoke duty: can't run {self.command[0]}: {e.strerror}", file=sys.stderr)
            holding.holder.mark_stopped(self.duty)
            return NOT_RUN
        self.group = self.process.pid
        return None

    def ended(self, holding: HolderDriver) -> int | None:
        """By itself, or because its duty ended: then it is begun again with the next grant."""
        assert self.process is not None
        code, asked, self.process = self.process.returncode, self.kill_at > 0, None
        self.signal(signal.SIGKILL)  # what it has left behind in its group
        holding.holder.mark_stopped(self.duty)
        return None if asked else code

    def stop(self, now: float) -> None:
        """SIGTERM at first, SIGKILL well before the end."""
        if not self.kill_at:
            self.kill_at = now + max(self.until - now, 0.0) * KILL_PART
            self.signal(signal.SIGTERM)
        elif now >= self.kill_at:
            self.signal(signal.SIGKILL)

    def signal(self, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError, PermissionError):
            os.killpg(self.group, number)
