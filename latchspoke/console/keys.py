"""The fleet's own authority, and the certificates of agents and operators.

Usage:
  latchspoke keys init FOLDER [--name NAME] [--days N]
  latchspoke keys issue FOLDER ROLE NAME [--host HOST]... [--days N]
  latchspoke keys renew FOLDER NAME [--days N]
  latchspoke keys show FOLDER [--json]
  latchspoke keys -h | --help

Commands:
  init   Make a new authority in an empty folder.
  issue  Make a key and a certificate; ROLE is agent, operator or viewer.
  renew  Make a new key and certificate for the same role, name and hosts.
  show   What there is, for whom and until when.

Options:
  --name NAME  The authority's name [default: latchspoke fleet].
  --host HOST  Where an agent is reached: a name or an address; may stand several times.
  --days N     How long it is good; 3650 for an authority, 90 for what it issues.
  --json       Print JSON.
  -h --help    Show this.

A viewer may look, an operator may act. Whoever can read a key is whom it names: keys that others can read
are refused. Exit codes: 0 done, 1 could not, 2 wrong usage.
"""

from __future__ import annotations

import datetime
import json
import sys
from typing import Any

from rich.console import Console

from latchspoke.console import tables
from latchspoke.console.usage import read_usage
from latchspoke.keys import authority as keys
from latchspoke.keys.authority import DAY, KeysError
from latchspoke.keys.files import KeyFolder, read_file

AUTHORITY = "authority"
SOON = 14 * DAY


def main(argv: list[str]) -> int:
    args = read_usage(__doc__, "keys", argv)
    if args is None:
        return 2
    work = next(call for word, call in WORK.items() if args[word])
    try:
        work(KeyFolder(args["FOLDER"]), args)
    except KeysError as e:
        print(f"latchspoke keys: {e}", file=sys.stderr)
        return 1
    return 0


def now() -> datetime.datetime:
    return datetime.datetime.now(datetime.UTC).replace(microsecond=0)


def days(args: dict[str, Any], usual: int) -> datetime.timedelta:
    text = args["--days"] or str(usual)
    if not text.isdecimal() or not 0 < int(text) <= 36500:
        raise KeysError(f"--days takes 1 to 36500, not {text}")
    return int(text) * DAY


def init(folder: KeyFolder, args: dict[str, Any]) -> None:
    if folder.has(AUTHORITY):
        raise KeysError(f"{folder.path} has an authority already; what it issued would be worth nothing")
    folder.create()
    made = keys.make_authority(args["--name"], now(), days(args, 3650))
    folder.write(AUTHORITY, made)
    print(f"{folder.certificate(AUTHORITY)}: good until {made.certificate.not_valid_after_utc:%Y-%m-%d}")


def issue(folder: KeyFolder, args: dict[str, Any]) -> None:
    name = args["NAME"]
    if name == AUTHORITY or folder.has_certificate(name):
        raise KeysError(f"{folder.path} has a certificate for {name} already; renew it")
    write_new(folder, args["ROLE"], name, args["--host"], args)


def renew(folder: KeyFolder, args: dict[str, Any]) -> None:
    name = args["NAME"]
    if name == AUTHORITY:
        raise KeysError("an authority is not renewed: make a new one, and issue anew")
    old = keys.describe(folder.read_certificate(name))
    write_new(folder, old.role, old.name, old.hosts, args)


def write_new(folder: KeyFolder, role: str, name: str, hosts: Any, args: dict[str, Any]) -> None:
    made = keys.issue(folder.read(AUTHORITY), role, name, hosts, now(), days(args, 90))
    folder.write(name, made)
    print(f"{folder.certificate(name)}: {role}, good until {made.certificate.not_valid_after_utc:%Y-%m-%d}")


def show(folder: KeyFolder, args: dict[str, Any]) -> None:
    told = {}
    for name in folder.names():
        path = folder.certificate(name)
        told[name] = keys.describe(keys.read_certificate(read_file(path), str(path)))
    if not told:
        raise KeysError(f"{folder.path} holds no certificates")
    if args["--json"]:
        print(json.dumps({name: plain(item) for name, item in told.items()}, indent=2))
        return
    made = tables.table("name", "role", "hosts", "until", "remark", "fingerprint")
    for name, item in told.items():
        left = item.not_after - now()
        remark = "ended" if left.total_seconds() < 0 else "ends soon" if left < SOON else ""
        made.add_row(name, item.role, ", ".join(item.hosts), f"{item.not_after:%Y-%m-%d}", remark,
                     item.fingerprint[:16])  # fmt: skip
    Console(highlight=False).print(made)


def plain(item: keys.CertificateInfo) -> dict[str, Any]:
    return {
        "role": item.role, "name": item.name, "hosts": list(item.hosts),
        "begins": item.not_before.isoformat(), "ends": item.not_after.isoformat(),
        "fingerprint": item.fingerprint,
    }  # fmt: skip


WORK = {"init": init, "issue": issue, "renew": renew, "show": show}
