"""Mutual TLS 1.3, with certificates that can be renewed while in use."""

from __future__ import annotations

import ssl
from pathlib import Path

from latchspoke.keys import files
from latchspoke.keys.authority import CertificateInfo, KeysError, describe, role_and_name


class Identity:
    """A TLS context with a certificate, its key and the trusted authority, reloaded when the files change.

    A renewed certificate is loaded into the same context: new connections use it, existing ones stay open.
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
        self.certificate_info: CertificateInfo
        self.file_stamp: tuple[float, ...] = ()
        self.load()

    def read_file_stamp(self) -> tuple[float, ...]:
        try:
            return tuple(
                s for p in (self.certificate, self.key) for s in (p.stat().st_mtime, p.stat().st_ino)
            )
        except OSError:
            return self.file_stamp

    def load(self) -> None:
        """Load both files after checking that they match: a half-finished renewal changes nothing."""
        file_stamp = self.read_file_stamp()
        pair = files.read_pair(self.certificate, self.key)
        try:
            self.context.load_cert_chain(self.certificate, self.key)
        except (OSError, ssl.SSLError) as e:
            raise KeysError(f"can't use {self.certificate}: {e}") from None
        self.certificate_info, self.file_stamp = describe(pair.certificate), file_stamp

    def reload_if_changed(self) -> bool:
        """Reload changed files; returns whether they had changed. Raises KeysError if they can't be used."""
        if self.read_file_stamp() == self.file_stamp:
            return False
        self.load()
        return True


def peer_role_and_name(certificate: dict[str, object] | None) -> tuple[str, str]:
    """Role and name of a verified peer from ``SSLSocket.getpeercert()``; '' where unknown."""
    names = certificate.get("subjectAltName", ()) if certificate else ()
    pairs = names if isinstance(names, tuple) else ()
    return role_and_name(str(value) for kind, value in pairs if kind == "URI")
