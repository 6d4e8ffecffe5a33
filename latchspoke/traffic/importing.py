"""From recorded files to a trace: read, order, name, find retries, write; in one pass and bounded memory."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from latchspoke.traffic.mapping import Keys, Lookup, MappingRecord, Named
from latchspoke.traffic.ordering import WINDOW, Placed, Settler, merge, sort
from latchspoke.traffic.readers import Entries
from latchspoke.traffic.readers.accesslog import LogFormat, read_log
from latchspoke.traffic.readers.har import read_har
from latchspoke.traffic.readers.jsonlines import read_json_lines
from latchspoke.traffic.retries import Retries
from latchspoke.traffic.seen import Seen, Skipped
from latchspoke.traffic.trace import MARKED, Footer, Header, Request, Writer

SHOWN = 5  # skipped lines shown for each reason
HEADER_UNKNOWN_START = 0.0


@dataclass(frozen=True, slots=True)
class SourceFile:
    """One file to import: its format (``har``, ``json``, or an access log's), gateway and clock's skew."""

    path: str
    form: str
    gateway: str = ""
    skew: float = 0.0

    def open(self) -> tuple[Entries, float]:
        """Its entries, and its clock's resolution in s. Raises FormatError or OSError."""
        if self.form == "har":
            return read_har(self.path), 0.0
        if self.form == "json":
            return read_json_lines(self.path), 0.0
        form = LogFormat(self.form)
        return read_log(self.path, form), form.resolution


@dataclass(slots=True)
class Told:
    """What became of an import, for people and for JSON."""

    footer: Footer | None = None
    skipped: Counter[str] = field(default_factory=Counter)
    shown: dict[str, list[str]] = field(default_factory=dict)
    steps: list[str] = field(default_factory=list)
    bytes_read: int = 0

    def skip(self, path: str, item: Skipped) -> None:
        self.skipped[item.reason] += 1
        shown = self.shown.setdefault(item.reason, [])
        if len(shown) < SHOWN:
            shown.append(f"{path}:{item.line}: {item.detail}".rstrip(": "))


class Import:
    """One import of some files into one trace."""

    def __init__(
        self,
        sources: list[SourceFile],
        mapping: MappingRecord,
        seed: int = 0,
        window: float = WINDOW,
        on_progress: Callable[[int], None] = lambda requests: None,
    ) -> None:
        self.sources, self.mapping, self.seed, self.window = sources, mapping, seed, window
        self.on_progress = on_progress
        self.told, self.keys = Told(), Keys()
        self.settlers: list[Settler] = []
        self.names: dict[int, Lookup] = {}

    def entries(self, source: SourceFile, entries: Entries, place: int) -> Iterator[Seen]:
        """What can be read and is wanted; the rest is counted by reason."""
        lookup = self.names[place]
        for item in entries:
            if isinstance(item, Skipped):
                self.told.skip(source.path, item)
                continue
            named = lookup.read(item)
            if isinstance(named, str):
                self.told.skip(source.path, Skipped(item.line, named, item.url[:100]))
                continue
            item.fields["\0named"] = named
            yield item

    def stream(self, place: int, source: SourceFile) -> tuple[Iterator[Placed], float]:
        opened, resolution = source.open()
        self.names[place] = Lookup(self.mapping, source.gateway or Path(source.path).stem)
        draw = random.Random(f"{self.seed}:{place}")
        settler = Settler(resolution, self.window, source.skew, draw)
        self.settlers.append(settler)
        settled = settler.settle(self.entries(source, opened, place))
        return sort(settled, self.window, settler.counts), resolution

    def run(self, target: str | Path) -> Told:
        """Write the trace; raises FormatError, OSError or TraceError, and leaves no half of it."""
        streams, resolutions = [], [0.0]
        for place, source in enumerate(self.sources):
            stream, resolution = self.stream(place, source)
            streams.append(stream)
            resolutions.append(resolution)
            self.told.bytes_read += Path(source.path).stat().st_size
        merged = merge(streams)
        first = next(merged, None)
        header = Header(
            first.at if first else HEADER_UNKNOWN_START, [s.path for s in self.sources], max(resolutions),
            self.seed,
        )  # fmt: skip
        writer = Writer(target, header)
        try:
            if first is not None:
                self.write(writer, first, merged)
            self.told.footer = self.close(writer)
        except BaseException:
            writer.abandon()
            raise
        return self.told

    def write(self, writer: Writer, first: Placed, rest: Iterator[Placed]) -> None:
        retries = Retries(self.mapping.give_up, self.mapping.retries)
        began = first.at
        for number, placed in enumerate(chain(first, rest), 1):
            writer.add(self.request(number, placed, began, retries))
            if number % 10_000 == 0:
                self.on_progress(number)

    def request(self, number: int, placed: Placed, began: float, retries: Retries) -> Request:
        seen = placed.seen
        named: Named = seen.fields["\0named"]
        customer = self.keys.key(named.customer)
        key = (customer, seen.method, named.url)
        first, attempt = retries.place(
            number, placed.at, key, seen.status, seen.took, named.try_id, named.marked
        )
        return Request(
            number, round((placed.at - began) * 1e6), customer, named.plan, named.kind, seen.method,
            named.url, named.gateway, seen.status, -1 if seen.took is None else round(seen.took * 1e6),
            first, attempt, placed.flags | (MARKED if named.marked else 0), named.units,
            named.deadline, seen.body,
        )  # fmt: skip

    def close(self, writer: Writer) -> Footer:
        counts = [settler.counts for settler in self.settlers]
        for source, count in zip(self.sources, counts, strict=True):
            self.told.steps += [f"{source.path}:{line}" for line in count.stepped_at or ()]
        return writer.close(
            skipped=dict(self.told.skipped),
            estimated=sum(c.estimated + c.late for c in counts),
            spread=sum(c.spread for c in counts),
            steps=sum(c.steps for c in counts),
            customers=len(self.keys.by_name),
            collisions=self.keys.collisions,
        )


def chain(first: Placed, rest: Iterator[Placed]) -> Iterator[Placed]:
    yield first
    yield from rest
