"""Rules with versions, on which all gateways agree within a stated time.

Usage:
  latchspoke rules list [options]
  latchspoke rules show [options] NAME
  latchspoke rules history [options] NAME
  latchspoke rules status [options]
  latchspoke rules check [options] FILE
  latchspoke rules diff [options] FILE
  latchspoke rules put [options] FILE
  latchspoke rules put [options] NAME (--set ENTRY | --drop PATH)...
  latchspoke rules wait [options] NAME VERSION
  latchspoke rules -h | --help

Commands:
  list     Every document: its newest version, the active one, how long a right lasts.
  show     The entries of one, as they are in its newest version.
  history  Its versions: by whom, why, and whether they contradicted what was there.
  status   Of each gateway which version it acts under, until when at most, and what it lacks.
  check    Read a file, and say what is wrong with it.
  diff     What a file changes, and what of that contradicts what is there. Nothing is done.
  put      Make it the newest version; --set and --drop change single entries.
  wait     Until this version, or a later one, is active and every gateway that may act acts under it.

NAME is plans, blocked or aside. FILE is a typed record (schema `rules`) with the whole document.

Options:
  --socket PATH     An agent that is a member; several with commas [env: LATCHSPOKE_MEMBERS].
  --parent N        The version that it is meant to stand on, if not the newest one just read.
  --set ENTRY       PATH=VALUE.
  --drop PATH       Take this entry out.
  --reason TEXT     Kept on record.
  --limit DURATION  For `wait` [default: 60s].
  --json            Print JSON.
  -h --help         Show this.

Exit codes: 0 done, 1 refused or nothing known, 2 wrong usage or record, 3 `wait` in vain, 4 unknown whether
it was done.
"""

from __future__ import annotations

import asyncio
import os
import re
import secrets
import sys
import time
from collections.abc import Mapping
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from latchspoke.agent.api import RulesShown
from latchspoke.agent.client import AgentClient, AgentEntry, RefusedError, UnreachableError
from latchspoke.console.duty import LIMIT, insist, moment, sockets
from latchspoke.console.usage import UsageError, read_duration, read_usage, read_whole
from latchspoke.records import RecordError, load
from latchspoke.records.load import Seconds
from latchspoke.records.schemas import DEFINITIONS, schema_path
from latchspoke.revisions.documents import (
    BLOCKED,
    PLAN_LIMITS,
    Document,
    DocumentError,
    Scalar,
    build_document,
    contradictions,
    describe_change,
    diff,
    validate_entries,
)
from latchspoke.revisions.machine import Summary, assemble
from latchspoke.revisions.records import Content, FetchRules, GatewayLeases, PutRules, Terms

KEY = re.compile("[0-9A-Fa-f]{1,16}")
LOOK = 0.2  # s between looks of `wait`
LARGE = 30.0  # s for a list that is long


class RulesFile(msgspec.Struct, frozen=True):
    """A file of rules."""

    name: str
    length: Seconds
    lapse: str
    least: dict[str, Scalar] = {}
    entries: dict[str, Scalar] = {}

    @property
    def terms(self) -> Terms:
        return Terms(float(self.length), self.lapse, self.least)


def read_rules(path: str) -> RulesFile:
    """Raises RecordError, DocumentError."""
    told = load(path, schema=schema_path("rules"), definition=DEFINITIONS["rules"]).convert(RulesFile)
    entries = {normal(told.name, path): value for path, value in told.entries.items()}
    validate_entries(told.name, entries)
    if told.least:
        validate_entries(PLAN_LIMITS, told.least)
    return msgspec.structs.replace(told, entries=entries)


def normal(name: str, path: str) -> str:
    """A customer's key as gateways know it: 16 hex digits, with their zeros. Raises UsageError."""
    if name != BLOCKED:
        return path
    if not KEY.fullmatch(path):
        raise UsageError(f"{BLOCKED}.{path}: a customer's key is wanted, of 1 to 16 hex digits")
    return path.lower().zfill(16)


