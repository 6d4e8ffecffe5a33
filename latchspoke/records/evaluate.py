"""Unification of all expressions for one path.

A *vertex* is one path. It holds closures: expressions, each with its lexical scope. To evaluate a vertex,
its closures are expanded into structs, lists and constraints, which must all be satisfied; a conflict is
an error and never an override. A reference adds the closures of its target, so that references within a
definition resolve relative to the vertex that uses it.

A definition (``#Name``) closes the structs that refer to it: other fields are errors. Each use of a
definition creates a *group*; the structs of a group together determine the allowed fields.
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

MAX_DEPTH = 64  # of nested vertices; deeper records are treated as infinitely recursive
MAX_ALTERNATIVE_COMBINATIONS = 512  # evaluated for one vertex
Groups = frozenset[object]
NO_GROUPS: Groups = frozenset()


class Scope:
    """A lexical scope: a struct as written, and the vertex that it is part of."""

    __slots__ = ("struct", "up", "vertex")

    def __init__(self, vertex: Vertex, struct: Struct, up: Scope | None) -> None:
        self.vertex, self.struct, self.up = vertex, struct, up


class Closure:
    """An expression, its scope, and the groups (uses of definitions) that it is part of."""

    __slots__ = ("expr", "groups", "scope")

    def __init__(self, expr: Any, scope: Scope | None, groups: Groups = NO_GROUPS) -> None:
        self.expr, self.scope, self.groups = expr, scope, groups


class ExpandedClosures:
    """The expanded closures of one vertex by kind of expression."""

    def __init__(self) -> None:
        self.structs: list[Closure] = []
        self.lists: list[Closure] = []
        self.scalars: list[Any] = []  # Literal, Kind, Bound
        self.choices: list[Closure] = []


class Vertex:
    """One path: its closures and, once evaluated, the result of unifying them."""

    def __init__(self, path: str, closures: list[Closure], depth: int = 0) -> None:
        self.path, self.closures, self.depth = path, closures, depth
        self.arcs: dict[str, Vertex] = {}  # fields of a struct, or list items by index
        self.kind = ""  # '', struct, list, scalar, open (not concrete)
        self.value: Any = None
        self.wanted = ""  # for kind ``open``: description of the accepted values
        self.open = False
        self.required: dict[str, Position] = {}
        self.optional: dict[str, list[Closure]] = {}
        self.definition = False
        self.state = 0  # 0 not evaluated, 1 in progress, 2 done

    @property
    def at(self) -> Position:
        return self.closures[0].expr.at if self.closures else Position()

    def error(self, at: Position, found: str, wanted: str) -> RecordError:
        return RecordError(at, self.path, found, wanted)

    # Expansion.

    def expand(self) -> ExpandedClosures:
        expanded, visited = ExpandedClosures(), {id(self)}
        stack = list(reversed(self.closures))
        while stack:
            self.expand_closure(stack.pop(), expanded, stack, visited)
        return expanded

    def expand_closure(
        self, closure: Closure, expanded: ExpandedClosures, stack: list[Closure], visited: set[int]
    ) -> None:
        expr, scope, groups = closure.expr, closure.scope, closure.groups
        match expr:
            case Struct():
                expanded.structs.append(closure)
            case ListNode():
                expanded.lists.append(closure)
            case Conjunction(_, parts):
                stack += [Closure(part, scope, groups) for part in reversed(parts)]
            case Disjunction():
                expanded.choices.append(closure)
            case Interpolated():
                expanded.scalars.append(self.interpolate(expr, scope))
            case Bound(_, op, Reference() as name):
                value = self.scalar_of(name, scope)
                expanded.scalars.append(Bound(expr.at, op, value) if value else Pending(expr.at, expr))
            case Reference():
                target = self.resolve(expr, scope)
                if id(target) in visited:
                    return  # a reference cycle such as a: b, b: a adds no constraint
                visited.add(id(target))
                if any("#" in name[:2] for name in expr.names):
                    groups |= {object()}
                stack += [Closure(c.expr, c.scope, c.groups | groups) for c in reversed(target.closures)]
            case _:
                expanded.scalars.append(expr)

    def resolve(self, name: Reference, scope: Scope | None) -> Vertex:
        """Resolve a reference: the innermost enclosing struct with the first name, then field by field."""
        first, *rest = name.names
        while scope is not None and first not in scope.struct.names():
            scope = scope.up
        if scope is None:
            raise self.error(name.at, f"the name {first!r}", "a name that stands in a struct around it")
        target = scope.vertex.arc(first, name)
        for part in rest:
            target.evaluate(deep=False)
            target = target.arc(part, name)
        return target

    def arc(self, label: str, name: Reference) -> Vertex:
        """Return a field. An optional field without a value can be referred to as a type."""
        if self.state == 0:
            self.evaluate(deep=False)
        if label not in self.arcs and self.state != 0:
            optional = self.optional.get(label)
            if optional is None:
                raise self.error(name.at, f"the name {name}", f"a field that is there ({label!r} is not)")
            return Vertex(join_path(self.path, label), optional, self.depth + 1)
        return self.arcs[label]

    def scalar_of(self, name: Reference, scope: Scope | None) -> Literal | None:
        """Return the scalar value of a reference; None if it is not concrete."""
        target = self.resolve(name, scope)
        target.evaluate()
        if target.kind == "open":
            return None
        if target.kind != "scalar":
            raise self.error(name.at, f"{name}, which is {target.describe()}", "a plain value")
        return Literal(name.at, target.value)

    def interpolate(self, text: Interpolated, scope: Scope | None) -> Literal | Pending:
        parts = []
        for part in text.parts:
            value = part
            if isinstance(part, Reference):
                literal = self.scalar_of(part, scope)
                if literal is None:
                    return Pending(text.at, text)
                value = literal.value
            if isinstance(value, bool) or value is None:
                raise self.error(text.at, f"{value} in a string", "a string or a number")
            parts.append(str(value))
        return Literal(text.at, "".join(parts))

    # Evaluation.

    def evaluate(self, deep: bool = True) -> None:
        """Unify the closures; with ``deep`` also those of all fields. Raises RecordError."""
        if self.depth > MAX_DEPTH:
            raise self.error(self.at, "a record within itself without end", "one that ends")
        if self.state == 0:
            self.state = 1
            expanded = self.expand()
            if expanded.choices:
                self.resolve_alternatives(expanded)
            else:
                self.unify(expanded)
            self.state = 2
        if deep and self.state == 2:
            for arc in self.arcs.values():
                arc.evaluate()

    def unify(self, expanded: ExpandedClosures) -> None:
        kinds = [
            bool(expanded.structs),
            bool(expanded.lists),
            bool([s for s in expanded.scalars if not is_top(s)]),
        ]
        if sum(kinds) > 1:
            raise self.kind_conflict(expanded)
        if expanded.structs:
            self.unify_structs(expanded.structs)
        elif expanded.lists:
            self.unify_lists(expanded.lists)
        else:
            self.unify_scalars(expanded.scalars)

    def kind_conflict(self, expanded: ExpandedClosures) -> RecordError:
        """Build the error for conflicting kinds; it points to a literal or else the last expression."""
        described = [(c.expr, "a struct") for c in expanded.structs] + [
            (c.expr, "a list") for c in expanded.lists
        ]
        described += [(s, str(s)) for s in expanded.scalars if not is_top(s)]
        literal = next((s for s in described if isinstance(s[0], Literal)), None)
        found = literal or described[-1]
        other = next(s for s in described if s[1] != found[1])
        return self.error(found[0].at, found[1], f"{other[1]} as at {other[0].at}")

    def unify_structs(self, structs: list[Closure]) -> None:
        self.kind, regular_fields, optional = "struct", dict[str, list[Closure]](), dict[str, list[Closure]]()
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
                    regular_fields.setdefault(item.label, []).append(part)
        self.optional = optional
        for label, parts in regular_fields.items():
            matching = [
                Closure(item.value, pattern.scope, self.pattern_groups(structs, item))
                for pattern, item in patterns
                if hidden_prefix(label) == "" and self.matches(label, pattern)
            ]
            vertex = Vertex(
                join_path(self.path, label), parts + optional.get(label, []) + matching, self.depth + 1
            )
            vertex.definition = "#" in label[:2]
            self.arcs[label] = vertex
        self.check_closed(structs, regular_fields, patterns)

    @staticmethod
    def pattern_groups(structs: list[Closure], item: FieldNode) -> Groups:
        return next((c.groups for c in structs if any(f is item for f in c.expr.fields)), NO_GROUPS)

    def matches(self, label: str, pattern: Closure) -> bool:
        name = Vertex("", [Closure(Literal(Position(), label), None), pattern], self.depth + 1)
        try:
            name.evaluate()
        except RecordError:
            return False
        return True

    def check_closed(
        self,
        structs: list[Closure],
        regular_fields: dict[str, list[Closure]],
        patterns: list[tuple[Closure, FieldNode]],
    ) -> None:
        for group in set[object]().union(*(c.groups for c in structs)):
            members = [c for c in structs if group in c.groups]
            if any(c.expr.open for c in members):
                continue
            allowed = set[str]().union(*(c.expr.names() for c in members))
            label_patterns = [t for t, item in patterns if any(item in c.expr.fields for c in members)]
            for label, parts in regular_fields.items():
                if (
                    label in allowed
                    or hidden_prefix(label)
                    or any(self.matches(label, t) for t in label_patterns)
                ):
                    continue
                wanted = ", ".join(sorted(name for name in allowed if not hidden_prefix(name))) or "no field"
                raise RecordError(
                    parts[0].expr.at, join_path(self.path, label), f"the field {label!r}", f"one of: {wanted}"
                )

    def unify_lists(self, lists: list[Closure]) -> None:
        self.kind = "list"
        longest = max(lists, key=lambda c: len(c.expr.items))
        size = len(longest.expr.items)
        for closure in lists:
            length = len(closure.expr.items)
            if length < size and closure.expr.rest is None:
                raise self.error(
                    longest.expr.at, f"a list of {size}", f"one of {length} as at {closure.expr.at}"
                )
        self.open = all(c.expr.rest is not None for c in lists)
        for index in range(size):
            parts = []
            for closure in lists:
                item = closure.expr.items[index] if index < len(closure.expr.items) else closure.expr.rest
                parts.append(Closure(item, closure.scope, closure.groups))
            # Literal items first: errors point to the first closure.
            parts.sort(key=lambda c: isinstance(c.expr, Kind | Reference))
            self.arcs[str(index)] = Vertex(f"{self.path}[{index}]", parts, self.depth + 1)

    def unify_scalars(self, scalars: list[Any]) -> None:
        literals = [s for s in scalars if isinstance(s, Literal)]
        limits = [s for s in scalars if not isinstance(s, Literal) and not is_top(s)]
        pending = [s for s in limits if isinstance(s, Pending)]
        if pending or not literals:
            self.check_kinds([s for s in limits if s not in pending])
            self.kind, self.wanted = "open", " & ".join(dict.fromkeys(str(s) for s in limits)) or "a value"
            return
        first = literals[0]
        for other in literals[1:]:
            if not is_same_value(first.value, other.value):
                raise self.error(other.at, str(other), f"{first} as at {first.at}")
        for limit in limits:
            if not satisfies(first.value, limit):
                raise self.error(first.at, str(first), f"{limit} (at {limit.at})")
        self.kind, self.value = "scalar", first.value

    def check_kinds(self, limits: list[Any]) -> None:
        """Raise RecordError for types that exclude each other, even without a concrete value."""
        kinds: set[str] | None = None
        for limit in limits:
            limit_kinds = KIND_SETS[limit.name] if isinstance(limit, Kind) else bound_kinds(limit)
            if kinds is not None and not kinds & limit_kinds:
                raise self.error(limit.at, str(limit), " & ".join(str(x) for x in limits if x is not limit))
            kinds = limit_kinds if kinds is None else kinds & limit_kinds

    # Alternatives.

    def resolve_alternatives(self, expanded: ExpandedClosures) -> None:
        """Evaluate all combinations of alternatives, drop conflicting ones, and prefer defaults."""
        count = 1
        for choice in expanded.choices:
            count *= len(choice.expr.parts)
        if count > MAX_ALTERNATIVE_COMBINATIONS:
            raise self.error(
                self.at, f"{count} combinations of alternatives", f"at most {MAX_ALTERNATIVE_COMBINATIONS}"
            )
        base = [*expanded.structs, *expanded.lists, *(Closure(s, None) for s in expanded.scalars)]
        consistent: list[tuple[Vertex, bool]] = []
        errors: list[RecordError] = []
        for indexes in itertools.product(*(range(len(c.expr.parts)) for c in expanded.choices)):
            parts = [
                Closure(c.expr.parts[n], c.scope, c.groups)
                for c, n in zip(expanded.choices, indexes, strict=True)
            ]
            default = all(
                c.expr.default[n] or not any(c.expr.default)
                for c, n in zip(expanded.choices, indexes, strict=True)
            )
            candidate = Vertex(self.path, base + parts, self.depth)
            try:
                candidate.evaluate()
            except RecordError as e:
                errors.append(e)
            else:
                consistent.append((candidate, default))
        if not consistent:
            raise self.no_alternative_error(expanded, errors)
        best = distinct([candidate for candidate, default in consistent if default]) or distinct(
            [t for t, _ in consistent]
        )
        if len(best) > 1:
            self.kind, self.wanted = "open", " | ".join(dict.fromkeys(t.describe() for t in best))
            return
        self.copy_result(best[0])

    def copy_result(self, candidate: Vertex) -> None:
        for name in ("arcs", "kind", "value", "wanted", "open", "required", "optional"):
            setattr(self, name, getattr(candidate, name))

    def no_alternative_error(self, expanded: ExpandedClosures, errors: list[RecordError]) -> RecordError:
        literal = next((s for s in expanded.scalars if isinstance(s, Literal)), None)
        if literal is not None:
            wanted = " and ".join(str(c.expr) for c in expanded.choices)
            return self.error(literal.at, str(literal), f"{wanted} (at {expanded.choices[0].expr.at})")
        # Report the error with the longest path: that alternative is the most likely intent.
        return max(errors, key=lambda e: len(e.path))

    # Result.

    def describe(self) -> str:
        if self.kind == "scalar":
            return str(Literal(Position(), self.value))
        if self.kind == "open":
            return self.wanted
        return {"struct": "a struct", "list": "a list"}.get(self.kind, "nothing")

    def export(self, positions: dict[str, tuple[Position, Any]] | None = None) -> Any:
        """Return plain values without definitions and hidden fields.

        Raises RecordError for a value that is not concrete. ``positions`` collects position and value
        by path.
        """
        self.evaluate()
        if positions is not None:
            positions[self.path] = self.at, self.value
        if self.kind == "open":
            raise self.error(self.at, "no value", self.wanted)
        if self.kind == "list":
            return [arc.export(positions) for arc in self.arcs.values()]
        if self.kind != "struct":
            return self.value
        for label, at in self.required.items():
            if label not in self.arcs:
                missing = RecordError(
                    self.at, join_path(self.path, label), "nothing", f"a value (required at {at})"
                )
                raise missing
        return {label: arc.export(positions) for label, arc in self.arcs.items() if not hidden_prefix(label)}


def is_top(node: Any) -> bool:
    return isinstance(node, Kind) and node.name == "_"


def hidden_prefix(label: str) -> str:
    """Return the prefix that excludes a field from export (``#`` or ``_``), or an empty string."""
    return label[0] if label[:1] in ("#", "_") else ""


def join_path(path: str, label: str) -> str:
    plain = re.fullmatch(r"_?#?[A-Za-z_$][A-Za-z0-9_$]*", label)
    segment = label if plain else f'"{label}"'
    return f"{path}.{segment}" if path else segment


def is_same_value(a: Any, b: Any) -> bool:
    """Whether value and type are equal: 1, true and 1.0 are all different."""
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


def satisfies(value: Any, limit: Any) -> bool:
    """Whether a concrete value satisfies a type or bound."""
    kind = kind_of(value)
    if isinstance(limit, Kind):
        if limit.name == "time.Duration":
            return kind == "string" and is_duration(value)
        return kind in KIND_SETS[limit.name]
    return kind in bound_kinds(limit) and COMPARE[limit.op](value, limit.operand.value)


COMPARE: dict[str, Callable[[Any, Any], bool]] = {
    "=~": lambda value, other: re.search(other, value) is not None,
    "!~": lambda value, other: re.search(other, value) is None,
    "!=": lambda value, other: not is_same_value(value, other),
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
    """Drop vertices with the same result as an earlier one."""
    found: dict[str, Vertex] = {}
    for vertex in vertices:
        found.setdefault(canonical_form(vertex), vertex)
    return list(found.values())


def canonical_form(vertex: Vertex) -> str:
    if vertex.kind in ("struct", "list"):
        inner = ",".join(f"{label}:{canonical_form(arc)}" for label, arc in sorted(vertex.arcs.items()))
        return f"{vertex.kind}({inner})"
    return f"{vertex.kind}:{vertex.describe()}"


def root_vertex(structs: Iterable[Struct]) -> Vertex:
    """Return the root vertex of several files, which see each other's top-level names."""
    structs = list(structs)
    vertex = Vertex("", [])
    if structs:
        # Files of one package share the outermost scope.
        all_fields = tuple(f for s in structs for f in s.fields)
        shared = Scope(vertex, Struct(structs[0].at, all_fields), None)
        vertex.closures = [Closure(s, shared) for s in structs]
    return vertex
