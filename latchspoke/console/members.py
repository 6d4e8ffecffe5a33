"""The members of the replicated log by which duties have one holder.

Usage:
  latchspoke members (list|status) [options]
  latchspoke members (add|remove) [options] NAME
  latchspoke members -h | --help

Commands:
  list    Who votes, who follows, who leads, as one member sees it.
  status  The same of every agent that --socket names.
  add     Take in a member that is heard; it votes once it has caught up.
  remove  Take one out, such as one that has lost its disk. Both are done by the leader, if it is named.

Options:
  --socket PATH  An agent that is a member; several with commas [env: LATCHSPOKE_MEMBERS].
  --json         Print JSON.
  -h --help      Show this.

Exit codes: 0 done, 1 refused or none is heard, 2 wrong usage, 4 some are not heard.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from latchspoke.agent.client import AgentClient, AgentEntry, RefusedError, UnreachableError
from latchspoke.agent.members import MembersChange, MemberStatus
from latchspoke.console.duty import LIMIT, sockets
from latchspoke.console.usage import UsageError, read_usage


def main(argv: list[str]) -> int:
    args = read_usage(__doc__, "members", argv)
    if args is None:
        return 2
    try:
        return asyncio.run(run(args))
    except (UsageError, UnreachableError, RefusedError) as e:
        print(f"latchspoke members: {e}", file=sys.stderr)
        return 2 if isinstance(e, UsageError) else 1


async def run(args: dict[str, Any]) -> int:
    paths = sockets(args)
    clients = [AgentClient(path, AgentEntry(path), LIMIT, None) for path in paths]
    try:
        if args["add"] or args["remove"]:
            name = args["NAME"]
            change = MembersChange(name if args["add"] else "", name if args["remove"] else "")
            return show(args, [await change_by_leader(clients, change)], [])
        asked = clients if args["status"] else clients[:1]
        told = await asyncio.gather(*(look(client) for client in asked))
    finally:
        await asyncio.gather(*(client.close() for client in clients))
    return show(
        args, [t for t in told if isinstance(t, MemberStatus)], [t for t in told if isinstance(t, str)]
    )


async def change_by_leader(clients: list[AgentClient], change: MembersChange) -> MemberStatus:
    """Whoever leads; raises what the last of them said where none does."""
    for client in clients[:-1]:
        with contextlib.suppress(RefusedError, UnreachableError):
            return await client.call(MemberStatus, "POST", "/v1/members", change)
    return await clients[-1].call(MemberStatus, "POST", "/v1/members", change)


async def look(client: AgentClient) -> MemberStatus | str:
    try:
        return await client.call(MemberStatus, "GET", "/v1/members")
    except (UnreachableError, RefusedError) as e:
        return str(e)


def show(args: dict[str, Any], seen: list[MemberStatus], silent: list[str]) -> int:
    if args["--json"]:
        print(msgspec.json.encode({"members": seen, "unheard": silent}).decode())
    else:
        table = Table("member", "role", "term", "leader", "committed", "voters", "follow", "disk", box=None)
        for s in seen:
            table.add_row(
                s.identity, "asks" if s.mute else s.role, str(s.term), s.leader or "not known",
                f"{s.commit} of {s.last}", " ".join(s.voters), " ".join(s.learners), s.disk or "good",
            )  # fmt: skip
        Console(highlight=False, soft_wrap=True).print(table)
        for line in silent:
            print(f"latchspoke members: {line}", file=sys.stderr)
    if not seen:
        return 1
    return 4 if silent else 0
