"""Syntax of record files: the grammar, the syntax tree and the parser."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput, v_args
from lark.exceptions import VisitError

GRAMMAR = r"""
start: [package] import_* decls
package: "package" IDENT _COMMA
import_: "import" STRING _COMMA

decls: (decl (_COMMA decl)*)? _COMMA?
?decl: field | ellipsis
field: label mark? ":" (expr | chained)
chained: label ":" (expr | chained)
mark: OPTIONAL | REQUIRED
label: IDENT -> name_label
     | STRING -> text_label
     | single -> pattern_label
ellipsis: "..."

?expr: alternative ("|" alternative)*   -> disjunction
?alternative: "*" conjunction           -> marked
            | conjunction
?conjunction: unary ("&" unary)*        -> conjunction
?unary: BOUND operand                   -> bound
      | operand
?operand: STRING                        -> text
        | NUMBER                        -> number
        | "-" NUMBER                    -> negative
        | reference
        | struct
        | sequence
        | "(" expr ")"
reference: IDENT ("." IDENT)*
struct: "{" decls "}"
// A list of one begins like a pattern's label: only what follows tells them apart.
single: "[" expr "]"
sequence: "[" _COMMA? "]"
        | single
        | "[" expr _COMMA "]"
        | "[" expr (_COMMA element)+ _COMMA? "]"
        | "[" rest _COMMA? "]"
?element: expr | rest
rest: "..." expr?

