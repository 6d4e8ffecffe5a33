"""Unification: what all that is said of one place comes to.

A *vertex* is one place (a path). It holds closures: expressions, each with the scope that it was written
in. To evaluate a vertex its closures are opened into structs, lists and constraints, which must all hold
together; a conflict is an error and never an override. A reference adds the closures of its target, so
that a definition's own references then mean the place that uses it.

A definition (``#Name``) closes what refers to it: a field that it does not name is an error. Each use of
one makes a *group*; all structs of a group together say which fields there may be.
"""

from __future__ import annotations

import itertools
import operator
import re
from collections.abc import Callable, Iterable
from typing import Any

from latchspoke.records.syntax import (
    Bound,
    Conjunction,
    Disjunction,
    FieldNode,
    Interpolated,
    Kind,
    ListNode,
    Literal,
    Pending,
    Position,
    RecordError,
    Reference,
    Struct,
    seconds,
)

DEPTH_MOST = 64  # deeper than this a record refers to itself without end
CHOICES_MOST = 512  # combinations of alternatives looked at for one place
Groups = frozenset[object]
NO_GROUPS: Groups = frozenset()


class Scope:
    """Where names are looked up: a struct as it was written, and the place that it is part of."""

    __slots__ = ("struct", "up", "vertex")

    def __init__(self, vertex: Vertex, struct: Struct, up: Scope | None) -> None:
        self.vertex, self.struct, self.up = vertex, struct, up


class Closure:
    """An expression, its scope, and the definitions' uses that it is part of."""

    __slots__ = ("expr", "groups", "scope")

    def __init__(self, expr: Any, scope: Scope | None, groups: Groups = NO_GROUPS) -> None:
        self.expr, self.scope, self.groups = expr, scope, groups


class Opened:
    """The closures of one vertex, sorted by what they are."""

    def __init__(self) -> None:
        self.structs: list[Closure] = []
        self.lists: list[Closure] = []
        self.scalars: list[Any] = []  # Literal, Kind, Bound
        self.choices: list[Closure] = []


