"""Certificates of one fleet, as values: an authority, and what it issues. No files in here.

The role stands in the certificate, as a URI among its alternative names:
``latchspoke://fleet/ROLE/NAME`` with ROLE one of agent, operator, viewer. Keys are ECDSA on P-256; the
form is X.509 v3 as in RFC 5280.
"""

from __future__ import annotations

import datetime
import ipaddress
import re
from collections.abc import Iterable
from dataclasses import dataclass

from cryptography import x509
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

ROLES = ("agent", "operator", "viewer")
URI = re.compile(r"latchspoke://fleet/(agent|operator|viewer)/([A-Za-z0-9][A-Za-z0-9._@-]{0,62})")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._@-]{0,62}")
EARLY = datetime.timedelta(minutes=5)  # for hosts whose clocks are behind
DAY = datetime.timedelta(days=1)


class KeysError(Exception):
    """A key or certificate can't be used; one line says which and why."""


@dataclass(frozen=True, slots=True)
class Pair:
    """A certificate with its key."""

    certificate: x509.Certificate
    key: ec.EllipticCurvePrivateKey

    def certificate_pem(self) -> bytes:
        return self.certificate.public_bytes(serialization.Encoding.PEM)

    def key_pem(self) -> bytes:
        return self.key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )


def named(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


def start(subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePublicKey, now: datetime.datetime,
          life: datetime.timedelta) -> x509.CertificateBuilder:  # fmt: skip
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - EARLY)
        .not_valid_after(now + life)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key), critical=False)
    )


def usage(*, sign: bool) -> x509.KeyUsage:
    """An authority signs certificates and nothing else; what it issues signs handshakes."""
    return x509.KeyUsage(
        digital_signature=not sign, key_cert_sign=sign, crl_sign=sign, content_commitment=False,
        key_encipherment=False, data_encipherment=False, key_agreement=False, encipher_only=False,
        decipher_only=False,
    )  # fmt: skip


def make_authority(name: str, now: datetime.datetime, life: datetime.timedelta) -> Pair:
    """A new authority, which may sign leaves only."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = named(name)
    builder = start(subject, subject, key.public_key(), now, life)
    builder = builder.add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
    builder = builder.add_extension(usage(sign=True), critical=True)
    return Pair(builder.sign(key, hashes.SHA256()), key)


def issue(
    authority: Pair,
    role: str,
    name: str,
    hosts: Iterable[str],
    now: datetime.datetime,
    life: datetime.timedelta,
) -> Pair:
    """A certificate for this role and name. Agents need the hosts at which they are reached."""
    if role not in ROLES:
        raise KeysError(f"no such role: {role}; there are {', '.join(ROLES)}")
    if not NAME.fullmatch(name):
        raise KeysError(f"not a name for a certificate: {name!r}")
    hosts = list(hosts)
    if role == "agent" and not hosts:
        raise KeysError(f"agent {name} needs a host at which it is reached")
    if now + life > authority.certificate.not_valid_after_utc:
        ends = authority.certificate.not_valid_after_utc
        raise KeysError(f"the authority itself ends on {ends:%Y-%m-%d}, before this certificate would")
    key = ec.generate_private_key(ec.SECP256R1())
    names: list[x509.GeneralName] = [x509.UniformResourceIdentifier(f"latchspoke://fleet/{role}/{name}")]
    names += [general_name(host) for host in hosts]
    # An agent is asked, and asks other members; what it may do as one that asks is decided by its role.
    purposes = [ExtendedKeyUsageOID.CLIENT_AUTH]
    if role == "agent":
        purposes.append(ExtendedKeyUsageOID.SERVER_AUTH)
    builder = start(named(name), authority.certificate.subject, key.public_key(), now, life)
    for extension, critical in (
        (x509.BasicConstraints(ca=False, path_length=None), True),
        (usage(sign=False), True),
        (x509.ExtendedKeyUsage(purposes), False),
        (x509.SubjectAlternativeName(names), False),
        (x509.AuthorityKeyIdentifier.from_issuer_public_key(authority.key.public_key()), False),
    ):
        builder = builder.add_extension(extension, critical=critical)
    return Pair(builder.sign(authority.key, hashes.SHA256()), key)


def general_name(host: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(host))
    except ValueError:
        return x509.DNSName(host)


@dataclass(frozen=True, slots=True)
class Described:
    """What a certificate says."""

    role: str
    name: str
    hosts: tuple[str, ...]
    begins: datetime.datetime
    ends: datetime.datetime
    fingerprint: str


def role_and_name(uris: Iterable[str]) -> tuple[str, str]:
    """From the URIs among the alternative names; two of ours are as good as none."""
    found = [match for uri in uris if (match := URI.fullmatch(uri))]
    return (found[0].group(1), found[0].group(2)) if len(found) == 1 else ("", "")


def describe(certificate: x509.Certificate) -> Described:
    try:
        names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        names = x509.SubjectAlternativeName([])
    role, name = role_and_name(names.get_values_for_type(x509.UniformResourceIdentifier))
    hosts = [*names.get_values_for_type(x509.DNSName)]
    hosts += [str(address) for address in names.get_values_for_type(x509.IPAddress)]
    common = certificate.subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    return Described(
        role or "authority" if is_authority(certificate) else role,
        name or (str(common[0].value) if common else "?"),
        tuple(hosts),
        certificate.not_valid_before_utc,
        certificate.not_valid_after_utc,
        certificate.fingerprint(hashes.SHA256()).hex(),
    )


def is_authority(certificate: x509.Certificate) -> bool:
    try:
        return certificate.extensions.get_extension_for_class(x509.BasicConstraints).value.ca
    except x509.ExtensionNotFound:
        return False


def issued_by(certificate: x509.Certificate, authority: x509.Certificate) -> bool:
    try:
        certificate.verify_directly_issued_by(authority)
    except (ValueError, TypeError, InvalidSignature):
        return False
    return True


def read_certificate(pem: bytes, name: str) -> x509.Certificate:
    try:
        return x509.load_pem_x509_certificate(pem)
    except ValueError:
        raise KeysError(f"{name} is no certificate in PEM") from None


def read_key(pem: bytes, name: str) -> ec.EllipticCurvePrivateKey:
    try:
        key = serialization.load_pem_private_key(pem, password=None)
    except (ValueError, TypeError):
        raise KeysError(f"{name} is no private key in PEM without a password") from None
    if not isinstance(key, ec.EllipticCurvePrivateKey):
        raise KeysError(f"{name} is a key of another kind than this program issues")
    return key