OPTIONAL: "?"
REQUIRED: "!"
BOUND: ">=" | "<=" | "!=" | "=~" | "!~" | ">" | "<"
IDENT: /_?#?[A-Za-z_$][A-Za-z0-9_$]*|_/
STRING: /"([^"\\\n]|\\.)*"/
NUMBER: /0x[0-9A-Fa-f]+|[0-9][0-9_]*(\.[0-9]+)?([eE][+-]?[0-9]+)?([KMGT]i?)?/
_COMMA: ","
COMMENT: /\/\/[^\n]*/
NEWLINE: /\n/
WS: /[ \t\r]+/
%ignore WS
"""

# As in Go and CUE, a comma is inserted at a line end after one of these tokens.
FIELD_ENDING_TOKENS = {"IDENT", "STRING", "NUMBER", "RBRACE", "RSQB", "RPAR", "__ANON_0", "ELLIPSIS"}
KINDS = ("string", "int", "float", "number", "bool", "null")
NUMBER_SUFFIXES = {"K": 10**3, "M": 10**6, "G": 10**9, "T": 10**12}
NUMBER_SUFFIXES |= {f"{name}i": 1024**power for power, name in enumerate("KMGT", 1)}
DURATION_PATTERN = re.compile(r"[+-]?(\d+(?:\.\d+)?(?:ns|us|µs|ms|s|m|h))+")
DURATION_UNITS_S = {"ns": 1e-9, "us": 1e-6, "µs": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0}


@dataclass(frozen=True, slots=True)
class Position:
    """A source position; lines and columns count from 1."""

    file: str = "?"
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class RecordError(Exception):
    """An invalid record. The message is one line: position, path, found and expected value."""

    def __init__(self, at: Position, path: str, found: str, wanted: str) -> None:
        where = f"{at}: {path}" if path else str(at)
        super().__init__(f"{where}: found {found}, wanted {wanted}")
        self.at, self.path, self.found, self.wanted = at, path, found, wanted


@dataclass(frozen=True, slots=True)
class Node:
    """Base of syntax nodes. Comparison ignores ``at``, so equal content compares equal."""

    at: Position = field(compare=False, repr=False)


@dataclass(frozen=True, slots=True)
class Literal(Node):
    value: Any  # str, int, float, bool or None
    raw: str = field(default="", compare=False, repr=False)  # source text of a number

    def __str__(self) -> str:
        return self.raw or json.dumps(self.value, ensure_ascii=False)


@dataclass(frozen=True, slots=True)
class Interpolated(Node):
    """A string with interpolated references: alternating texts and references."""

    parts: tuple[Any, ...]  # str | Reference

    def __str__(self) -> str:
        inner = (
            json.dumps(p, ensure_ascii=False)[1:-1] if isinstance(p, str) else f"\\({p})" for p in self.parts
        )
        return f'"{"".join(inner)}"'


@dataclass(frozen=True, slots=True)
class Kind(Node):
    """A type name, ``_`` for any value, or ``time.Duration``."""

    name: str

    def __str__(self) -> str:
        return self.name


@dataclass(frozen=True, slots=True)
class Bound(Node):
    op: str
    operand: Any

    def __str__(self) -> str:
        return f"{self.op}{self.operand}"


@dataclass(frozen=True, slots=True)
class Reference(Node):
    names: tuple[str, ...]

    def __str__(self) -> str:
        return ".".join(self.names)


@dataclass(frozen=True, slots=True)
class Pending(Node):
    """An expression that depends on a reference without a concrete value, as in a definition."""

    node: Any

    def __str__(self) -> str:
        return str(self.node)


@dataclass(frozen=True, slots=True)
class Conjunction(Node):
    parts: tuple[Any, ...]

    def __str__(self) -> str:
        return " & ".join(f"({p})" if isinstance(p, Disjunction) else str(p) for p in self.parts)


@dataclass(frozen=True, slots=True)
class Disjunction(Node):
    parts: tuple[Any, ...]
    default: tuple[bool, ...]

    def __str__(self) -> str:
        return " | ".join(f"*{p}" if d else str(p) for p, d in zip(self.parts, self.default, strict=True))


@dataclass(frozen=True, slots=True)
class FieldNode(Node):
    """``label`` is a name, or an expression where the field is a pattern; ``mark`` is '', '?' or '!'."""

    label: Any
    mark: str
    value: Any
    pattern: bool = False

    def __str__(self) -> str:
        label = f"[{self.label}]" if self.pattern else quote(self.label)
        return f"{label}{self.mark}: {self.value}"


@dataclass(frozen=True, slots=True)
class Struct(Node):
    fields: tuple[FieldNode, ...]
    open: bool = False
    chained: bool = field(default=False, compare=False, repr=False)  # written as a: b: c
    end: Position = field(default=Position(), compare=False, repr=False)

    def names(self) -> frozenset[str]:
        return frozenset(f.label for f in self.fields if not f.pattern)

    def __str__(self) -> str:
        return "{" + ", ".join([*(str(f) for f in self.fields), *(["..."] if self.open else [])]) + "}"


@dataclass(frozen=True, slots=True)
class ListNode(Node):
    """``rest`` is the type of further items, None if there may be none."""

    items: tuple[Any, ...]
    rest: Any = None
    end: Position = field(default=Position(), compare=False, repr=False)

    def __str__(self) -> str:
        rest = [] if self.rest is None else [f"...{'' if self.rest == ANYTHING else self.rest}"]
        return "[" + ", ".join([*(str(i) for i in self.items), *rest]) + "]"


ANYTHING = Kind(Position(), "_")


@dataclass(frozen=True, slots=True)
class File:
    """A parsed file: its fields, and the comments by line for the formatter."""

    name: str
    package: str
    imports: tuple[str, ...]
    body: Struct
    comments: tuple[tuple[int, bool, str], ...]  # line, whether it is alone on the line, text


PLAIN_LABEL = re.compile(r"_?#?[A-Za-z_$][A-Za-z0-9_$]*")


def quote(label: str) -> str:
    """Return a label in source form, quoted if necessary."""
    return label if PLAIN_LABEL.fullmatch(label) else json.dumps(label, ensure_ascii=False)


def seconds(text: str) -> float:
    """Parse a duration such as "1m30s" or "250ms" into seconds; raises ValueError."""
    if not DURATION_PATTERN.fullmatch(text):
        raise ValueError(f"not a duration: {text!r}")
    total = sum(
        float(n) * DURATION_UNITS_S[u] for n, u in re.findall(r"(\d+(?:\.\d+)?)(ns|us|µs|ms|s|m|h)", text)
    )
    return -total if text.startswith("-") else total


class CommaInserter:
    """Lexer post-processor: line ends become commas where they end a field, and are dropped elsewhere."""

    always_accept = ("NEWLINE", "COMMENT")

    def process(self, stream: Iterator[Token]) -> Iterator[Token]:
        last: Token | None = None
        for token in stream:
            if token.type == "COMMENT":
                continue
            if token.type == "NEWLINE":
                if last is None or (last.type not in FIELD_ENDING_TOKENS and last.value not in ("...", "?")):
                    continue
                token = Token.new_borrow_pos("_COMMA", ",", token)
            last = token
            yield token
        if last is not None and last.type in FIELD_ENDING_TOKENS:
            yield Token.new_borrow_pos("_COMMA", ",", last)


@lru_cache(1)
def parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", lexer="basic", postlex=CommaInserter(), propagate_positions=True)


def read_number(text: str) -> int | float:
    text = text.replace("_", "")
    if text.startswith("0x"):
        return int(text, 16)
    suffix = re.search(r"[KMGT]i?$", text)
    number = text[: suffix.start()] if suffix else text
    value = float(number) if re.search(r"[.eE]", number) else int(number)
    if not suffix:
        return value
    scaled = value * NUMBER_SUFFIXES[suffix.group()]
    return int(scaled) if scaled == int(scaled) else scaled


@v_args(meta=True)
class TreeBuilder(Transformer[Token, Any]):
    """Lark's tree to nodes."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name

    def at(self, meta: Any) -> Position:
        if getattr(meta, "empty", True):
            return Position(self.name, 1, 1)
        return Position(self.name, meta.line, meta.column)

    def end(self, meta: Any) -> Position:
        return Position(self.name, getattr(meta, "end_line", 1), getattr(meta, "end_column", 1))

    def start(self, meta: Any, items: list[Any]) -> tuple[str, tuple[str, ...], Struct]:
        package, *imports, body = items
        return package or "", tuple(imports), self.struct(meta, [body])

    def package(self, meta: Any, items: list[Any]) -> str:
        return str(items[0])

    def import_(self, meta: Any, items: list[Any]) -> str:
        name = str(json.loads(items[0]))
        if name != "time":
            raise RecordError(self.at(meta), "", f"import {name!r}", 'only "time" to import')
        return name

    def decls(self, meta: Any, items: list[Any]) -> list[Any]:
        return items

    def ellipsis(self, meta: Any, items: list[Any]) -> str:
        return "..."

    def field(self, meta: Any, items: list[Any]) -> FieldNode:
        (label, pattern), *rest = items
        mark = rest[0] if len(rest) == 2 else ""
        if pattern and mark:
            raise RecordError(self.at(meta), "", f"a pattern with {mark!r}", "a pattern without a mark")
        return FieldNode(self.at(meta), label, mark, rest[-1], pattern)

    def chained(self, meta: Any, items: list[Any]) -> Struct:
        (label, pattern), value = items
        inner = FieldNode(self.at(meta), label, "", value, pattern)
        return Struct(self.at(meta), (inner,), chained=True, end=self.end(meta))

    def mark(self, meta: Any, items: list[Any]) -> str:
        return str(items[0])

    def name_label(self, meta: Any, items: list[Any]) -> tuple[str, bool]:
        return str(items[0]), False

    def text_label(self, meta: Any, items: list[Any]) -> tuple[str, bool]:
        literal = self.text(meta, items)
        if not isinstance(literal, Literal):
            raise RecordError(self.at(meta), "", "a label with a reference in it", "a plain label")
        return literal.value, False

    def pattern_label(self, meta: Any, items: list[Any]) -> tuple[Any, bool]:
        return items[0][0], True

    def disjunction(self, meta: Any, items: list[Any]) -> Any:
        marks = tuple(isinstance(i, tuple) for i in items)
        parts = tuple(i[0] if isinstance(i, tuple) else i for i in items)
        if len(parts) == 1 and not marks[0]:
            return parts[0]
        return Disjunction(self.at(meta), parts, marks)

    def marked(self, meta: Any, items: list[Any]) -> Any:
        return (items[0],)

    def conjunction(self, meta: Any, items: list[Any]) -> Any:
        return items[0] if len(items) == 1 else Conjunction(self.at(meta), tuple(items))

    def bound(self, meta: Any, items: list[Any]) -> Bound:
        op, operand = items
        if not isinstance(operand, Literal | Reference | Kind):
            raise RecordError(self.at(meta), "", f"{op} before {operand}", f"{op} before a value")
        if op in ("=~", "!~") and isinstance(operand, Literal):
            try:
                re.compile(operand.value)
            except (re.error, TypeError) as e:
                raise RecordError(self.at(meta), "", str(operand), f"a regular expression ({e})") from None
        return Bound(self.at(meta), str(op), operand)

    def text(self, meta: Any, items: list[Any]) -> Literal | Interpolated:
        raw = str(items[0])
        pieces = re.split(r"\\\(([^)]*)\)", raw[1:-1])
        try:
            texts = [json.loads(f'"{piece}"') for piece in pieces[::2]]
        except ValueError:
            raise RecordError(self.at(meta), "", raw, "escapes as in JSON") from None
        if len(pieces) == 1:
            return Literal(self.at(meta), texts[0])
        parts: list[Any] = [texts[0]]
        for name, text in zip(pieces[1::2], texts[1:], strict=True):
            names = tuple(part.strip() for part in name.split("."))
            if not all(PLAIN_LABEL.fullmatch(part) for part in names):
                raise RecordError(self.at(meta), "", f"\\({name})", "a reference between the brackets")
            parts += [Reference(self.at(meta), names), text]
        return Interpolated(self.at(meta), tuple(parts))

    def number(self, meta: Any, items: list[Any]) -> Literal:
        return Literal(self.at(meta), read_number(str(items[0])), str(items[0]))

    def negative(self, meta: Any, items: list[Any]) -> Literal:
        return Literal(self.at(meta), -read_number(str(items[0])), f"-{items[0]}")

    def reference(self, meta: Any, items: list[Any]) -> Any:
        names, at = tuple(str(i) for i in items), self.at(meta)
        if names == ("time", "Duration"):
            return Kind(at, "time.Duration")
        if len(names) == 1:
            keyword = names[0]
            if keyword in ("true", "false"):
                return Literal(at, keyword == "true")
            if keyword == "null":
                return Literal(at, None)
            if keyword == "_" or keyword in KINDS:
                return Kind(at, keyword)
        return Reference(at, names)

    def struct(self, meta: Any, items: list[Any]) -> Struct:
        fields = tuple(d for d in items[0] if isinstance(d, FieldNode))
        return Struct(self.at(meta), fields, "..." in map(str, items[0]), end=self.end(meta))

    def single(self, meta: Any, items: list[Any]) -> list[Any]:
        return items

    def sequence(self, meta: Any, items: list[Any]) -> ListNode:
        elements = list(items[0] if len(items) == 1 and isinstance(items[0], list) else items)
        rest = elements.pop()[0] if elements and isinstance(elements[-1], tuple) else None
        if any(isinstance(i, tuple) for i in elements):
            raise RecordError(self.at(meta), "", "'...' before the end of a list", "it at the end")
        return ListNode(self.at(meta), tuple(elements), rest, self.end(meta))

    def rest(self, meta: Any, items: list[Any]) -> tuple[Any]:
        return (items[0] if items else ANYTHING,)