class Vertex:
    """One place: its path, what is said of it, and once evaluated what that comes to."""

    def __init__(self, path: str, closures: list[Closure], depth: int = 0) -> None:
        self.path, self.closures, self.depth = path, closures, depth
        self.arcs: dict[str, Vertex] = {}  # of a struct, or of a list by index
        self.kind = ""  # '', struct, list, scalar, open (not concrete)
        self.value: Any = None
        self.wanted = ""  # for an open one: what would do
        self.open = False
        self.required: dict[str, Position] = {}
        self.optional: dict[str, list[Closure]] = {}
        self.definition = False
        self.state = 0  # 0 not evaluated, 1 under way, 2 done

    @property
    def at(self) -> Position:
        return self.closures[0].expr.at if self.closures else Position()

    def fail(self, at: Position, found: str, wanted: str) -> RecordError:
        return RecordError(at, self.path, found, wanted)

    # Opening.

    def open_all(self) -> Opened:
        opened, seen = Opened(), {id(self)}
        work = list(reversed(self.closures))
        while work:
            self.open_one(work.pop(), opened, work, seen)
        return opened

    def open_one(self, closure: Closure, opened: Opened, work: list[Closure], seen: set[int]) -> None:
        expr, scope, groups = closure.expr, closure.scope, closure.groups
        match expr:
            case Struct():
                opened.structs.append(closure)
            case ListNode():
                opened.lists.append(closure)
            case Conjunction(_, parts):
                work += [Closure(part, scope, groups) for part in reversed(parts)]
            case Disjunction():
                opened.choices.append(closure)
            case Interpolated():
                opened.scalars.append(self.interpolate(expr, scope))
            case Bound(_, op, Reference() as name):
                value = self.scalar_of(name, scope)
                opened.scalars.append(Bound(expr.at, op, value) if value else Pending(expr.at, expr))
            case Reference():
                target = self.resolve(expr, scope)
                if id(target) in seen:
                    return  # a: b, b: a says nothing more of either
                seen.add(id(target))
                if any("#" in name[:2] for name in expr.names):
                    groups |= {object()}
                work += [Closure(c.expr, c.scope, c.groups | groups) for c in reversed(target.closures)]
            case _:
                opened.scalars.append(expr)

    def resolve(self, name: Reference, scope: Scope | None) -> Vertex:
        """The place that a name means: the nearest struct around it that has the first part, then down."""
        first, *rest = name.names
        while scope is not None and first not in scope.struct.names():
            scope = scope.up
        if scope is None:
            raise self.fail(name.at, f"the name {first!r}", "a name that stands in a struct around it")
        target = scope.vertex.arc(first, name)
        for part in rest:
            target.evaluate(deep=False)
            target = target.arc(part, name)
        return target

    def arc(self, label: str, name: Reference) -> Vertex:
        """A part of this place; one that is optional and not given is still a type to refer to."""
        if self.state == 0:
            self.evaluate(deep=False)
        if label not in self.arcs and self.state != 0:
            optional = self.optional.get(label)
            if optional is None:
                raise self.fail(name.at, f"the name {name}", f"a field that is there ({label!r} is not)")
            return Vertex(join(self.path, label), optional, self.depth + 1)
        return self.arcs[label]

    def scalar_of(self, name: Reference, scope: Scope | None) -> Literal | None:
        """The plain value that a name has; None where it has none yet."""
        target = self.resolve(name, scope)
        target.evaluate()
        if target.kind == "open":
            return None
        if target.kind != "scalar":
            raise self.fail(name.at, f"{name}, which is {target.describe()}", "a plain value")
        return Literal(name.at, target.value)

    def interpolate(self, text: Interpolated, scope: Scope | None) -> Literal | Pending:
        parts = []
        for part in text.parts:
            value = part
            if isinstance(part, Reference):
                told = self.scalar_of(part, scope)
                if told is None:
                    return Pending(text.at, text)
                value = told.value
            if isinstance(value, bool) or value is None:
                raise self.fail(text.at, f"{value} in a string", "a string or a number")
            parts.append(str(value))
        return Literal(text.at, "".join(parts))

    # Evaluating.

    def evaluate(self, deep: bool = True) -> None:
        """Work out what this place is; ``deep`` also its parts. Raises RecordError."""
        if self.depth > DEPTH_MOST:
            raise self.fail(self.at, "a record within itself without end", "one that ends")
        if self.state == 0:
            self.state = 1
            opened = self.open_all()
            if opened.choices:
                self.choose(opened)
            else:
                self.settle(opened)
            self.state = 2
        if deep and self.state == 2:
            for arc in self.arcs.values():
                arc.evaluate()

    def settle(self, opened: Opened) -> None:
        kinds = [bool(opened.structs), bool(opened.lists), bool([s for s in opened.scalars if not any_(s)])]
        if sum(kinds) > 1:
            raise self.clash(opened)
        if opened.structs:
            self.settle_struct(opened.structs)
        elif opened.lists:
            self.settle_list(opened.lists)
        else:
            self.settle_scalar(opened.scalars)

    def clash(self, opened: Opened) -> RecordError:
        """Things of different kinds for one place; the one said last is likely the one to change."""
        said = [(c.expr, "a struct") for c in opened.structs] + [(c.expr, "a list") for c in opened.lists]
        said += [(s, str(s)) for s in opened.scalars if not any_(s)]
        literal = next((s for s in said if isinstance(s[0], Literal)), None)
        found = literal or said[-1]
        other = next(s for s in said if s[1] != found[1])
        return self.fail(found[0].at, found[1], f"{other[1]} as at {other[0].at}")

    def settle_struct(self, structs: list[Closure]) -> None:
        self.kind, given, optional = "struct", dict[str, list[Closure]](), dict[str, list[Closure]]()
        patterns: list[tuple[Closure, FieldNode]] = []
        for closure in structs:
            scope = Scope(self, closure.expr, closure.scope)
            for item in closure.expr.fields:
                part = Closure(item.value, scope, closure.groups)
                if item.pattern:
                    patterns.append((Closure(item.label, scope), item))
                elif item.mark:
                    optional.setdefault(item.label, []).append(part)
                    if item.mark == "!":
                        self.required.setdefault(item.label, item.at)
                else:
                    given.setdefault(item.label, []).append(part)
        self.optional = optional
        for label, parts in given.items():
            matching = [
                Closure(item.value, test.scope, self.pattern_groups(structs, item))
                for test, item in patterns
                if hidden(label) == "" and self.matches(label, test)
            ]
            vertex = Vertex(
                join(self.path, label), parts + optional.get(label, []) + matching, self.depth + 1
            )
            vertex.definition = "#" in label[:2]
            self.arcs[label] = vertex
        self.check_closed(structs, given, patterns)

    @staticmethod
    def pattern_groups(structs: list[Closure], item: FieldNode) -> Groups:
        return next((c.groups for c in structs if any(f is item for f in c.expr.fields)), NO_GROUPS)

    def matches(self, label: str, test: Closure) -> bool:
        name = Vertex("", [Closure(Literal(Position(), label), None), test], self.depth + 1)
        try:
            name.evaluate()
        except RecordError:
            return False
        return True

    def check_closed(
        self,
        structs: list[Closure],
        given: dict[str, list[Closure]],
        patterns: list[tuple[Closure, FieldNode]],
    ) -> None:
        for group in set[object]().union(*(c.groups for c in structs)):
            inside = [c for c in structs if group in c.groups]
            if any(c.expr.open for c in inside):
                continue
            allowed = set[str]().union(*(c.expr.names() for c in inside))
            tests = [t for t, item in patterns if any(item in c.expr.fields for c in inside)]
            for label, parts in given.items():
                if label in allowed or hidden(label) or any(self.matches(label, t) for t in tests):
                    continue
                wanted = ", ".join(sorted(name for name in allowed if not hidden(name))) or "no field"
                raise RecordError(
                    parts[0].expr.at, join(self.path, label), f"the field {label!r}", f"one of: {wanted}"
                )

    def settle_list(self, lists: list[Closure]) -> None:
        self.kind = "list"
        longest = max(lists, key=lambda c: len(c.expr.items))
        size = len(longest.expr.items)
        for closure in lists:
            have = len(closure.expr.items)
            if have < size and closure.expr.rest is None:
                raise self.fail(
                    longest.expr.at, f"a list of {size}", f"one of {have} as at {closure.expr.at}"
                )
        self.open = all(c.expr.rest is not None for c in lists)
        for place in range(size):
            parts = []
            for closure in lists:
                item = closure.expr.items[place] if place < len(closure.expr.items) else closure.expr.rest
                parts.append(Closure(item, closure.scope, closure.groups))
            # What was written out comes first, as errors point there.
            parts.sort(key=lambda c: isinstance(c.expr, Kind | Reference))
            self.arcs[str(place)] = Vertex(f"{self.path}[{place}]", parts, self.depth + 1)

    def settle_scalar(self, scalars: list[Any]) -> None:
        literals = [s for s in scalars if isinstance(s, Literal)]
        limits = [s for s in scalars if not isinstance(s, Literal) and not any_(s)]
        pending = [s for s in limits if isinstance(s, Pending)]
        if pending or not literals:
            self.check_kinds([s for s in limits if s not in pending])
            self.kind, self.wanted = "open", " & ".join(dict.fromkeys(str(s) for s in limits)) or "a value"
            return
        first = literals[0]
        for other in literals[1:]:
            if not same(first.value, other.value):
                raise self.fail(other.at, str(other), f"{first} as at {first.at}")
        for limit in limits:
            if not holds(first.value, limit):
                raise self.fail(first.at, str(first), f"{limit} (at {limit.at})")
        self.kind, self.value = "scalar", first.value

    def check_kinds(self, limits: list[Any]) -> None:
        """Types that exclude each other are a mistake, though nothing concrete stands there yet."""
        kinds: set[str] | None = None
        for limit in limits:
            mine = KIND_SETS[limit.name] if isinstance(limit, Kind) else bound_kinds(limit)
            if kinds is not None and not kinds & mine:
                raise self.fail(limit.at, str(limit), " & ".join(str(x) for x in limits if x is not limit))
            kinds = mine if kinds is None else kinds & mine

    # Alternatives.

    def choose(self, opened: Opened) -> None:
        """Try each combination of alternatives; those without conflict remain, defaults before others."""
        count = 1
        for choice in opened.choices:
            count *= len(choice.expr.parts)
        if count > CHOICES_MOST:
            raise self.fail(self.at, f"{count} combinations of alternatives", f"at most {CHOICES_MOST}")
        base = [*opened.structs, *opened.lists, *(Closure(s, None) for s in opened.scalars)]
        kept: list[tuple[Vertex, bool]] = []
        errors: list[RecordError] = []
        for picks in itertools.product(*(range(len(c.expr.parts)) for c in opened.choices)):
            parts = [
                Closure(c.expr.parts[n], c.scope, c.groups)
                for c, n in zip(opened.choices, picks, strict=True)
            ]
            default = all(
                c.expr.default[n] or not any(c.expr.default)
                for c, n in zip(opened.choices, picks, strict=True)
            )
            trial = Vertex(self.path, base + parts, self.depth)
            try:
                trial.evaluate()
            except RecordError as e:
                errors.append(e)
            else:
                kept.append((trial, default))
        if not kept:
            raise self.no_alternative(opened, errors)
        best = distinct([trial for trial, default in kept if default]) or distinct([t for t, _ in kept])
        if len(best) > 1:
            self.kind, self.wanted = "open", " | ".join(dict.fromkeys(t.describe() for t in best))
            return
        self.adopt(best[0])

    def adopt(self, trial: Vertex) -> None:
        for name in ("arcs", "kind", "value", "wanted", "open", "required", "optional"):
            setattr(self, name, getattr(trial, name))

    def no_alternative(self, opened: Opened, errors: list[RecordError]) -> RecordError:
        literal = next((s for s in opened.scalars if isinstance(s, Literal)), None)
        if literal is not None:
            wanted = " and ".join(str(c.expr) for c in opened.choices)
            return self.fail(literal.at, str(literal), f"{wanted} (at {opened.choices[0].expr.at})")
        # Of structs the alternative that came furthest is likely the one that was meant.
        return max(errors, key=lambda e: len(e.path))

    # What it came to.

    def describe(self) -> str:
        if self.kind == "scalar":
            return str(Literal(Position(), self.value))
        if self.kind == "open":
            return self.wanted
        return {"struct": "a struct", "list": "a list"}.get(self.kind, "nothing")

    def export(self, places: dict[str, tuple[Position, Any]] | None = None) -> Any:
        """Plain values, without definitions and hidden fields; RecordError where one is still open."""
        self.evaluate()
        if places is not None:
            places[self.path] = self.at, self.value
        if self.kind == "open":
            raise self.fail(self.at, "no value", self.wanted)
        if self.kind == "list":
            return [arc.export(places) for arc in self.arcs.values()]
        if self.kind != "struct":
            return self.value
        for label, at in self.required.items():
            if label not in self.arcs:
                missing = RecordError(
                    self.at, join(self.path, label), "nothing", f"a value (required at {at})"
                )
                raise missing
        return {label: arc.export(places) for label, arc in self.arcs.items() if not hidden(label)}


