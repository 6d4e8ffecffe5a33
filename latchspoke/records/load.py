"""Reading files, and turning what they come to into msgspec records."""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from latchspoke.records.evaluate import Vertex, root
from latchspoke.records.syntax import File, Position, RecordError, parse, seconds

T = TypeVar("T")
FILE_MOST = 4 * 1024 * 1024  # bytes


class Record:
    """Files unified into one; evaluated when it is made, so that it holds no conflict."""

    def __init__(self, files: Iterable[File], definition: str = "") -> None:
        self.files = list(files)
        self.vertex = root(f.body for f in self.files)
        if definition:
            self.vertex = self.under(definition)
        self.vertex.evaluate()

    def under(self, definition: str) -> Vertex:
        """The same, with a definition of one of the files imposed on the whole."""
        from latchspoke.records.evaluate import Closure, Scope
        from latchspoke.records.syntax import Reference, Struct

        schema, *rest = self.files
        if definition not in schema.body.names():
            raise RecordError(schema.body.at, "", f"no {definition}", f"a schema that defines {definition}")
        # The schema's names are seen by the schema alone: a settings file can't lean on, or clash with, them.
        base = root([schema.body])
        scope = Scope(base, schema.body, None)
        whole = root(f.body for f in rest)
        whole.closures.append(Closure(Reference(schema.body.at, (definition,)), scope))
        if not rest:
            whole.closures.append(Closure(Struct(schema.body.at, ()), scope))
        return whole

    def value(self) -> Any:
        """What JSON can hold; raises RecordError where something is not concrete."""
        return self.vertex.export()

    def convert(self, kind: type[T]) -> T:
        """As msgspec records; ``Seconds`` fields take durations. Its errors get their places too."""
        places: dict[str, tuple[Position, Any]] = {}
        value = self.vertex.export(places)
        try:
            return msgspec.convert(value, kind, dec_hook=read_seconds)
        except msgspec.ValidationError as e:
            raise located(e, places) from None


class Seconds(float):
    """A time in seconds that is written as a duration."""


def read_seconds(kind: type[Any], value: Any) -> Any:
    if kind is Seconds and isinstance(value, str):
        return Seconds(seconds(value))
    raise NotImplementedError(f"no reader for {kind}")


def located(error: msgspec.ValidationError, places: dict[str, tuple[Position, Any]]) -> RecordError:
    """msgspec names a path like ``$.agents[...].name`` at the end of its text, without the map's key."""
    text = str(error)
    told = re.search(r" - at `\$\.?(.*?)`$", text)
    path, said = (told.group(1), text[: told.start()]) if told else ("", text)
    got = re.search(r"got `(\w+)`", said)
    shape = re.escape(path).replace(r"\[\.\.\.\]", r"\.(?:[^.\[\"]+|\"[^\"]*\")")
    found = [p for p in places if re.fullmatch(shape, p)]
    fitting = [p for p in found if got is None or type(places[p][1]).__name__ == got.group(1)]
    path = (fitting or found or [path])[0]
    near = path
    while near and near not in places:
        near = near.rpartition(".")[0]
    return RecordError(places.get(near, (Position(), None))[0], path, "a value that does not fit", said)


def read_file(path: str | Path) -> File:
    """Raises RecordError also where the file can't be read."""
    name = str(path)
    try:
        data = Path(path).read_bytes()
        if len(data) > FILE_MOST:
            raise RecordError(Position(name, 1, 1), "", f"{len(data)} bytes", f"at most {FILE_MOST}")
        return parse(data.decode(), name)
    except OSError as e:
        raise RecordError(Position(name, 1, 1), "", f"no file to read ({e.strerror})", "a file") from None
    except UnicodeDecodeError as e:
        line = data[: e.start].count(b"\n") + 1
        raise RecordError(Position(name, line, 1), "", "bytes that are not UTF-8", "text in UTF-8") from None


def load(*paths: str | Path, schema: str | Path | None = None, definition: str = "") -> Record:
    """Files unified; with a schema, under its definition."""
    files = [read_file(p) for p in ([schema] if schema else []) + list(paths)]
    return Record(files, definition)


def load_text(text: str, name: str = "text", schema: str = "", definition: str = "") -> Record:
    """The same from texts."""
    files = [parse(schema, "schema")] if schema else []
    return Record([*files, parse(text, name)], definition)
