"""Updates of a datagram, deflated: most of a membership's bytes are the same few words again and again.

A message whose ``u`` (updates) are large carries them as ``z`` in their place: base64 of a raw deflate stream
(RFC 1951) of their JSON, with a preset dictionary. Only processes whose meta says ``packs`` are sent it.
"""

from __future__ import annotations

import zlib
from base64 import b64decode, b64encode
from typing import Any

import msgspec

LEAST = 160  # bytes of updates that are worth it
MOST = 64 * 1024  # bytes of updates that are read at all
LEVEL = 4  # of zlib; higher ones gain nothing on a datagram
RAW = -15  # window bits without a header
# What updates consist of, the most frequent last. Both sides must hold the same bytes: another dictionary
# needs another field.
DICTIONARY = (
    b'"leaves":true,"late":false,"late":true,"old":false,"ready":false,["g","core-","s","edge-","l","'
    b'["a","core-",0,"","10.1.0.",{"role":"core","zone":"","region":"","link":"10.1.0.","ready":true,'
    b'"packs":true}],["a","edge-",1,"","10.1.0.",{"role":"edge","zone":"","region":"","front":"10.1.0.:",'
    b'"link":"10.1.0.:","ready":true,"packs":true,"door":8201,"old":true}],'
)


def pack(message: dict[str, Any]) -> dict[str, Any]:
    """The same message with its updates deflated, if that is shorter."""
    updates = message.get("u")
    if not updates:
        return message
    plain = msgspec.json.encode(updates)
    if len(plain) < LEAST:
        return message
    deflater = zlib.compressobj(LEVEL, zlib.DEFLATED, RAW, zdict=DICTIONARY)
    packed = b64encode(deflater.compress(plain) + deflater.flush())
    if len(packed) >= len(plain):
        return message
    rest = {field: value for field, value in message.items() if field != "u"}
    return rest | {"z": packed.decode()}


def unpack(message: dict[str, Any]) -> dict[str, Any]:
    """What ``pack`` was given. Raises ValueError."""
    if "z" not in message:
        return message
    inflater = zlib.decompressobj(RAW, zdict=DICTIONARY)
    try:
        plain = inflater.decompress(b64decode(message["z"]), MOST)
        updates = msgspec.json.decode(plain)
    except (zlib.error, TypeError, msgspec.MsgspecError) as e:
        raise ValueError(f"updates can't be read: {e}") from None
    rest = {field: value for field, value in message.items() if field != "z"}
    return rest | {"u": updates}
