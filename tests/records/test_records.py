"""Typed records: unification, error messages, conversion and formatting."""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

import msgspec
import pytest

from latchspoke.console import records as command
from latchspoke.records import RecordError, load, load_text, seconds
from latchspoke.records.layout import layout_text
from latchspoke.records.load import Seconds
from latchspoke.records.schemas import DEFINITIONS, schema_path

VALID_RECORDS: dict[str, Any] = {
    "a: 1, b: a": {"a": 1, "b": 1},
    "a: b\nb: a\nb: 3": {"a": 3, "b": 3},
    "a: b: c: 1\na: b: d: 2": {"a": {"b": {"c": 1, "d": 2}}},
    "a: int & >0\na: 5": {"a": 5},
    "a: int | *3": {"a": 3},
    "a: int | *3\na: 4": {"a": 4},
    'a: *"x" | "y"\na: "y"': {"a": "y"},
    "a: (1 | 2) & (2 | 3)": {"a": 2},
    "a: 1 | 1": {"a": 1},
    "#A: {x: int | *3, y: x}\na: #A & {x: 5}\nb: #A": {"a": {"x": 5, "y": 5}, "b": {"x": 3, "y": 3}},
    '#A: {n: string, s: "/run/\\(n).sock"}\na: #A & {n: "g1"}': {"a": {"n": "g1", "s": "/run/g1.sock"}},
    "#A: {x?: int}\na: #A\nb: #A & {x: 1}": {"a": {}, "b": {"x": 1}},
    "#A: {x: int, ...}\na: #A & {x: 1, y: 2}": {"a": {"x": 1, "y": 2}},
    "m: [string]: {k: int | *7}\nm: a: {}\nm: b: k: 1": {"m": {"a": {"k": 7}, "b": {"k": 1}}},
    'm: [=~"^a"]: int\nm: {ab: 1, c: "free"}': {"m": {"ab": 1, "c": "free"}},
    "l: [...int] & [1, 2]": {"l": [1, 2]},
    "l: [1, _, ...string]\nl: [_, 2, \"x\"]": {"l": [1, 2, "x"]},
    "#T: {k: \"a\", x: int} | {k: \"b\", y: int}\nt: #T & {k: \"b\", y: 1}": {"t": {"k": "b", "y": 1}},
    "n: 3Ki, m: 1.5M, h: 0xff, u: 1_000": {"n": 3072, "m": 1500000, "h": 255, "u": 1000},
    "f: -2.5e1": {"f": -25.0},
    "_h: 1\n#D: int\na: _h": {"a": 1},
    'import "time"\nt: time.Duration\nt: "1m30s"': {"t": "1m30s"},
    "a: {b: x, x: 1}\nx: 2": {"a": {"b": 1, "x": 1}, "x": 2},
    'a: !="x" & =~"^y" & !~"z"\na: "yy"': {"a": "yy"},
    "a: null | int | *null": {"a": None},
    "": {},
}  # fmt: skip

INVALID_RECORDS = {
    "a: 1\na: 2": "f:2:4: a: found 2, wanted 1 as at f:1:4",
    'a: int\na: "x"': 'f:2:4: a: found "x", wanted int (at f:1:4)',
    "a: int\na: true": "f:2:4: a: found true, wanted int (at f:1:4)",
    "a: 1\na: 1.0": "f:2:4: a: found 1.0, wanted 1 as at f:1:4",
    "a: >0 & <5\na: 7": "f:2:4: a: found 7, wanted <5 (at f:1:9)",
    "a: {b: 1\n": "f:1:9: found the end of the file, wanted '}'",
    "#A: {x: int}\na: #A & {y: 1}": "f:2:13: a.y: found the field 'y', wanted one of: x",
    "#A: {b: {x: int}}\na: #A & {b: {x: 1, z: 2}}": "f:2:23: a.b.z: found the field 'z', wanted one of: x",
    "a: string": "f:1:4: a: found no value, wanted string",
    "a: 1 | 2": "f:1:4: a: found no value, wanted 1 | 2",
    "a: b": "f:1:4: a: found the name 'b', wanted a name that stands in a struct around it",
    'a: "x" | "y"\na: "z"': 'f:2:4: a: found "z", wanted "x" | "y" (at f:1:4)',
    "a: [1, 2]\na: [1]": "f:1:4: a: found a list of 2, wanted one of 1 as at f:2:4",
    "l: [...int]\nl: [1, \"x\"]": 'f:2:8: l[1]: found "x", wanted int (at f:1:8)',
    "a: {b: c: int}\na: b: c: \"q\"": 'f:2:10: a.b.c: found "q", wanted int (at f:1:11)',
    'import "time"\na: time.Duration\na: "5 s"': 'f:3:4: a: found "5 s", wanted time.Duration (at f:2:4)',
    "#A: {n!: string}\na: #A": "f:2:4: a.n: found nothing, wanted a value (required at f:1:6)",
    "a: {}\na: 1": "f:2:4: a: found 1, wanted a struct as at f:1:4",
    'import "net"\na: 1': "f:1:1: found import 'net', wanted only \"time\" to import",
    'a: =~"["': "wanted a regular expression",
    "a: int & string": "f:1:10: a: found string, wanted int",
    "#A: {n: #A}\nx: #A": "found a record within itself without end",
}  # fmt: skip


@pytest.mark.parametrize("text", VALID_RECORDS)
def test_valid_records_evaluate_to_the_expected_value(text: str) -> None:
    assert load_text(text, "f").value() == VALID_RECORDS[text]


@pytest.mark.parametrize("text", INVALID_RECORDS)
def test_errors_contain_position_path_found_and_expected_value(text: str) -> None:
    with pytest.raises(RecordError) as error:
        load_text(text, "f").value()
    assert INVALID_RECORDS[text] in str(error.value) and "\n" not in str(error.value)