def any_(node: Any) -> bool:
    return isinstance(node, Kind) and node.name == "_"


def hidden(label: str) -> str:
    """What keeps a field out of the values: it is a definition, or its name begins with ``_``."""
    return label[0] if label[:1] in ("#", "_") else ""


def join(path: str, label: str) -> str:
    plain = re.fullmatch(r"_?#?[A-Za-z_$][A-Za-z0-9_$]*", label)
    step = label if plain else f'"{label}"'
    return f"{path}.{step}" if path else step


def same(a: Any, b: Any) -> bool:
    """Equal, and of one kind: 1 and true are two values, 1 and 1.0 two numbers."""
    return type(a) is type(b) and a == b


NUMBERS = {"int", "float"}
KIND_SETS = {
    "string": {"string"}, "int": {"int"}, "float": {"float"}, "number": NUMBERS, "bool": {"bool"},
    "null": {"null"}, "_": {"string", "bool", "null", *NUMBERS}, "time.Duration": {"string"},
}  # fmt: skip


def kind_of(value: Any) -> str:
    if isinstance(value, bool):
        return "bool"
    return {str: "string", int: "int", float: "float"}.get(type(value), "null")


def bound_kinds(bound: Bound) -> set[str]:
    if bound.op in ("=~", "!~"):
        return {"string"}
    kind = kind_of(bound.operand.value)
    if bound.op == "!=":
        return KIND_SETS["_"]
    return NUMBERS if kind in NUMBERS else {kind}


