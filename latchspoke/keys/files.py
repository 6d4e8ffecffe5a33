"""Keys and certificates on disk, written atomically; private keys are readable only by their owner."""

from __future__ import annotations

import contextlib
import os
import stat
import tempfile
from pathlib import Path

from cryptography import x509

from latchspoke.keys.authority import CertificateAndKey, KeysError, read_certificate, read_key

GROUP_AND_OTHERS = stat.S_IRWXG | stat.S_IRWXO


def read_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as e:
        raise KeysError(f"can't read {path}: {e.strerror}") from None


def check_private(path: Path) -> None:
    """Raises KeysError for a key that group or others can access."""
    try:
        mode = path.stat().st_mode
    except OSError as e:
        raise KeysError(f"can't read {path}: {e.strerror}") from None
    if mode & GROUP_AND_OTHERS:
        raise KeysError(f"others can access {path}: its mode is {stat.S_IMODE(mode):o}, it must be 600")


def read_pair(certificate: Path, key: Path) -> CertificateAndKey:
    """Read a certificate and its key, and check that they match. Raises KeysError."""
    check_private(key)
    pair = CertificateAndKey(
        read_certificate(read_file(certificate), str(certificate)), read_key(read_file(key), str(key))
    )
    if pair.certificate.public_key() != pair.key.public_key():
        raise KeysError(f"{key} is not the key of {certificate}")
    return pair


def write_atomically(path: Path, data: bytes, mode: int) -> None:
    """Replace a file atomically; the new file has its mode before any data is written."""
    descriptor, name = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(descriptor, "wb") as file:
            os.fchmod(file.fileno(), mode)
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.rename(name, path)
    except OSError as e:
        with contextlib.suppress(OSError):
            os.unlink(name)
        raise KeysError(f"can't write {path}: {e.strerror}") from None


class KeyFolder:
    """A folder with ``authority.crt`` and ``.key``, and ``NAME.crt`` and ``.key`` for each certificate."""

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)

    def certificate(self, name: str) -> Path:
        return self.path / f"{name}.crt"

    def key(self, name: str) -> Path:
        return self.path / f"{name}.key"

    def create(self) -> None:
        try:
            self.path.mkdir(parents=True, exist_ok=True, mode=0o700)
        except OSError as e:
            raise KeysError(f"can't create {self.path}: {e.strerror}") from None

    def has(self, name: str) -> bool:
        """Whether there is a certificate or a key."""
        return self.has_certificate(name) or self.key(name).exists()

    def has_certificate(self, name: str) -> bool:
        """Whether there is a certificate; a key alone is what a write that was cut short has left."""
        return self.certificate(name).exists()

    def read(self, name: str) -> CertificateAndKey:
        return read_pair(self.certificate(name), self.key(name))

    def read_certificate(self, name: str) -> x509.Certificate:
        """The certificate, whether or not its key is there. Raises KeysError."""
        path = self.certificate(name)
        return read_certificate(read_file(path), str(path))

    def write(self, name: str, pair: CertificateAndKey) -> None:
        """Write the key before the certificate, which can't be used without it."""
        write_atomically(self.key(name), pair.key_pem(), 0o600)
        write_atomically(self.certificate(name), pair.certificate_pem(), 0o644)

    def names(self) -> list[str]:
        return sorted(path.stem for path in self.path.glob("*.crt"))
