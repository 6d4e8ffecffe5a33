"""Settings files as typed records: check them, turn them into JSON, write them in the accepted layout.

Usage:
  latchspoke records vet [--schema FILE] [--as DEFINITION] FILE...
  latchspoke records export [--schema FILE] [--as DEFINITION] FILE...
  latchspoke records format [--check] FILE...
  latchspoke records -h | --help

Commands:
  vet      Unify the files and say what is wrong, if anything is. All values must be there.
  export   The same, and print the values as JSON.
  format   Write each file again in the accepted layout; comments stay where they are.

Options:
  --schema FILE    A file with definitions. `agent` and `fleet` name the program's own.
  --as DEFINITION  The definition in the schema that the whole must fit, such as #Agent.
  --check          Change nothing; say which files are not in the layout.
  -h --help        Show this.

Exit codes: 0 all good, 1 something is wrong with a file, 2 wrong usage.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from latchspoke.console.usage import read_usage
from latchspoke.records import Record, RecordError, load
from latchspoke.records.layout import layout_text
from latchspoke.records.schemas import DEFINITIONS, schema_path


def main(argv: list[str]) -> int:
    args = read_usage(__doc__, "records", argv)
    if args is None:
        return 2
    try:
        return run(args)
    except RecordError as e:
        print(e, file=sys.stderr)
        return 1


def run(args: dict[str, Any]) -> int:
    if args["format"]:
        return reformat(args["FILE"], args["--check"])
    record = read(args)
    if args["export"]:
        print(json.dumps(record.value(), indent=2, ensure_ascii=False))
    else:
        record.value()
        print(f"{', '.join(args['FILE'])}: good")
    return 0


def read(args: dict[str, Any]) -> Record:
    schema, definition = args["--schema"], args["--as"] or ""
    if schema in DEFINITIONS:
        definition = definition or DEFINITIONS[schema]
        schema = schema_path(schema)
    return load(*args["FILE"], schema=schema, definition=definition)


def reformat(names: list[str], check: bool) -> int:
    """A file that is in the layout already is not written, so that its time stays."""
    off = 0
    for name in names:
        try:
            text = Path(name).read_text()
        except (OSError, UnicodeDecodeError) as e:
            print(f"{name}: can't be read: {e}", file=sys.stderr)
            return 1
        written = layout_text(text, name)
        if written == text:
            continue
        off += 1
        print(f"{name}: {'is not in the layout' if check else 'written anew'}")
        if not check:
            Path(name).write_text(written)
    return 1 if check and off else 0