def main(argv: list[str]) -> int:
    args = read_usage(__doc__, "rules", argv)
    if args is None:
        return 2
    try:
        return asyncio.run(run(args))
    except (UsageError, RecordError, DocumentError) as e:
        print(f"latchspoke rules: {e}", file=sys.stderr)
        return 2
    except (UnreachableError, RefusedError) as e:
        print(f"latchspoke rules: {e}", file=sys.stderr)
        return 4 if isinstance(e, RefusedError) and e.problem.code == "unknown" else 1


class Session:
    """One call of the tool."""

    def __init__(self, args: dict[str, Any]) -> None:
        self.args = args
        self.clients = [AgentClient(path, AgentEntry(path), LIMIT, None) for path in sockets(args)]
        self.console = Console(highlight=False, soft_wrap=True)

    async def ask(self, kind: type[Any], method: str, path: str, body: object = None) -> Any:
        """Of the first agent that knows; raises what the last of them said."""
        for client in self.clients[:-1]:
            try:
                return await client.call(kind, method, path, body, limit=LARGE)
            except (UnreachableError, RefusedError):
                continue
        return await self.clients[-1].call(kind, method, path, body, limit=LARGE)

    async def summaries(self) -> dict[str, Summary]:
        shown: RulesShown = await self.ask(RulesShown, "GET", "/v1/rules")
        return shown.documents

    async def document(self, name: str, version: int) -> Document:
        made, first = Document(), 0
        while True:
            asked = FetchRules(name, version, first=first)
            told: Content = await self.ask(Content, "POST", "/v1/rules/content", asked)
            made, first = assemble(told, made), told.then
            if not first:
                return made

    def tell(self, value: Any, text: Any) -> None:
        if self.args["--json"]:
            print(msgspec.json.encode(value).decode())
        else:
            self.console.print(text, markup=False) if isinstance(text, str) else self.console.print(text)


async def run(args: dict[str, Any]) -> int:
    if args["check"]:
        told = read_rules(args["FILE"])
        print(f"{told.name}: {len(told.entries)} entries, rights of {told.length:g} s, then {told.lapse}")
        return 0
    session = Session(args)
    work = next(call for word, call in WORK.items() if args[word])
    try:
        return int(await work(session))
    finally:
        await asyncio.gather(*(client.close() for client in session.clients))


async def run_list(session: Session) -> int:
    told = await session.summaries()
    table = Table("document", "newest", "active", "entries", "right", "then", box=None)
    for name, one in sorted(told.items()):
        row = (name, str(one.head), str(one.active), str(one.entries), f"{one.terms.length:g} s")
        table.add_row(*row, one.terms.lapse)
    session.tell(told, table)
    return 0


def known(told: Mapping[str, Summary], name: str) -> Summary:
    if name not in told:
        raise UsageError(f"there is no document {name}; there are {', '.join(sorted(told))}")
    return told[name]


async def run_show(session: Session) -> int:
    name = session.args["NAME"]
    one = known(await session.summaries(), name)
    entries = dict(sorted((await session.document(name, one.head)).items()))
    lines = [f"{path}: {value}" for path, value in entries.items()]
    told = {"name": name, "version": one.head, "entries": entries}
    session.tell(told, "\n".join([f"{name} {one.head}", *lines]))
    return 0


async def run_history(session: Session) -> int:
    one = known(await session.summaries(), session.args["NAME"])
    table = Table("version", "on", "by", "when", "entries changed", "", "reason", box=None)
    for item in one.revisions:
        state = "active" if item.version == one.active else "waits" if item.version > one.active else ""
        mark = ", ".join(word for word in ("contradicted" if item.barrier else "", state) if word)
        cells = (str(item.version), str(item.parent), item.author, moment(item.at), str(item.changes))
        table.add_row(*cells, mark, item.reason)
    session.tell(one.revisions, table)
    return 0


async def run_status(session: Session) -> int:
    told: GatewayLeases = await session.ask(GatewayLeases, "GET", "/v1/rules/holders")
    table = Table("gateway", "document", "acts under", "for at most", "lacks", box=None)
    for gateway, documents in told.gateways.items():
        for name, held in documents.items():
            under = str(held.version) if held.right_for > 0 and held.version >= 0 else "no right"
            table.add_row(gateway, name, under, f"{max(held.right_for, 0.0):.1f} s", lacking(held.lacks))
    session.tell(told, table)
    if not session.args["--json"]:
        for switch in told.switches[-5:]:
            lasted = f"what came before went on for {switch.lasted:.2f} s beside it"
            session.console.print(f"{switch.name} {switch.version}: {lasted}")
    return 0


