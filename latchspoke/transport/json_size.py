"""An estimate of the memory that JSON takes once it is decoded, made before it is."""

from __future__ import annotations

OBJECT_BYTES = 120
ARRAY_BYTES = 80
MEMBER_BYTES = 64  # a key, and its place
ELEMENT_BYTES = 72  # a value, and its place


def decoded_size(text: bytes) -> int:
    """At least about what the values of a JSON document take (bytes); texts with commas count for more."""
    return (
        len(text)
        + text.count(b"{") * OBJECT_BYTES
        + text.count(b"[") * ARRAY_BYTES
        + text.count(b":") * MEMBER_BYTES
        + text.count(b",") * ELEMENT_BYTES
    )
