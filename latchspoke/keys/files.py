"""Keys and certificates on disk: whole or not at all, and never a key that others can read."""

from __future__ import annotations

import contextlib
import os
import stat
import tempfile
from pathlib import Path

from latchspoke.keys.authority import KeysError, Pair, read_certificate, read_key

OTHERS = stat.S_IRWXG | stat.S_IRWXO


def read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as e:
        raise KeysError(f"can't read {path}: {e.strerror}") from None


def check_private(path: Path) -> None:
    """Raises KeysError for a key that anybody but its owner can read or write."""
    try:
        mode = path.stat().st_mode
    except OSError as e:
        raise KeysError(f"can't read {path}: {e.strerror}") from None
    if mode & OTHERS:
        raise KeysError(f"others can read {path}: its mode is {stat.S_IMODE(mode):o}, it must be 600")


def read_pair(certificate: Path, key: Path) -> Pair:
    """Both, and that they belong together."""
    check_private(key)
    pair = Pair(read_certificate(read(certificate), str(certificate)), read_key(read(key), str(key)))
    if pair.certificate.public_key() != pair.key.public_key():
        raise KeysError(f"{key} is not the key of {certificate}")
    return pair


def write(path: Path, data: bytes, mode: int) -> None:
    """A reader sees the old file or the new one; the new one's mode is right from its first byte."""
    handle, name = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(handle, "wb") as file:
            os.fchmod(file.fileno(), mode)
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.rename(name, path)
    except OSError as e:
        with contextlib.suppress(OSError):
            os.unlink(name)
        raise KeysError(f"can't write {path}: {e.strerror}") from None


class Folder:
    """A folder of keys: ``authority.crt`` and ``.key``, and ``NAME.crt`` and ``.key`` for each issued."""

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)

    def certificate(self, name: str) -> Path:
        return self.path / f"{name}.crt"

    def key(self, name: str) -> Path:
        return self.path / f"{name}.key"

    def make(self) -> None:
        try:
            self.path.mkdir(parents=True, exist_ok=True, mode=0o700)
        except OSError as e:
            raise KeysError(f"can't make {self.path}: {e.strerror}") from None

    def has(self, name: str) -> bool:
        return self.certificate(name).exists() or self.key(name).exists()

    def read(self, name: str) -> Pair:
        return read_pair(self.certificate(name), self.key(name))

    def write(self, name: str, pair: Pair) -> None:
        """The key first: a certificate whose key is not there yet could not be used."""
        write(self.key(name), pair.key_pem(), 0o600)
        write(self.certificate(name), pair.certificate_pem(), 0o644)

    def names(self) -> list[str]:
        return sorted(path.stem for path in self.path.glob("*.crt"))
