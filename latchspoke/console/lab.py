"""The laboratory: experiments on stand-in servers, and what they came to.

Usage:
  latchspoke lab run [options] EXPERIMENT
  latchspoke lab schedules [options]
  latchspoke lab system run|hunt|explain ...
  latchspoke lab -h | --help

Commands:
  run        Play every variant of an experiment, as often as it says, and write a report.
  schedules  Members and holders of duties in virtual time under drawn faults; a checker reads what they did.
  system     Days of a whole deployment in virtual time, judged by the rules; `lab system --help` tells more.

Options:
  --out FOLDER     Where the report goes [default: report].
  --seed N         In place of the experiment's.
  --repeats N      In place of the experiment's.
  --processes N    Of the player, on sockets [default: 1].
  --virtual        In virtual time and memory: as fast as the code runs, and one seed gives one result.
  --members N      Of the replicated log [default: 3].
  --holders N      That may hold duties [default: 5].
  --gates N        Gateways that go by rules with versions, which operators change [default: 0].
  --count N        Schedules to play, from --seed (1) on [default: 200].
  --change NAME    With this guard taken out, which the checker is to find; `list` names them.
  --real           With real processes in the place of virtual time; their folders stay under --out.
  --json           Print the figures as JSON.
  -h --help        Show this.

EXPERIMENT is a typed record (schema `lab`). Ctrl-C ends it; the report is then of what was played.
Of a schedule that fails the seed and the fewest faults that still make it fail are printed.
Exit codes: 0 done, 1 could not be played or a schedule failed, 2 wrong usage or record, 130 interrupted.
"""

from __future__ import annotations

import asyncio
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console

from latchspoke.console import schedules, tables
from latchspoke.console.usage import UsageError, read_usage, read_whole
from latchspoke.lab import report, virtual_run
from latchspoke.lab.experiment import Experiment, read_experiment, variants
from latchspoke.lab.loopback.player import PlayerError
from latchspoke.lab.loopback.run import Run, RunError, RunResult
from latchspoke.records import RecordError
from latchspoke.traffic.trace import TraceError


def main(argv: list[str]) -> int:
    if argv[:1] == ["system"]:
        from latchspoke.lab.system.__main__ import main as system

        return system(argv[1:])
    return played(argv)


def played(argv: list[str]) -> int:
    args = read_usage(__doc__, "lab", argv)
    if args is None:
        return 2
    try:
        if args["schedules"]:
            return schedules.main(args)
        experiment = read_experiment(args["EXPERIMENT"])
        for name in ("--seed", "--repeats"):
            if args[name] is not None:
                experiment = msgspec.structs.replace(experiment, **{name[2:]: read_whole(args, name, 1)})
        return run(args, experiment)
    except UsageError as e:
        print(f"latchspoke lab: {e}", file=sys.stderr)
        return 2
    except RecordError as e:
        print(e, file=sys.stderr)
        return 2
    except (RunError, PlayerError, TraceError, OSError) as e:
        print(f"latchspoke lab: {e}", file=sys.stderr)
        return 1


def run(args: dict[str, Any], experiment: Experiment) -> int:
    out, console = Path(args["--out"]), Console(stderr=True, highlight=False)
    shown: list[report.ReportedRun] = []
    # Turn by turn, not variant by variant: what the machine does meanwhile hits all alike.
    made = list(variants(experiment, args["EXPERIMENT"]))
    for turn in range(experiment.repeats):
        for name, changed, tree in made:
            seed = experiment.seed + turn
            console.print(f"{name}: run {turn + 1} of {experiment.repeats}, seed {seed}")
            result = play(args, changed, name, seed, tree, out / "runs" / f"{name}-{seed}")
            shown.append(show(changed, result))
            if result.interrupted:
                break
        if shown[-1].interrupted:
            break
    notes = notes_of(shown)
    report.write_report(out, experiment.name, shown, notes)
    tell(args, out, shown, notes)
    return 130 if shown[-1].interrupted else 0


def play(
    args: dict[str, Any], experiment: Experiment, name: str, seed: int, tree: str, folder: Path
) -> RunResult:
    if not args["--virtual"]:
        return asyncio.run(
            Run(experiment, name, seed, tree, folder, read_whole(args, "--processes", 1)).play()
        )
    if tree:
        raise UsageError(f"variant {name}: gateways of another tree are processes; leave --virtual out")
    return virtual_run.play(experiment, name, seed)


def show(experiment: Experiment, result: RunResult) -> report.ReportedRun:
    gateways = [
        {
            "name": g.name, "cpu": g.cpu, "memory_mb": g.memory_mb, "ended": g.ended,
            "served": g.stats.get("flows.served", 0), "refused": g.stats.get("flows.refused", 0),
            "stats": g.stats,
        }
        for g in result.gateways
    ]  # fmt: skip
    pays = {name: plan.pays for name, plan in experiment.plans.items()}
    use = {name: asdict(told) for name, told in result.use.items()}
    gateways += [
        {
            "name": f"n{n}", "cpu": 0.0, "memory_mb": 0.0, "ended": "",
            "served": stats.get("flows.served", 0), "refused": stats.get("flows.refused", 0), "stats": stats,
        }
        for n, stats in enumerate(result.stats)
    ]  # fmt: skip
    more = {"counter_calls": result.counter_calls, "attempts_at_nodes": result.attempts,
            "nodes": result.served_by_nodes}  # fmt: skip
    return report.ReportedRun(
        result.variant,
        result.seed,
        result.outcomes,
        pays,
        use,
        gateways,
        result.interrupted,
        experiment.schedule(),
        more,
    )


def notes_of(shown: list[report.ReportedRun]) -> list[str]:
    """What must be known before any figure is believed."""
    notes = []
    for item in shown:
        where = f"{item.variant}, seed {item.seed}"
        if item.interrupted:
            notes.append(f"{where}: interrupted")
        if item.outcomes.behind:
            notes.append(
                f"{where}: the player fell behind, {item.outcomes.behind} requests more than 100 ms late, "
                f"from {item.outcomes.behind_from:.1f} s on"
            )
        notes += [f"{where}: gateway {g['name']} {g['ended']}" for g in item.gateways if g["ended"]]
    return notes


def tell(args: dict[str, Any], out: Path, shown: list[report.ReportedRun], notes: list[str]) -> None:
    rows = report.compare_variants(shown)
    names = list(dict.fromkeys(item.variant for item in shown))
    if args["--json"]:
        value = {r.name: dict(zip(names, r.values, strict=True)) | {"verdict": r.verdict} for r in rows}
        print(msgspec.json.format(msgspec.json.encode({"figures": value, "notes": notes}), indent=2).decode())
        return
    console = Console(highlight=False)
    made = tables.table("figure", *names, *(["said"] if len(names) > 1 else []))
    for row in rows:
        cells = [f"{mean:.4g} ({least:.4g} to {most:.4g})" for mean, least, most in row.values]
        made.add_row(row.name, *cells, *([row.verdict] if len(names) > 1 else []))
    console.print(made)
    for note in notes:
        console.print(note, style="yellow")
    console.print(f"{out / 'report.html'}")
