"""TLS 1.3 with certificates on both sides, and certificates renewed while it is in use."""

from __future__ import annotations

import ssl
from pathlib import Path

from latchspoke.keys import files
from latchspoke.keys.authority import Described, KeysError, describe, role_and_name


class Identity:
    """A certificate, its key and the authority it trusts, as one TLS context that follows its files.

    A renewed certificate is loaded into the same context: new connections use it, those that stand go on.
    """

    def __init__(self, certificate: str, key: str, authority: str, *, server: bool) -> None:
        self.certificate, self.key, self.authority = Path(certificate), Path(key), Path(authority)
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_3
        self.context.verify_mode = ssl.CERT_REQUIRED
        self.context.check_hostname = not server
        try:
            self.context.load_verify_locations(self.authority)
        except (OSError, ssl.SSLError) as e:
            raise KeysError(f"can't use the authority {self.authority}: {e}") from None
        self.described: Described
        self.stamp: tuple[float, ...] = ()
        self.load()

    def now_on_disk(self) -> tuple[float, ...]:
        try:
            return tuple(
                s for p in (self.certificate, self.key) for s in (p.stat().st_mtime, p.stat().st_ino)
            )
        except OSError:
            return self.stamp

    def load(self) -> None:
        """Both files are read and matched before the context is touched: half a renewal changes nothing."""
        stamp = self.now_on_disk()
        pair = files.read_pair(self.certificate, self.key)
        try:
            self.context.load_cert_chain(self.certificate, self.key)
        except (OSError, ssl.SSLError) as e:
            raise KeysError(f"can't use {self.certificate}: {e}") from None
        self.described, self.stamp = describe(pair.certificate), stamp

    def renewed(self) -> bool:
        """Take up files that have changed; whether they had. Raises KeysError if they can't be used."""
        if self.now_on_disk() == self.stamp:
            return False
        self.load()
        return True


def peer(certificate: dict[str, object] | None) -> tuple[str, str]:
    """Role and name of a verified peer, from what ``SSLSocket.getpeercert`` gives; '' where none is known."""
    names = certificate.get("subjectAltName", ()) if certificate else ()
    pairs = names if isinstance(names, tuple) else ()
    return role_and_name(str(value) for kind, value in pairs if kind == "URI")
