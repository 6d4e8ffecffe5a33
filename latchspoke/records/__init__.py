"""Settings as typed records in a strict subset of CUE.

``load`` reads and unifies files; ``Record.value`` returns JSON-compatible data; ``Record.convert`` returns
msgspec records. Every error is a ``RecordError`` with file, line, column, path, and the found and expected
values. ``docs/records.md`` lists the supported parts of CUE.
"""

from latchspoke.records.load import Record, load, load_text
from latchspoke.records.syntax import Position, RecordError, seconds

__all__ = ["Position", "Record", "RecordError", "load", "load_text", "seconds"]
