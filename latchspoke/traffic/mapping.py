"""Extracts customer, plan and other attributes from recorded requests, using the ``mapping`` schema."""

from __future__ import annotations

import re
from collections.abc import Mapping as MappingOf
from functools import lru_cache
from urllib.parse import parse_qsl, urlsplit

import msgspec
import xxhash

from latchspoke.records import load, load_text
from latchspoke.records.load import Seconds
from latchspoke.records.schemas import DEFINITIONS, schema_path
from latchspoke.traffic.recorded import RecordedExchange

KEY_BITS = 33  # width of the gateways' numeric customer keys
HEX_KEY = re.compile(r"[0-9a-fA-F]{1,16}")


class FieldSource(msgspec.Struct, frozen=True):
    """Where to read a value from: exactly one field is set."""

    query: str = ""
    header: str = ""
    field: str = ""
    path: int | None = None
    constant: str = ""


class MappingRecord(msgspec.Struct, frozen=True, rename="camel"):
    """The mapping as configured; the schema documents each field."""

    customer: FieldSource
    plan: FieldSource
    kind: FieldSource
    gateway: FieldSource
    give_up: Seconds
    retries: int
    units: FieldSource | None = None
    deadline: FieldSource | None = None
    try_id: FieldSource | None = None
    marked: FieldSource | None = None
    keep: str = ""


def read_mapping(path: str | None) -> MappingRecord:
    """Read a mapping file, or return the defaults, which match requests as gateways receive them.

    Raises RecordError.
    """
    schema, definition = schema_path("mapping"), DEFINITIONS["mapping"]
    record = (
        load(path, schema=schema, definition=definition)
        if path
        else load_text("", "defaults", schema.read_text(), definition)
    )
    return record.convert(MappingRecord)


@lru_cache(32768)
def split_url(url: str) -> tuple[str, str, MappingOf[str, str]]:
    """Return the path, the path with the query, and the query parameters. Cached: targets repeat."""
    parts = urlsplit(url)
    target = f"{parts.path}?{parts.query}" if parts.query else parts.path or "/"
    return parts.path, target, dict(parse_qsl(parts.query, keep_blank_values=True))


class FieldExtractor:
    """Extracts request attributes from recorded exchanges according to a mapping."""

    def __init__(self, record: MappingRecord, gateway: str) -> None:
        self.record, self.gateway = record, gateway
        self.keep_pattern = re.compile(record.keep) if record.keep else None

    def value_of(
        self, source: FieldSource | None, exchange: RecordedExchange, query: MappingOf[str, str], path: str
    ) -> str:
        if source is None:
            return ""
        if source.query:
            return query.get(source.query, "")
        if source.header:
            return exchange.headers.get(source.header.lower(), "")
        if source.field:
            value = exchange.fields.get(source.field)
            return "" if value is None else str(value)
        if source.path is not None:
            parts = path.strip("/").split("/")
            return parts[source.path] if source.path < len(parts) else ""
        return source.constant

    def extract(self, exchange: RecordedExchange) -> RequestAttributes | str:
        """Return the request's attributes, or the reason for skipping the entry."""
        path, url, query = split_url(exchange.url)
        if self.keep_pattern is not None and not self.keep_pattern.search(url):
            return "not wanted"
        record = self.record

        def value_of(source: FieldSource | None) -> str:
            return self.value_of(source, exchange, query, path)

        customer = value_of(record.customer)
        if not customer:
            return "no customer"
        try:
            units = float(value_of(record.units) or 1.0)
            deadline = float(value_of(record.deadline) or record.give_up)
        except ValueError:
            return "units or deadline is no number"
        return RequestAttributes(
            customer, value_of(record.plan), value_of(record.kind), url,
            value_of(record.gateway) or self.gateway, units, deadline, value_of(record.try_id),
            value_of(record.marked) not in ("", "0", "-"),
        )  # fmt: skip


class RequestAttributes(msgspec.Struct, frozen=True):
    """Attributes of a recorded request that the mapping selects."""

    customer: str
    plan: str
    kind: str
    url: str
    gateway: str
    units: float
    deadline: float
    try_id: str
    marked: bool


class CustomerKeys:
    """Maps customer names to numeric keys. A hexadecimal key is kept; other names are hashed.

    Keys are unique: on a hash collision the later name is hashed again with the next salt, and the
    collision is counted. Memory grows with the number of customers.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, int] = {}
        self.assigned: set[int] = set()
        self.collisions = 0

    def key_for(self, name: str) -> int:
        existing = self.by_name.get(name)
        if existing is not None:
            return existing
        key = int(name, 16) if HEX_KEY.fullmatch(name) else 1 << KEY_BITS
        if key >= 1 << KEY_BITS or key in self.assigned:
            key = self.unused_hash(name)
        self.by_name[name] = key
        self.assigned.add(key)
        return key

    def unused_hash(self, name: str) -> int:
        salt = 0
        while (key := self.hash_name(name, salt)) in self.assigned:
            self.collisions += 1
            salt += 1
        return key

    def hash_name(self, name: str, salt: int) -> int:
        return xxhash.xxh3_64_intdigest(name.encode(), salt) >> (64 - KEY_BITS)
