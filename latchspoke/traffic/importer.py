"""Imports recorded traffic into a trace, in one pass and with bounded memory."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from latchspoke.traffic.mapping import CustomerKeys, FieldExtractor, MappingRecord, RequestAttributes
from latchspoke.traffic.ordering import (
    REORDER_WINDOW_S,
    TimedExchange,
    TimestampNormalizer,
    merge_sources,
    sort_within_window,
)
from latchspoke.traffic.readers import Entries
from latchspoke.traffic.readers.accesslog import LogFormat, read_log
from latchspoke.traffic.readers.har import read_har
from latchspoke.traffic.readers.jsonlines import read_json_lines
from latchspoke.traffic.recorded import RecordedExchange, SkippedEntry
from latchspoke.traffic.retries import RetryDetector
from latchspoke.traffic.trace import MARKED, Footer, Header, Request, Writer

MAX_EXAMPLES_PER_REASON = 5
EMPTY_TRACE_START_S = 0.0


@dataclass(frozen=True, slots=True)
class SourceFile:
    """A file to import.

    ``format_text`` is ``har``, ``json``, or an access log format: its name or the format string.
    """

    path: str
    format_text: str
    gateway: str = ""
    clock_skew_s: float = 0.0

    def open(self) -> tuple[Entries, float]:
        """Return the entries and the clock resolution in seconds. Raises FormatError or OSError."""
        if self.format_text == "har":
            return read_har(self.path), 0.0
        if self.format_text == "json":
            return read_json_lines(self.path), 0.0
        log_format = LogFormat(self.format_text)
        return read_log(self.path, log_format), log_format.resolution


@dataclass(slots=True)
class ImportReport:
    """Result of an import: counters, and examples of the skipped entries by reason."""

    footer: Footer | None = None
    skipped: Counter[str] = field(default_factory=Counter)
    examples: dict[str, list[str]] = field(default_factory=dict)
    clock_steps: list[str] = field(default_factory=list)
    bytes_read: int = 0

    def add_skipped(self, path: str, entry: SkippedEntry) -> None:
        self.skipped[entry.reason] += 1
        examples = self.examples.setdefault(entry.reason, [])
        if len(examples) < MAX_EXAMPLES_PER_REASON:
            examples.append(f"{path}:{entry.line}: {entry.detail}".rstrip(": "))


class TraceImporter:
    """Imports several source files into one trace."""

    def __init__(
        self,
        sources: list[SourceFile],
        mapping: MappingRecord,
        seed: int = 0,
        window_s: float = REORDER_WINDOW_S,
        on_progress: Callable[[int], None] = lambda requests: None,
    ) -> None:
        self.sources, self.mapping, self.seed, self.window_s = sources, mapping, seed, window_s
        self.on_progress = on_progress
        self.report, self.customer_keys = ImportReport(), CustomerKeys()
        self.normalizers: list[TimestampNormalizer] = []
        self.extractors: dict[int, FieldExtractor] = {}

    def accepted_exchanges(
        self, source: SourceFile, entries: Entries, index: int
    ) -> Iterator[RecordedExchange]:
        """Yield the entries to import; count the others by the reason for skipping them."""
        extractor = self.extractors[index]
        for entry in entries:
            if isinstance(entry, SkippedEntry):
                self.report.add_skipped(source.path, entry)
                continue
            attributes = extractor.extract(entry)
            if isinstance(attributes, str):
                self.report.add_skipped(source.path, SkippedEntry(entry.line, attributes, entry.url[:100]))
                continue
            entry.fields["\0named"] = attributes
            yield entry

    def sorted_stream(self, index: int, source: SourceFile) -> tuple[Iterator[TimedExchange], float]:
        entries, resolution = source.open()
        self.extractors[index] = FieldExtractor(self.mapping, source.gateway or Path(source.path).stem)
        rng = random.Random(f"{self.seed}:{index}")
        normalizer = TimestampNormalizer(resolution, self.window_s, source.clock_skew_s, rng)
        self.normalizers.append(normalizer)
        normalized = normalizer.normalize(self.accepted_exchanges(source, entries, index))
        return sort_within_window(normalized, self.window_s, normalizer.counts), resolution

    def run(self, target: str | Path) -> ImportReport:
        """Write the trace. On FormatError, OSError or TraceError, no partial file remains."""
        streams, resolutions = [], [0.0]
        for index, source in enumerate(self.sources):
            stream, resolution = self.sorted_stream(index, source)
            streams.append(stream)
            resolutions.append(resolution)
            self.report.bytes_read += Path(source.path).stat().st_size
        merged = merge_sources(streams)
        first = next(merged, None)
        header = Header(
            first.at if first else EMPTY_TRACE_START_S, [s.path for s in self.sources], max(resolutions),
            self.seed,
        )  # fmt: skip
        writer = Writer(target, header)
        try:
            if first is not None:
                self.write_requests(writer, first, merged)
            self.report.footer = self.finish(writer)
        except BaseException:
            writer.discard()
            raise
        return self.report

    def write_requests(self, writer: Writer, first: TimedExchange, rest: Iterator[TimedExchange]) -> None:
        detector = RetryDetector(self.mapping.give_up, self.mapping.retries)
        start_s = first.at
        for number, timed in enumerate(prepend(first, rest), 1):
            writer.add(self.build_request(number, timed, start_s, detector))
            if number % 10_000 == 0:
                self.on_progress(number)

    def build_request(
        self, number: int, timed: TimedExchange, start_s: float, detector: RetryDetector
    ) -> Request:
        exchange = timed.exchange
        attributes: RequestAttributes = exchange.fields["\0named"]
        customer = self.customer_keys.key_for(attributes.customer)
        key = (customer, exchange.method, attributes.url)
        first, attempt = detector.assign(
            number, timed.at, key, exchange.status, exchange.duration_s, attributes.try_id, attributes.marked
        )
        return Request(
            number, round((timed.at - start_s) * 1e6), customer, attributes.plan, attributes.kind,
            exchange.method, attributes.url, attributes.gateway, exchange.status,
            -1 if exchange.duration_s is None else round(exchange.duration_s * 1e6),
            first, attempt, timed.flags | (MARKED if attributes.marked else 0), attributes.units,
            attributes.deadline, exchange.body_bytes,
        )  # fmt: skip

    def finish(self, writer: Writer) -> Footer:
        counts = [normalizer.counts for normalizer in self.normalizers]
        for source, source_counts in zip(self.sources, counts, strict=True):
            self.report.clock_steps += [f"{source.path}:{line}" for line in source_counts.stepped_lines or ()]
        return writer.close(
            skipped=dict(self.report.skipped),
            estimated=sum(source_counts.estimated + source_counts.late for source_counts in counts),
            spread=sum(source_counts.spread for source_counts in counts),
            steps=sum(source_counts.clock_steps for source_counts in counts),
            customers=len(self.customer_keys.by_name),
            collisions=self.customer_keys.collisions,
        )


def prepend(first: TimedExchange, rest: Iterator[TimedExchange]) -> Iterator[TimedExchange]:
    yield first
    yield from rest
