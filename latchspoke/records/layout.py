"""Writing a file again in the one accepted layout: tabs, one field a line, comments where they were."""

from __future__ import annotations

from typing import Any

from latchspoke.records.syntax import (
    ANYTHING,
    Conjunction,
    Disjunction,
    FieldNode,
    File,
    ListNode,
    Struct,
    parse,
    quote,
)

WIDE = 88  # a list that fits is written on one line


class Writer:
    """Writes nodes line by line, and puts each comment back beside what it stood beside."""

    def __init__(self, file: File) -> None:
        self.comments = list(file.comments)
        self.lines: list[str] = []

    def write(self, depth: int, text: str) -> None:
        self.lines.append("\t" * depth + text)

    def comments_before(self, line: int, depth: int) -> None:
        """Those that stand alone above this line, and any that had to leave their place."""
        while self.comments and self.comments[0][0] < line:
            self.write(depth, self.comments.pop(0)[2])

    def comment_beside(self, line: int) -> None:
        """One at the end of this line stays at the end of what was just written."""
        if self.comments and self.comments[0][0] == line and not self.comments[0][1]:
            self.lines[-1] += " " + self.comments.pop(0)[2]

    def fields(self, struct: Struct, depth: int) -> None:
        last = 0
        for item in struct.fields:
            if last and item.at.line > last + 1 and not self.gap_is_comment(last, item.at.line):
                self.blank()
            self.comments_before(item.at.line, depth)
            last = self.field(item, depth)
        if struct.open:
            self.comments_before(struct.end.line, depth)
            self.write(depth, "...")

    def gap_is_comment(self, last: int, line: int) -> bool:
        return len([c for c in self.comments if last < c[0] < line and c[1]]) == line - last - 1

    def blank(self) -> None:
        if self.lines and self.lines[-1]:
            self.lines.append("")

    def field(self, item: FieldNode, depth: int, head: str = "") -> int:
        """Write one; the line of the old file that it ended on comes back."""
        label = f"[{item.label}]" if item.pattern else quote(item.label)
        return self.value(f"{head}{label}{item.mark}: ", item.value, depth)

    def value(self, head: str, value: Any, depth: int) -> int:
        if isinstance(value, Struct) and value.chained:
            return self.field(value.fields[0], depth, head)
        if isinstance(value, Conjunction) and isinstance(value.parts[-1], Struct):
            *before, value = value.parts
            head += "".join(f"({p}) & " if isinstance(p, Disjunction) else f"{p} & " for p in before)
        if isinstance(value, Struct) and (value.fields or value.open or self.inside(value)):
            self.write(depth, f"{head}{{")
            self.comment_beside(value.at.line)
            self.fields(value, depth + 1)
            self.comments_before(value.end.line, depth + 1)
            self.write(depth, "}")
            self.comment_beside(value.end.line)
            return value.end.line
        if isinstance(value, ListNode) and (self.inside(value) or len(f"{head}{value}") > WIDE):
            return self.long_list(head, value, depth)
        self.write(depth, f"{head}{value}")
        end = getattr(value, "end", value.at).line
        self.comment_beside(end)
        return int(end)

    def inside(self, value: Struct | ListNode) -> bool:
        return any(value.at.line <= line < value.end.line for line, _, _ in self.comments)

    def long_list(self, head: str, value: ListNode, depth: int) -> int:
        self.write(depth, f"{head}[")
        self.comment_beside(value.at.line)
        for item in value.items:
            self.comments_before(item.at.line, depth + 1)
            self.value("", item, depth + 1)
            text, mark, comment = self.lines[-1].partition(" //")
            self.lines[-1] = f"{text},{mark}{comment}"
        if value.rest is not None:
            self.write(depth + 1, f"...{'' if value.rest == ANYTHING else value.rest},")
        self.comments_before(value.end.line, depth + 1)
        self.write(depth, "]")
        self.comment_beside(value.end.line)
        return value.end.line


def layout(file: File) -> str:
    """The file's text in the accepted layout."""
    writer = Writer(file)
    while writer.comments and writer.comments[0][0] == 1 and writer.comments[0][1] and file.package:
        writer.lines.append(writer.comments.pop(0)[2])
    if file.package:
        writer.lines += [f"package {file.package}", ""]
    for name in file.imports:
        writer.lines += [f'import "{name}"', ""]
    writer.fields(file.body, 0)
    writer.comments_before(1 << 30, 0)
    return "\n".join(writer.lines).rstrip("\n") + "\n" if writer.lines else ""


def layout_text(text: str, name: str = "text") -> str:
    """The same from a text; raises RecordError where it can't be read, or would come out changed."""
    file = parse(text, name)
    written = layout(file)
    again = parse(written, name)
    if again.body != file.body or [c[2] for c in again.comments] != [c[2] for c in file.comments]:
        raise AssertionError(f"{name}: the layout would change what it says")
    return written