def holds(value: Any, limit: Any) -> bool:
    """Whether a concrete value keeps to a type or bound."""
    kind = kind_of(value)
    if isinstance(limit, Kind):
        if limit.name == "time.Duration":
            return kind == "string" and is_duration(value)
        return kind in KIND_SETS[limit.name]
    return kind in bound_kinds(limit) and COMPARE[limit.op](value, limit.operand.value)


COMPARE: dict[str, Callable[[Any, Any], bool]] = {
    "=~": lambda value, other: re.search(other, value) is not None,
    "!~": lambda value, other: re.search(other, value) is None,
    "!=": lambda value, other: not same(value, other),
    ">": operator.gt,
    ">=": operator.ge,
    "<": operator.lt,
    "<=": operator.le,
}


def is_duration(text: str) -> bool:
    try:
        seconds(text)
    except ValueError:
        return False
    return True


def distinct(vertices: Iterable[Vertex]) -> list[Vertex]:
    """One of each that came to the same."""
    found: dict[str, Vertex] = {}
    for vertex in vertices:
        found.setdefault(shape(vertex), vertex)
    return list(found.values())


def shape(vertex: Vertex) -> str:
    if vertex.kind in ("struct", "list"):
        inner = ",".join(f"{label}:{shape(arc)}" for label, arc in sorted(vertex.arcs.items()))
        return f"{vertex.kind}({inner})"
    return f"{vertex.kind}:{vertex.describe()}"


def root(structs: Iterable[Struct]) -> Vertex:
    """The whole of several files: each struct's names are seen from all of them."""
    structs = list(structs)
    vertex = Vertex("", [])
    if structs:
        # Files of one package share their outermost scope, so each gets a scope that knows all names.
        every = tuple(f for s in structs for f in s.fields)
        shared = Scope(vertex, Struct(structs[0].at, every), None)
        vertex.closures = [Closure(s, shared) for s in structs]
    return vertex
