"""Settings as typed records: a strict subset of CUE, read, unified, and turned into plain values.

``load`` reads files and unifies them; ``Record.value`` is what JSON can hold; ``Record.convert`` makes
msgspec records. Every error is a ``RecordError`` that names file, line, column, path, what stood there
and what was wanted. ``docs/records.md`` says what of CUE is understood.
"""

from latchspoke.records.load import Record, load, load_text
from latchspoke.records.syntax import Position, RecordError, seconds

__all__ = ["Position", "Record", "RecordError", "load", "load_text", "seconds"]