def comments(text: str) -> Iterator[tuple[int, bool, str]]:
    """Yield ``//`` comments with the line and whether the comment is alone on it."""
    string_or_comment = re.compile(r'"(?:[^"\\\n]|\\.)*"|(//[^\n]*)')
    for number, line in enumerate(text.split("\n"), 1):
        for match in string_or_comment.finditer(line):
            if match.group(1):
                yield number, not line[: match.start()].strip(), match.group(1).rstrip()


TOKEN_DESCRIPTIONS = {"$END": "the end of the file", "_COMMA": "a comma or a new line", "IDENT": "a name",
         "STRING": "a string", "NUMBER": "a number", "COLON": "':'", "RBRACE": "'}'", "RSQB": "']'",
         "LBRACE": "'{'", "LSQB": "'['", "RPAR": "')'", "LPAR": "'('"}  # fmt: skip


def parse(text: str, name: str = "?") -> File:
    """Parse a file. Raises RecordError at the first syntax error."""
    try:
        package, imports, body = TreeBuilder(name).transform(parser().parse(text))
    except UnexpectedInput as e:
        raise syntax_error(e, text, name) from None
    except VisitError as e:
        if isinstance(e.orig_exc, RecordError):
            raise e.orig_exc from None
        raise
    return File(name, package, imports, body, tuple(comments(text)))


def syntax_error(error: UnexpectedInput, text: str, name: str) -> RecordError:
    lines = text.split("\n")
    line, column = error.line, error.column
    if not isinstance(line, int) or line < 1:  # error at the end of the file
        line, column = len(lines), len(lines[-1]) + 1
    token = getattr(error, "token", None)
    if token is None:
        found = repr(getattr(error, "char", None) or lines[line - 1][column - 1 : column])
    elif token.type == "$END" or token.value == "":
        found = "the end of the file"
    else:
        found = "the end of the line" if token.type == "_COMMA" and token.value == "," else repr(str(token))
    expected = sorted(
        TOKEN_DESCRIPTIONS.get(w, w.lower())
        for w in getattr(error, "accepts", None) or expected_tokens(error)
    )
    wanted = " or ".join(expected[:5]) + (" or other" if len(expected) > 5 else "")
    return RecordError(Position(name, line, column), "", found, wanted or "something else")


def expected_tokens(error: UnexpectedInput) -> set[str]:
    return set(getattr(error, "expected", None) or getattr(error, "allowed", None) or ())
