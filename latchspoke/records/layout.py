"""Formatter for record files: tab indentation, one field per line, comments kept in place."""

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

MAX_INLINE_LIST_CHARS = 88  # longer lists get one line per item


class LayoutWriter:
    """Writes nodes line by line and keeps each comment next to the node it belongs to."""

    def __init__(self, file: File) -> None:
        self.comments = list(file.comments)
        self.lines: list[str] = []

    def write_line(self, depth: int, text: str) -> None:
        self.lines.append("\t" * depth + text)

    def write_comments_before(self, line: int, depth: int) -> None:
        """Write the comments of all lines before this one."""
        while self.comments and self.comments[0][0] < line:
            self.write_line(depth, self.comments.pop(0)[2])

    def append_comment_of_line(self, line: int) -> None:
        """Append a comment at the end of this source line to the line written last."""
        if self.comments and self.comments[0][0] == line and not self.comments[0][1]:
            self.lines[-1] += " " + self.comments.pop(0)[2]

    def write_fields(self, struct: Struct, depth: int) -> None:
        last = 0
        for item in struct.fields:
            if last and item.at.line > last + 1 and not self.gap_has_only_comments(last, item.at.line):
                self.write_blank_line()
            self.write_comments_before(item.at.line, depth)
            last = self.write_field(item, depth)
        if struct.open:
            self.write_comments_before(struct.end.line, depth)
            self.write_line(depth, "...")

    def gap_has_only_comments(self, last: int, line: int) -> bool:
        return len([c for c in self.comments if last < c[0] < line and c[1]]) == line - last - 1

    def write_blank_line(self) -> None:
        if self.lines and self.lines[-1]:
            self.lines.append("")

    def write_field(self, item: FieldNode, depth: int, prefix: str = "") -> int:
        """Write a field and return the source line on which it ended."""
        label = f"[{item.label}]" if item.pattern else quote(item.label)
        return self.write_value(f"{prefix}{label}{item.mark}: ", item.value, depth)

    def write_value(self, prefix: str, value: Any, depth: int) -> int:
        if isinstance(value, Struct) and value.chained:
            return self.write_field(value.fields[0], depth, prefix)
        if isinstance(value, Conjunction) and isinstance(value.parts[-1], Struct):
            *preceding, value = value.parts
            prefix += "".join(f"({p}) & " if isinstance(p, Disjunction) else f"{p} & " for p in preceding)
        if isinstance(value, Struct) and (value.fields or value.open or self.contains_comments(value)):
            self.write_line(depth, f"{prefix}{{")
            self.append_comment_of_line(value.at.line)
            self.write_fields(value, depth + 1)
            self.write_comments_before(value.end.line, depth + 1)
            self.write_line(depth, "}")
            self.append_comment_of_line(value.end.line)
            return value.end.line
        if isinstance(value, ListNode) and (
            self.contains_comments(value) or len(f"{prefix}{value}") > MAX_INLINE_LIST_CHARS
        ):
            return self.write_long_list(prefix, value, depth)
        self.write_line(depth, f"{prefix}{value}")
        end = getattr(value, "end", value.at).line
        self.append_comment_of_line(end)
        return int(end)

    def contains_comments(self, value: Struct | ListNode) -> bool:
        return any(value.at.line <= line < value.end.line for line, _, _ in self.comments)

    def write_long_list(self, prefix: str, value: ListNode, depth: int) -> int:
        self.write_line(depth, f"{prefix}[")
        self.append_comment_of_line(value.at.line)
        for item in value.items:
            self.write_comments_before(item.at.line, depth + 1)
            self.write_value("", item, depth + 1)
            text, mark, comment = self.lines[-1].partition(" //")
            self.lines[-1] = f"{text},{mark}{comment}"
        if value.rest is not None:
            self.write_line(depth + 1, f"...{'' if value.rest == ANYTHING else value.rest},")
        self.write_comments_before(value.end.line, depth + 1)
        self.write_line(depth, "]")
        self.append_comment_of_line(value.end.line)
        return value.end.line


def layout(file: File) -> str:
    """Format a parsed file."""
    writer = LayoutWriter(file)
    while writer.comments and writer.comments[0][0] == 1 and writer.comments[0][1] and file.package:
        writer.lines.append(writer.comments.pop(0)[2])
    if file.package:
        writer.lines += [f"package {file.package}", ""]
    for name in file.imports:
        writer.lines += [f'import "{name}"', ""]
    writer.write_fields(file.body, 0)
    writer.write_comments_before(1 << 30, 0)
    return "\n".join(writer.lines).rstrip("\n") + "\n" if writer.lines else ""


def layout_text(text: str, name: str = "text") -> str:
    """Format a text. Raises RecordError if it is invalid, AssertionError if formatting would change it."""
    file = parse(text, name)
    output = layout(file)
    reparsed = parse(output, name)
    if reparsed.body != file.body or [c[2] for c in reparsed.comments] != [c[2] for c in file.comments]:
        raise AssertionError(f"{name}: formatting would change the content")
    return output