def test_unification_is_independent_of_line_order() -> None:
    """Unification is commutative: any order of the lines gives the same values."""
    lines = [
        "#I: {n: string, p: int & >0 | *80, s: \"\\(n):\\(p)\", t?: bool}", "m: [string]: #I",
        "m: a: n: \"a\"", "m: b: {n: \"b\", p: q}", "q: 7", "m: b: t: true",
        "l: [...{k: int}]", "l: [{k: q}, {k: 2}]",
    ]  # fmt: skip
    expected = load_text("\n".join(lines)).value()
    assert expected["m"]["b"] == {"n": "b", "p": 7, "s": "b:7", "t": True}
    for seed in range(40):
        random.Random(seed).shuffle(lines)
        assert load_text("\n".join(lines)).value() == expected, f"seed {seed}: {lines}"


def test_several_files_are_unified(tmp_path: Path) -> None:
    (tmp_path / "a.cue").write_text("package p\n#L: int & <9\nx: #L\n")
    (tmp_path / "b.cue").write_text("package p\nx: 4\ny: x & #L\n")
    assert load(tmp_path / "a.cue", tmp_path / "b.cue").value() == {"x": 4, "y": 4}


def test_settings_files_cannot_refer_to_schema_names() -> None:
    schema = "#Whole: {a: #Part, b?: int}\n#Part: int"
    assert load_text("a: 1", "f", schema, "#Whole").value() == {"a": 1}
    with pytest.raises(RecordError, match="the name '#Part'"):
        load_text("a: #Part & 1", "f", schema, "#Whole")
    with pytest.raises(RecordError, match=r"f:2:4: c: found the field 'c', wanted one of: a, b"):
        load_text("a: 1\nc: 2", "f", schema, "#Whole")


class Inner(msgspec.Struct):
    wait: Seconds
    most: int


class Outer(msgspec.Struct):
    inner: dict[str, Inner]


def test_durations_are_converted_to_seconds() -> None:
    record = load_text('inner: x: {wait: "1.5s", most: 2}').convert(Outer)
    assert record.inner["x"].wait == 1.5 and record.inner["x"].most == 2


def test_conversion_errors_contain_the_position() -> None:
    with pytest.raises(RecordError, match=r"f:1:30: inner\.x\.most: .*`int`, got `str`"):
        load_text('inner: x: {wait: "1s", most: "2"}', "f").convert(Outer)


def test_duration_syntax() -> None:
    durations_s = {"1m30s": 90.0, "250ms": 0.25, "1h": 3600.0, "1.5s": 1.5, "-2s": -2.0, "3µs": 3e-6}
    assert {text: seconds(text) for text in durations_s} == pytest.approx(durations_s)
    for text in ("", "5", "s", "5 s", "1s2"):
        with pytest.raises(ValueError, match="not a duration"):
            seconds(text)


LAYOUT = """// Head.
package p

import "time"

// Of a.
a: {
  b: 1   // beside b
  c: [1,   2]


  // above d
  d: e: f: "x\\(a.b)"
  // at the end
}
#D: {x?: int, y!: string, ...} & {z: 1}
l: [
  1, // one
  {q: 2},
]
t: (1 | *2) & int
"""


def test_formatting_keeps_fields_and_comments() -> None:
    formatted = layout_text(LAYOUT)
    assert layout_text(formatted) == formatted
    for fragment in (
        "// Head.",
        "b: 1 // beside b",
        "\t// above d",
        "\t// at the end",
        "1, // one",
        "c: [1, 2]",
    ):
        assert fragment in formatted
    assert 'd: e: f: "x\\(a.b)"' in formatted


@pytest.mark.parametrize("text", [t for t in VALID_RECORDS if t])
def test_formatting_changes_no_value(text: str) -> None:
    assert load_text(layout_text(text)).value() == VALID_RECORDS[text]


@pytest.mark.parametrize("name", DEFINITIONS)
def test_shipped_schemas_are_valid_and_formatted(name: str) -> None:
    text = schema_path(name).read_text()
    assert layout_text(text) == text
    load_text(text, name)


def test_records_command(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = tmp_path / "f.cue"
    file.write_text('agents: h1:  socket: "/s"\n')
    assert command.main(["export", "--schema", "fleet", str(file)]) == 0
    assert json.loads(capsys.readouterr().out)["limit"] == "2s"
    assert command.main(["format", "--check", str(file)]) == 1
    assert command.main(["format", str(file)]) == 0
    assert command.main(["format", "--check", str(file)]) == 0
    capsys.readouterr()
    file.write_text("agents: h1: {}\nlimit: 3\n")
    assert command.main(["vet", "--schema", "fleet", str(file)]) == 1
    error_output = capsys.readouterr().err
    assert error_output.startswith(f"{file}:2:8: limit: found 3, wanted ") and error_output.count("\n") == 1
    assert command.main(["vet", str(tmp_path / "none.cue")]) == 1
    assert "no file to read" in capsys.readouterr().err
    assert command.main(["sing"]) == 2


def test_malformed_input_raises_only_record_errors() -> None:
    """A damaged file either parses or raises a RecordError with a position."""
    schema_text = schema_path("agent").read_text()
    for seed in range(400):
        rng = random.Random(seed)
        start = rng.randrange(len(schema_text))
        text = schema_text[:start] + rng.choice(
            ['"', "{", "}", "[", "&", "|", "\n", "\\(", "\0", "...", "é", ": :"]
        )
        text += schema_text[start + rng.randrange(30) :]
        try:
            load_text(text, "f")
        except RecordError as e:
            assert e.at.line >= 1, f"seed {seed}: {e}"
