"""Compresses the updates of a membership message.

Large updates (field ``u``) are sent in field ``z`` instead: their JSON as a raw deflate stream (RFC 1951)
with a preset dictionary, base64-encoded. Only members whose metadata has ``packs`` set are sent this form.
"""

from __future__ import annotations

import zlib
from base64 import b64decode, b64encode
from typing import Any

import msgspec

MIN_UPDATES_BYTES = 160  # smaller updates are sent uncompressed
MAX_UPDATES_BYTES = 64 * 1024  # limit on the decompressed size
COMPRESSION_LEVEL = 4
RAW_DEFLATE_WINDOW_BITS = -15  # negative: no zlib header
# Strings common in updates, the most frequent last. Both sides must use the same bytes: a changed dictionary
# needs a new message field.
PRESET_DICTIONARY = (
    b'"leaves":true,"late":false,"late":true,"old":false,"ready":false,["g","core-","s","edge-","l","'
    b'["a","core-",0,"","10.1.0.",{"role":"core","zone":"","region":"","link":"10.1.0.","ready":true,'
    b'"packs":true}],["a","edge-",1,"","10.1.0.",{"role":"edge","zone":"","region":"","front":"10.1.0.:",'
    b'"link":"10.1.0.:","ready":true,"packs":true,"door":8201,"old":true}],'
)


def compress_updates(message: dict[str, Any]) -> dict[str, Any]:
    """Returns the message with its updates compressed, or unchanged if that would not make it shorter."""
    updates = message.get("u")
    if not updates:
        return message
    plain = msgspec.json.encode(updates)
    if len(plain) < MIN_UPDATES_BYTES:
        return message
    compressor = zlib.compressobj(
        COMPRESSION_LEVEL, zlib.DEFLATED, RAW_DEFLATE_WINDOW_BITS, zdict=PRESET_DICTIONARY
    )
    compressed = b64encode(compressor.compress(plain) + compressor.flush())
    if len(compressed) >= len(plain):
        return message
    other_fields = {field: value for field, value in message.items() if field != "u"}
    return other_fields | {"z": compressed.decode()}


def decompress_updates(message: dict[str, Any]) -> dict[str, Any]:
    """Reverses ``compress_updates``. Raises ValueError if the updates can't be decompressed or decoded."""
    if "z" not in message:
        return message
    decompressor = zlib.decompressobj(RAW_DEFLATE_WINDOW_BITS, zdict=PRESET_DICTIONARY)
    try:
        plain = decompressor.decompress(b64decode(message["z"]), MAX_UPDATES_BYTES)
        updates = msgspec.json.decode(plain)
    except (zlib.error, TypeError, msgspec.MsgspecError) as error:
        raise ValueError(f"compressed updates can't be read: {error}") from None
    other_fields = {field: value for field, value in message.items() if field != "z"}
    return other_fields | {"u": updates}
