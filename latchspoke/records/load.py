"""Reads record files and converts the evaluated result into msgspec records."""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from latchspoke.records.evaluate import Vertex, root_vertex
from latchspoke.records.syntax import File, Position, RecordError, parse, seconds

T = TypeVar("T")
MAX_FILE_BYTES = 4 * 1024 * 1024


class Record:
    """The unification of several files. Evaluated on creation, so conflicts raise RecordError there."""

    def __init__(self, files: Iterable[File], definition: str = "") -> None:
        self.files = list(files)
        self.vertex = root_vertex(f.body for f in self.files)
        if definition:
            self.vertex = self.apply_definition(definition)
        self.vertex.evaluate()

    def apply_definition(self, definition: str) -> Vertex:
        """Return the unification of the files under a definition of the first one."""
        from latchspoke.records.evaluate import Closure, Scope
        from latchspoke.records.syntax import Reference, Struct

        schema, *other_files = self.files
        if definition not in schema.body.names():
            raise RecordError(schema.body.at, "", f"no {definition}", f"a schema that defines {definition}")
        # Only the schema sees its own names: settings files can't refer to them or conflict with them.
        schema_root = root_vertex([schema.body])
        scope = Scope(schema_root, schema.body, None)
        record_root = root_vertex(f.body for f in other_files)
        record_root.closures.append(Closure(Reference(schema.body.at, (definition,)), scope))
        if not other_files:
            record_root.closures.append(Closure(Struct(schema.body.at, ()), scope))
        return record_root

    def value(self) -> Any:
        """Return JSON-compatible data; raises RecordError for a value that is not concrete."""
        return self.vertex.export()

    def convert(self, record_type: type[T]) -> T:
        """Convert to a msgspec type; ``Seconds`` fields accept durations. Raises RecordError."""
        positions: dict[str, tuple[Position, Any]] = {}
        value = self.vertex.export(positions)
        try:
            return msgspec.convert(value, record_type, dec_hook=decode_seconds)
        except msgspec.ValidationError as e:
            raise with_position(e, positions) from None


class Seconds(float):
    """A number of seconds, written as a duration such as ``1m30s``."""


def decode_seconds(record_type: type[Any], value: Any) -> Any:
    if record_type is Seconds and isinstance(value, str):
        return Seconds(seconds(value))
    raise NotImplementedError(f"no reader for {record_type}")


def with_position(error: msgspec.ValidationError, positions: dict[str, tuple[Position, Any]]) -> RecordError:
    """Find the position of a msgspec error.

    msgspec ends its message with a path like ``$.agents[...].name``, which lacks the keys of maps.
    """
    text = str(error)
    path_match = re.search(r" - at `\$\.?(.*?)`$", text)
    path, message = (path_match.group(1), text[: path_match.start()]) if path_match else ("", text)
    type_match = re.search(r"got `(\w+)`", message)
    path_pattern = re.escape(path).replace(r"\[\.\.\.\]", r"\.(?:[^.\[\"]+|\"[^\"]*\")")
    matching = [p for p in positions if re.fullmatch(path_pattern, p)]
    matching_type = [
        p for p in matching if type_match is None or type(positions[p][1]).__name__ == type_match.group(1)
    ]
    path = (matching_type or matching or [path])[0]
    nearest = path
    while nearest and nearest not in positions:
        nearest = nearest.rpartition(".")[0]
    return RecordError(
        positions.get(nearest, (Position(), None))[0], path, "a value that does not fit", message
    )


def read_file(path: str | Path) -> File:
    """Read and parse a file. Raises RecordError, also for a file that can't be read."""
    name = str(path)
    try:
        data = Path(path).read_bytes()
        if len(data) > MAX_FILE_BYTES:
            raise RecordError(Position(name, 1, 1), "", f"{len(data)} bytes", f"at most {MAX_FILE_BYTES}")
        return parse(data.decode(), name)
    except OSError as e:
        raise RecordError(Position(name, 1, 1), "", f"no file to read ({e.strerror})", "a file") from None
    except UnicodeDecodeError as e:
        line = data[: e.start].count(b"\n") + 1
        raise RecordError(Position(name, line, 1), "", "bytes that are not UTF-8", "text in UTF-8") from None


def load(*paths: str | Path, schema: str | Path | None = None, definition: str = "") -> Record:
    """Unify files; with a schema, under its definition."""
    files = [read_file(p) for p in ([schema] if schema else []) + list(paths)]
    return Record(files, definition)


def load_text(text: str, name: str = "text", schema: str = "", definition: str = "") -> Record:
    """Like ``load``, from texts."""
    files = [parse(schema, "schema")] if schema else []
    return Record([*files, parse(text, name)], definition)
