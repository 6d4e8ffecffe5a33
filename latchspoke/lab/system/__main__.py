"""``latchspoke lab system`` or ``python -m latchspoke.lab.system``: simulates a deployment.

A deployment is a TOML file, or a seed from which one is generated. Exit codes: 0 no rule broken, 1 a rule
broken, 2 wrong usage or an invalid deployment or day file.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Annotated

import cyclopts
import msgspec
from rich.console import Console
from rich.progress import Progress

from latchspoke.lab.system import hunt as hunting
from latchspoke.lab.system import report
from latchspoke.lab.system.day import run_day
from latchspoke.lab.system.guards import GUARDS, without_guard
from latchspoke.lab.system.rules import judge
from latchspoke.lab.system.scenario import (
    Day,
    Deployment,
    ScenarioError,
    draw_day,
    draw_deployment,
    draw_losses,
    draw_stutter,
    read_day,
    read_deployment,
)
from latchspoke.lab.system.version_rollouts import draw_versions

app = cyclopts.App(name="system", help=__doc__)
console = Console(highlight=False, soft_wrap=True)


def load_deployment(text: str) -> Deployment:
    """A deployment from a file, or generated if the text is a number."""
    return draw_deployment(int(text)) if text.isdigit() else read_deployment(text)


def load_day(deployment: Deployment, seed: int, day: str, quiet: bool, more: int) -> Day:
    """The day to simulate: from a file, without troubles, or generated."""
    if day:
        return read_day(day)
    return Day(seed) if quiet else draw_day(deployment, seed, more)


def checked_guard(guard: str) -> str:
    """The name of the guard; raises ScenarioError if it is unknown."""
    if guard and guard not in GUARDS:
        raise ScenarioError(f"--without: there is no {guard}; there are {', '.join(sorted(GUARDS))}")
    return guard


Without = Annotated[str, cyclopts.Parameter(name="--without")]


@app.command
def run(
    deployment: str, *, seed: int = 1, day: str = "", quiet: bool = False, guard: Without = "", out: str = "",
    json: bool = False, more: int = 0,
) -> int:  # fmt: skip
    """Simulate one day: generated from --seed (with --more faults), none (--quiet), or from --day FILE.

    --without removes a guard from the programs; --out writes a report with plots.
    """
    loaded = load_deployment(deployment)
    loaded_day = load_day(loaded, seed, day, quiet, more)
    with (
        Progress(console=Console(stderr=True), disable=json, transient=True) as bar,
        without_guard(checked_guard(guard)),
    ):
        task = bar.add_task(loaded.name, total=1.0)
        result = run_day(loaded, loaded_day, lambda share: bar.update(task, completed=share))
    findings = judge(result)
    outcome = hunting.summarize(result, findings)
    if out:
        report.write(Path(out), result, findings, outcome)
    if json:
        print(msgspec.json.encode(outcome).decode())
    else:
        for trouble in loaded_day.troubles:
            console.print(f"  {trouble}")
        for finding in findings:
            console.print(str(finding), style="red")
        console.print(format_outcome(outcome))
        if out:
            console.print(f"{out}/report.html")
    return int(bool(findings))


def format_outcome(outcome: hunting.Outcome) -> str:
    """The summary line of a day."""
    refused = ", ".join(f"{name}: {count}" for name, count in outcome.refusals.items())
    return (
        f"{outcome.deployment} seed {outcome.day.seed}: worth {outcome.worth:.3f},"
        f" served {outcome.served:.3f} of {outcome.requests}, {len(outcome.findings)} findings,"
        f" {outcome.seconds:.1f} s of processor,"
        f" digest {outcome.digest}" + (f"; {refused}" if refused else "")
    )


@app.command
def hunt(
    deployment: str, *, seed: int = 1, days: int = 40, processes: int = 2, guard: Without = "",
    drawn: bool = False, more: int = 0, losses: bool = False, stutter: bool = False,
    versions: bool = False,
) -> int:  # fmt: skip
    """Simulate many days, and reduce the first failing one to the faults that it needs.

    With --losses control-plane nodes are replaced one after the other, each once the previous one counts as
    recovered. With --stutter servers send duplicate, late responses while they are slow or failing. With
    --versions a new version of a service is rolled out, good or bad.

    With --drawn each day has its own deployment, generated from the seed of the day. --more adds this many
    faults to each day.
    """
    checked_guard(guard)
    seeds = range(seed, seed + days)
    if losses or stutter or versions:
        draw_themed = draw_versions if versions else draw_stutter if stutter else draw_losses
        loaded = load_deployment(deployment)
        pairs = [(loaded, draw_themed(loaded, n)) for n in seeds]
    elif drawn:
        pairs = [(loaded, draw_day(loaded, n, more)) for n in seeds for loaded in [draw_deployment(n)]]
    else:
        pairs = hunting.draw_days(load_deployment(deployment), seeds, more)
    began, bad, spent, worth = time.monotonic(), [], 0.0, 0.0
    for outcome in hunting.hunt(pairs, guard, processes):
        spent, worth = spent + outcome.seconds, worth + outcome.worth
        if outcome.findings:
            bad.append(outcome)
            console.print(format_outcome(outcome))
            for finding in outcome.findings[:3]:
                console.print(f"    {finding}", style="red")
    console.print(
        f"{days} days, {len(bad)} that break a rule, mean worth {worth / days:.3f},"
        f" {time.monotonic() - began:.0f} s,"
        f" {60 * days / spent:.1f} days a minute and core"
    )
    if not bad:
        return 0
    first = min(bad, key=lambda outcome: outcome.day.seed)
    loaded = next(p for p, day in pairs if day.seed == first.day.seed)
    print_shortest(loaded, first.day, first.findings[0].rule, guard)
    return 1


def print_shortest(loaded: Deployment, day: Day, rule: str, guard: str) -> None:
    """Reduce a failing day and print it in the format of a day file."""
    shortest = hunting.shorten(loaded, day, rule, guard)
    console.print(f"seed {day.seed} breaks {rule} with these alone; as a file for --day:")
    console.print(f"seed = {shortest.seed}\nload = {shortest.load}\ntroubles = [")
    for trouble in shortest.troubles:
        fields = [
            f"{name} = {value!r}".replace("'", '"') for name, value in msgspec.structs.asdict(trouble).items()
        ]
        console.print(f"  {{ {', '.join(fields)} }},", markup=False)
    console.print("]", markup=False)


@app.command
def explain(
    deployment: str, *, seed: int = 1, day: str = "", who: str = "", guard: Without = "", window: float = 2.0,
    more: int = 0,
) -> int:  # fmt: skip
    """Print the events and log lines around each finding of a day.

    --who ID prints those of one request, server or machine instead.
    """
    loaded = load_deployment(deployment)
    loaded_day = load_day(loaded, seed, day, False, more)
    with without_guard(checked_guard(guard)):
        result = run_day(loaded, loaded_day)
    findings = judge(result)
    for finding in findings[:5]:
        console.print(str(finding), style="red")
        for line in report.story_lines(result, who or finding.who, finding.at, window):
            console.print(f"    {line}")
    if who and not findings:
        for line in report.story_lines(result, who, 0.0, 1e9):
            console.print(f"    {line}")
    if findings:
        print_shortest(loaded, loaded_day, findings[0].rule, guard)
    else:
        console.print("no rule is broken")
    return int(bool(findings))


@app.command
def size(
    deployment: str, *, gateways: str = "", seed: int = 1, seconds: float = 6.0, json: bool = False
) -> int:
    """Internal traffic per second on a day without faults, by message kind and machine, beside the formulas.

    --gateways 10,84,300 repeats it for each number of gateways; servers and requests scale with it.
    """
    from latchspoke.lab.system import size as sizing

    loaded = load_deployment(deployment)
    for count in [int(text) for text in gateways.split(",") if text] or [0]:
        measured = sizing.measure(sizing.with_gateways(loaded, count) if count else loaded, seed, seconds)
        if json:
            print(msgspec.json.encode(msgspec.to_builtins(measured)).decode(), flush=True)
            continue
        console.print(
            f"{measured.gateways} gateways, {measured.cores} control machines, {measured.servers} servers,"
            f" {measured.per_s:.0f} requests/s, served {measured.served:.3f}"
        )
        for kind, messages, byte_count, cross_region, formula in sizing.rows(measured):
            formula_text = "" if formula is None else f"   by the formula {formula:10.0f}"
            traffic_text = f"{byte_count:11.0f} bytes/s, {cross_region:9.0f} between regions"
            console.print(f"  {kind:20} {messages:9.1f} messages/s {traffic_text}{formula_text}")
        for kind in ("edge", "core"):
            console.print(
                f"  own messages at one {kind}: {measured.mean[kind]:.0f} bytes/s out and in,"
                f" at most {measured.worst[kind]:.0f}"
            )
    return 0


def main(argv: list[str] | None = None) -> int:
    """Run the command line; returns the exit code."""
    words = sys.argv[1:] if argv is None else argv
    try:
        return int(app(words, result_action="return_value") or 0)
    except ScenarioError as e:
        print(f"latchspoke lab system: {e}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
