"""Traces: recorded traffic made ready to be played again.

Usage:
  latchspoke trace import [options] --out TRACE SOURCE...
  latchspoke trace show [options] TRACE
  latchspoke trace check [options] TRACE
  latchspoke trace convert [options] --out FILE TRACE
  latchspoke trace -h | --help

Commands:
  import   Read HAR files, access logs or JSON lines into one trace, in order of their times.
  show     What a trace holds: rates, gateways, plans, retries, outcomes.
  check    Read a trace whole, and say what is wrong with it, if anything is.
  convert  Write it as JSON lines, or a part of it as a trace.

A SOURCE is a file, or NAME=FILE for the log of the gateway NAME.

Options:
  --out FILE       Where to write to; it gets its name once it is whole.
  --format FORMAT  har, json, common, combined, vhost, nginx, or a format string of Apache (%h ...) or
                   nginx ($remote_addr ...). Told by the file's name where it ends in .har or .json(l).
  --map FILE       A typed record that says whose a request is (schema `mapping`).
  --skew PAIR      NAME=SECONDS: that gateway's clock is so much ahead; several with commas.
  --window TIME    How much out of order a log may be [default: 60s].
  --seed N         For times drawn within a second [default: 0].
  --from TIME      Leave out what comes before, from the trace's start.
  --until TIME     Leave out what comes at this time or later.
  --requests N     Show the first N requests too [default: 0].
  --as FORM        What to convert to: json or trace [default: json].
  --json           Print JSON.
  -h --help        Show this.

Exit codes: 0 done, 1 something is wrong with a file, 2 wrong usage.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterator
from itertools import islice
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console

from latchspoke.console import tables
from latchspoke.console.usage import UsageError, read_duration, read_usage, read_whole
from latchspoke.records import RecordError
from latchspoke.traffic.importer import ImportReport, SourceFile, TraceImporter
from latchspoke.traffic.mapping import read_mapping
from latchspoke.traffic.readers.accesslog import FormatError
from latchspoke.traffic.trace import (
    ESTIMATED,
    MARKED,
    SPREAD,
    STEPPED,
    Reader,
    Request,
    TraceError,
    Writer,
    requests_between,
)

SUFFIXES = {".har": "har", ".json": "json", ".jsonl": "json", ".ndjson": "json"}
PACKED = (".gz", ".zst")
FLAGS = {ESTIMATED: "estimated", SPREAD: "spread", STEPPED: "stepped", MARKED: "marked"}


def main(argv: list[str]) -> int:
    args = read_usage(__doc__, "trace", argv)
    if args is None:
        return 2
    work = {"import": run_import, "show": run_show, "check": run_check, "convert": run_convert}
    try:
        return next(call for word, call in work.items() if args[word])(args)
    except (UsageError, FormatError) as e:
        print(f"latchspoke trace: {e}", file=sys.stderr)
        return 2
    except (RecordError, TraceError) as e:
        print(e, file=sys.stderr)
        return 1
    except OSError as e:
        print(f"latchspoke trace: can't read {e.filename}: {e.strerror}", file=sys.stderr)
        return 1


# Importing.


def form_of(path: str, told: str | None) -> str:
    if told:
        return told
    suffixes = [s for s in Path(path).suffixes if s not in PACKED]
    form = SUFFIXES.get(suffixes[-1]) if suffixes else None
    if form is None:
        raise UsageError(f"{path}: its name tells no format; name one with --format")
    return form


def read_skews(text: str | None) -> dict[str, float]:
    skews = {}
    for pair in (text or "").split(","):
        name, sign, value = pair.partition("=")
        if not pair:
            continue
        try:
            skews[name] = float(value)
        except ValueError:
            sign = ""
        if not sign:
            raise UsageError(f"--skew takes NAME=SECONDS, not {pair}")
    return skews


def sources(args: dict[str, Any]) -> list[SourceFile]:
    skews, made = read_skews(args["--skew"]), []
    for word in args["SOURCE"]:
        name, sign, path = word.partition("=")
        # A path may hold a sign of its own: it is a name only if the whole is no file.
        if not sign or Path(word).exists():
            name, path = "", word
        gateway = name or Path(path).name.partition(".")[0]
        made.append(SourceFile(path, form_of(path, args["--format"]), gateway, skews.pop(gateway, 0.0)))
    if skews:
        raise UsageError(f"--skew names no source: {', '.join(skews)}")
    return made


def run_import(args: dict[str, Any]) -> int:
    work = TraceImporter(
        sources(args),
        read_mapping(args["--map"]),
        read_whole(args, "--seed"),
        read_duration(args, "--window", 60.0),
    )
    console = Console(stderr=True)
    if console.is_terminal:
        with console.status("reading") as status:
            work.on_progress = lambda requests: status.update(f"{requests} requests")
            told = work.run(args["--out"])
    else:
        told = work.run(args["--out"])
    tell_import(args, told)
    return 0


def tell_import(args: dict[str, Any], told: ImportReport) -> None:
    footer = told.footer
    assert footer is not None
    if args["--json"]:
        value = {"footer": footer, "skipped": told.examples, "steps": told.clock_steps}
        print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())
        return
    print(
        f"{args['--out']}: {footer.requests} requests, {footer.first_tries} first tries, "
        f"{footer.customers} customers, {footer.last_at / 1e6:.1f} s"
    )
    for text, count in (
        ("without a time, placed between their neighbours", footer.estimated),
        ("of a coarse time, drawn within it", footer.spread),
        (f"steps back of a clock ({', '.join(told.clock_steps)})", footer.steps),
        ("names whose keys collided, and were told apart", footer.collisions),
    ):
        if count:
            print(f"  {count} {text}")
    for reason, count in sorted(footer.skipped.items(), key=lambda item: -item[1]):
        print(f"  {count} not taken: {reason}")
        for line in told.examples.get(reason, ()):
            print(f"      {line}")


# Looking.


class Summary:
    """What a trace holds, counted in one pass."""

    def __init__(self) -> None:
        self.requests = self.firsts = 0
        self.last_at = self.first_at = 0
        self.counts: dict[str, Counter[str]] = {
            name: Counter() for name in ("gateway", "plan", "kind", "status", "attempt", "flag")
        }
        self.customers: Counter[int] = Counter()

    def add(self, request: Request) -> None:
        self.first_at = self.first_at if self.requests else request.at
        self.requests, self.last_at = self.requests + 1, request.at
        self.firsts += request.is_first_attempt
        self.customers[request.customer] += request.is_first_attempt
        for name, value in (
            ("gateway", request.gateway), ("plan", request.plan or "(none)"), ("kind", request.kind),
            ("status", str(request.status or "(no answer)")), ("attempt", str(request.attempt)),
        ):  # fmt: skip
            self.counts[name][value] += 1
        for flag, word in FLAGS.items():
            if request.flags & flag:
                self.counts["flag"][word] += 1

    def plain(self) -> dict[str, Any]:
        span = (self.last_at - self.first_at) / 1e6
        return {
            "requests": self.requests, "first_tries": self.firsts, "customers": len(self.customers),
            "seconds": round(span, 3), "rate": round(self.requests / span, 3) if span else 0.0,
            **{name: dict(counts.most_common()) for name, counts in self.counts.items()},
        }  # fmt: skip


def part(args: dict[str, Any], reader: Reader) -> Iterator[Request]:
    return requests_between(
        reader, read_duration(args, "--from", 0.0), read_duration(args, "--until", float("inf"))
    )


def run_show(args: dict[str, Any]) -> int:
    reader, summary = Reader(args["TRACE"]), Summary()
    for request in part(args, reader):
        summary.add(request)
    shown = list(islice(part(args, reader), read_whole(args, "--requests")))
    told = {"header": reader.header, "summary": summary.plain(), "requests": [as_json(r) for r in shown]}
    if args["--json"]:
        print(msgspec.json.format(msgspec.json.encode(told), indent=2).decode())
        return 0
    plain = summary.plain()
    console = Console(highlight=False)
    console.print(
        f"{plain['requests']} requests in {plain['seconds']:.1f} s ({plain['rate']:.2f} a second), "
        f"{plain['first_tries']} first tries, {plain['customers']} customers"
    )
    made = tables.table("of", "value", "requests", "share")
    for name, counts in summary.counts.items():
        for value, count in counts.most_common(12):
            made.add_row(name, value, str(count), f"{count / max(summary.requests, 1):.1%}")
    console.print(made)
    for request in shown:
        console.print(request_line(request), markup=False)
    return 0


def request_line(request: Request) -> str:
    flags = ",".join(word for flag, word in FLAGS.items() if request.flags & flag)
    repeat = f" repeats {request.first}" if request.attempt else ""
    took = f"{request.took / 1e3:.1f} ms" if request.took >= 0 else "-"
    return (
        f"{request.number:>8} {request.at / 1e6:12.6f} {request.gateway} {request.customer:016x} "
        f"{request.plan} {request.method} {request.url} {request.status or '-'} {took}{repeat} {flags}"
    ).rstrip()


def run_check(args: dict[str, Any]) -> int:
    """Order, numbers, and that each retry repeats a first try of the same customer before it."""
    reader, firsts, last = Reader(args["TRACE"]), dict[int, int](), 0
    for request in reader:
        at = f"{args['TRACE']}: request {request.number}"
        if request.at < last:
            raise TraceError(f"{at} comes before the one that it follows")
        last = request.at
        if request.is_first_attempt:
            firsts[request.number] = request.customer
        elif firsts.get(request.first) != request.customer:
            raise TraceError(f"{at} repeats {request.first}, which is no first try of its customer")
    footer = reader.footer
    assert footer is not None
    if footer.first_tries != len(firsts):
        raise TraceError(f"{args['TRACE']}: {len(firsts)} first tries, its end says {footer.first_tries}")
    print(f"{args['TRACE']}: good, {footer.requests} requests, {footer.first_tries} first tries")
    return 0


def as_json(request: Request) -> dict[str, Any]:
    return msgspec.structs.asdict(request) | {"customer": f"{request.customer:016x}"}


def run_convert(args: dict[str, Any]) -> int:
    reader = Reader(args["TRACE"])
    if args["--as"] == "trace":
        convert_trace(args, reader)
    elif args["--as"] == "json":
        with open(args["--out"], "wb") as file:
            for request in part(args, reader):
                file.write(msgspec.json.encode(as_json(request)) + b"\n")
    else:
        raise UsageError(f"--as takes json or trace, not {args['--as']}")
    return 0


def convert_trace(args: dict[str, Any], reader: Reader) -> None:
    """A part as a trace of its own: its times and numbers begin anew, and so do tries cut in two."""
    start, header = read_duration(args, "--from", 0.0), reader.header
    writer = Writer(args["--out"], msgspec.structs.replace(header, began=header.began + start))
    known: dict[int, tuple[int, int]] = {}
    try:
        for count, old in enumerate(part(args, reader), 1):
            first, attempts = known.get(old.first, (count, 0))
            writer.add(
                msgspec.structs.replace(
                    old,
                    number=count,
                    at=old.at - round(start * 1e6),
                    first=first,
                    attempt=attempts if old.first in known else 0,
                )
            )
            known[old.first] = first, attempts + 1
        writer.close()
    except BaseException:
        writer.discard()
        raise