def lacking(versions: tuple[int, ...]) -> str:
    return ", ".join(map(str, versions)) or "nothing"


async def wanted(session: Session) -> tuple[Summary, Document, Document, Terms | None, str]:
    """What there is, and what is to be."""
    args = session.args
    if args["FILE"]:
        told = read_rules(args["FILE"])
        one = known(await session.summaries(), told.name)
        old = await session.document(told.name, one.head)
        return one, old, build_document(told.entries), told.terms, told.name
    name = args["NAME"]
    one = known(await session.summaries(), name)
    old = await session.document(name, one.head)
    entries = dict(read_entry(name, text) for text in args["--set"])
    validate_entries(name, entries)
    return one, old, old.with_changes(entries, [normal(name, path) for path in args["--drop"]]), None, name


def read_entry(name: str, text: str) -> tuple[str, Scalar]:
    path, sign, value = text.partition("=")
    if not sign:
        raise UsageError(f"--set takes PATH=VALUE, not {text}")
    if name != PLAN_LIMITS:
        return normal(name, path), value
    try:
        return path, float(value)
    except ValueError:
        raise UsageError(f"--set {path}: {value!r} is no number") from None


async def run_diff(session: Session) -> int:
    one, old, new, _, name = await wanted(session)
    tell_change(session, name, one, old, new)
    return 0


def tell_change(session: Session, name: str, one: Summary, old: Document, new: Document) -> None:
    against = contradictions(name, old, new)
    lines = describe_change(name, old, new) or ["no entry changes"]
    if against:
        lines += [f"contradicts version {one.head}; all who may act under it have to have the new one first:"]
        lines += [f"  {line}" for line in against[:20]]
    told = {"name": name, "on": one.head, "changes": lines, "contradictions": against}
    session.tell(told, "\n".join(lines))


async def run_put(session: Session) -> int:
    one, old, new, terms, name = await wanted(session)
    change = diff(old, new)
    if not change.size and (terms is None or terms == one.terms):
        print(f"latchspoke rules: nothing would change in {name} {one.head}", file=sys.stderr)
        return 1
    parent = read_whole(session.args, "--parent") if session.args["--parent"] is not None else one.head
    author = os.environ.get("USER") or str(os.getuid())
    command = PutRules(
        name, parent, change.put, change.removed, author, session.args["--reason"] or "", time.time(), terms
    )
    path = f"/v1/rules/commands?ident={secrets.token_hex(8)}"
    done = await insist(session.clients, path, command)
    if done.why:
        print(f"latchspoke rules: {done.why}", file=sys.stderr)
        return 1
    if not session.args["--json"]:
        tell_change(session, name, one, old, new)
    session.tell({"name": name, "version": parent + 1}, f"{name} {parent + 1} is put")
    return 0


async def run_wait(session: Session) -> int:
    """Until every gateway whose right may last acts under it."""
    name, version = session.args["NAME"], read_whole(session.args, "VERSION")
    end = time.monotonic() + read_duration(session.args, "--limit")
    late: list[str] = []
    while time.monotonic() < end:
        try:
            one = known(await session.summaries(), name)
            told: GatewayLeases = await session.ask(GatewayLeases, "GET", "/v1/rules/holders")
        except (UnreachableError, RefusedError):
            await asyncio.sleep(LOOK)
            continue
        late = [
            gateway for gateway, held in told.gateways.items()
            if name in held and held[name].right_for > 0 and held[name].version < version
        ]  # fmt: skip
        if one.active >= version and not late:
            session.tell({"name": name, "active": one.active}, f"{name} {one.active} is active everywhere")
            return 0
        await asyncio.sleep(LOOK)
    who = ", ".join(late) or "somebody that no majority knows of"
    print(f"latchspoke rules: not by now; {who} may act otherwise", file=sys.stderr)
    return 3


WORK = {
    "list": run_list, "show": run_show, "history": run_history, "status": run_status, "diff": run_diff,
    "put": run_put, "wait": run_wait,
}  # fmt: skip
