"""Plays a trace against gateways: by its own clock, whatever they answer.

Usage:
  latchspoke replay [options] --to GATEWAYS TRACE
  latchspoke replay -h | --help

Options:
  --to GATEWAYS    NAME=HOST:PORT for each recorded gateway, with commas; or HOST:PORT,... in the order in
                   which they first appear in the trace.
  --speed X        So many times as fast [default: 1].
  --scale X        So many times the customers, of the same habits; below 1, a part of them [default: 1].
  --louder         With --scale: the same customers ask more, instead of more customers.
  --verbatim       Play retries as they were recorded; else clients retry by what they get.
  --from TIME      Leave out what comes before, from the trace's start.
  --until TIME     Leave out what comes at this time or later.
  --spread N       Gateways of a customer's set, as requests tell them; all unless told otherwise.
  --give-up TIME   How long a client waits where the trace does not say [default: 4s].
  --aim TIME       Within which an answer is in time [default: 1.2s].
  --retries N      Of the modelled client [default: 2].
  --processes N    Of the player [default: 1].
  --seed N         Of clients' waits, and of who is scaled [default: 1].
  --out FOLDER     Write report.html and report.json there.
  --json           Print the figures as JSON.
  -h --help        Show this.

Ctrl-C ends it; what is told is then of what was played.
Exit codes: 0 played, 1 could not be, 2 wrong usage, 3 the player fell behind, 130 interrupted.
"""

from __future__ import annotations

import json
import signal
import sys
from collections.abc import Iterator
from pathlib import Path
from types import FrameType
from typing import Any

from rich.console import Console

from latchspoke.console import tables
from latchspoke.console.usage import UsageError, read_duration, read_usage, read_whole
from latchspoke.lab.clients import ClientSettings
from latchspoke.lab.load import Arrival, TraceReplay
from latchspoke.lab.loopback.player import PlayerError, PlayerJob, PlayerSettings, play_all
from latchspoke.lab.outcome import Outcomes
from latchspoke.traffic.trace import Reader, TraceError, requests_between


def main(argv: list[str]) -> int:
    args = read_usage(__doc__, "replay", argv)
    if args is None:
        return 2
    try:
        return run(args)
    except UsageError as e:
        print(f"latchspoke replay: {e}", file=sys.stderr)
        return 2
    except (TraceError, PlayerError, OSError) as e:
        print(f"latchspoke replay: {e}", file=sys.stderr)
        return 1


def number(args: dict[str, Any], name: str) -> float:
    try:
        value = float(args[name])
    except ValueError:
        value = 0.0
    if not 0 < value < 1e6:
        raise UsageError(f"{name} takes a number above 0, not {args[name]}")
    return value


def read_gateways(text: str, recorded: list[str]) -> tuple[list[tuple[str, int]], dict[str, int]]:
    """Addresses, and which of them each recorded gateway is."""
    addresses: list[tuple[str, int]] = []
    numbers: dict[str, int] = {}
    for place, word in enumerate(text.split(",")):
        name, sign, address = word.rpartition("=")
        host, _, port = address.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            raise UsageError(f"--to takes NAME=HOST:PORT, not {word!r}")
        addresses.append((host.strip("[]"), int(port)))
        if sign:
            numbers[name] = place
        elif place < len(recorded):
            numbers[recorded[place]] = place
    if missing := [name for name in recorded if name not in numbers]:
        raise UsageError(f"the trace was recorded at {', '.join(missing)} too: name an address for each")
    return addresses, numbers


def arrivals(path: str, options: dict[str, Any], start: float, end: float) -> Iterator[Arrival]:
    """Made anew in each process of the player."""
    yield from TraceReplay(**options).arrivals(requests_between(Reader(path), start, end))


def run(args: dict[str, Any]) -> int:
    path, start = args["TRACE"], read_duration(args, "--from", 0.0)
    end = read_duration(args, "--until", float("inf"))
    recorded = list(dict.fromkeys(r.gateway for r in requests_between(Reader(path), start, end)))
    addresses, numbers = read_gateways(args["--to"], recorded)
    options = {
        "gateways": numbers, "speed": number(args, "--speed"), "scale": number(args, "--scale"),
        "louder": args["--louder"], "verbatim": args["--verbatim"], "seed": read_whole(args, "--seed", 0),
        "spread": read_whole(args, "--spread", 1) if args["--spread"] else len(addresses),
    }  # fmt: skip
    clients = ClientSettings(
        request_timeout=read_duration(args, "--give-up", 4.0), retries=read_whole(args, "--retries", 0),
        target_latency=read_duration(args, "--aim", 1.2),
    )  # fmt: skip
    processes = read_whole(args, "--processes", 1)
    works = [
        PlayerJob(
            PlayerSettings(addresses, clients, options["seed"], args["--verbatim"], n, processes),
            arrivals,
            (path, options, start, end),
        )
        for n in range(processes)
    ]
    outcomes, interrupted = Outcomes(clients.target_latency), False

    def interrupt(number: int, frame: FrameType | None) -> None:
        nonlocal interrupted
        interrupted = True

    before = signal.signal(signal.SIGINT, interrupt)
    try:
        play_all(works, outcomes)
    finally:
        signal.signal(signal.SIGINT, before)
    return tell(args, outcomes, interrupted)


def tell(args: dict[str, Any], outcomes: Outcomes, interrupted: bool) -> int:
    summary = outcomes.summary()
    notes = notes_of(outcomes, interrupted)
    if args["--out"]:
        from latchspoke.lab import report  # the library for plots takes a second to load

        shown = report.ReportedRun(
            Path(args["TRACE"]).name, int(args["--seed"]), outcomes, interrupted=interrupted
        )
        report.write_report(Path(args["--out"]), f"Replay of {Path(args['TRACE']).name}", [shown], notes)
    if args["--json"]:
        print(json.dumps(summary | {"interrupted": interrupted, "notes": notes}, indent=2))
    else:
        show(args, summary, notes)
    if interrupted:
        return 130
    return 3 if outcomes.behind else 0


def notes_of(outcomes: Outcomes, interrupted: bool) -> list[str]:
    notes = ["interrupted: the figures are of what was played until then"] if interrupted else []
    if outcomes.behind:
        notes.append(
            f"the player fell behind: {outcomes.behind} requests went out more than 100 ms late, from "
            f"{outcomes.behind_from:.1f} s on; what follows is not the gateways' doing alone"
        )
    return notes


def show(args: dict[str, Any], summary: dict[str, Any], notes: list[str]) -> None:
    console = Console(highlight=False)
    made = tables.table("figure", "value")
    for kind, told in summary["arrivals"].items():
        by = {"slots": "100 ms", "gateways": "gateway", "customers": "customer"}[kind]
        made.add_row(
            f"arrivals by {by}", f"{told['played']} of {told['planned']}, {told['elsewhere']:.2%} elsewhere"
        )
    for name, key in (("lateness of the player", "lateness_ms"), ("time to the answer", "latency_ms")):
        made.add_row(f"{name}, ms", ", ".join(f"{k} {v:.2f}" for k, v in summary[key].items()))
    made.add_row("clients' retries", str(summary["retries"]))
    for plan, counts in summary["first_tries"].items():
        made.add_row(
            f"first tries of {plan or '(no plan)'}", ", ".join(f"{w} {n}" for w, n in counts.items())
        )
    console.print(made)
    for note in notes:
        console.print(note, style="yellow")
    if args["--out"]:
        console.print(f"{args['--out']}/report.html")
