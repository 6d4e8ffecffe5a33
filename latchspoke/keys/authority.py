"""Creates a fleet's certificate authority and the certificates that it issues, without file access.

Role and name are a URI among the subject's alternative names, ``latchspoke://fleet/ROLE/NAME``, where ROLE is
agent, operator or viewer. Keys are ECDSA on P-256; certificates are X.509 v3 (RFC 5280).
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
CLOCK_SKEW_ALLOWANCE = datetime.timedelta(minutes=5)  # for hosts whose clocks are behind
DAY = datetime.timedelta(days=1)


class KeysError(Exception):
    """A key or certificate can't be used; the message is one line."""


@dataclass(frozen=True, slots=True)
class CertificateAndKey:
    """A certificate with its private key."""

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


def common_name(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


def new_builder(subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePublicKey, now: datetime.datetime,
          lifetime: datetime.timedelta) -> x509.CertificateBuilder:  # fmt: skip
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - CLOCK_SKEW_ALLOWANCE)
        .not_valid_after(now + lifetime)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key), critical=False)
    )


def key_usage(*, sign: bool) -> x509.KeyUsage:
    """Key usage: ``sign`` for an authority, which signs certificates only; else for TLS handshakes only."""
    return x509.KeyUsage(
        digital_signature=not sign, key_cert_sign=sign, crl_sign=sign, content_commitment=False,
        key_encipherment=False, data_encipherment=False, key_agreement=False, encipher_only=False,
        decipher_only=False,
    )  # fmt: skip


def make_authority(name: str, now: datetime.datetime, lifetime: datetime.timedelta) -> CertificateAndKey:
    """Create a self-signed authority that may issue end-entity certificates only."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = common_name(name)
    builder = new_builder(subject, subject, key.public_key(), now, lifetime)
    builder = builder.add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
    builder = builder.add_extension(key_usage(sign=True), critical=True)
    return CertificateAndKey(builder.sign(key, hashes.SHA256()), key)


def issue(
    authority: CertificateAndKey,
    role: str,
    name: str,
    hosts: Iterable[str],
    now: datetime.datetime,
    lifetime: datetime.timedelta,
) -> CertificateAndKey:
    """Issue a certificate for a role and a name. An agent's needs the hosts at which it is reached."""
    if role not in ROLES:
        raise KeysError(f"no such role: {role}; valid roles are {', '.join(ROLES)}")
    if not NAME.fullmatch(name):
        raise KeysError(f"not a valid name for a certificate: {name!r}")
    hosts = list(hosts)
    if role == "agent" and not hosts:
        raise KeysError(f"agent {name} needs a host under which it is reached")
    if now + lifetime > authority.certificate.not_valid_after_utc:
        authority_end = authority.certificate.not_valid_after_utc
        raise KeysError(f"the authority expires on {authority_end:%Y-%m-%d}, before this certificate would")
    key = ec.generate_private_key(ec.SECP256R1())
    names: list[x509.GeneralName] = [x509.UniformResourceIdentifier(f"latchspoke://fleet/{role}/{name}")]
    names += [general_name(host) for host in hosts]
    # An agent is both a server and a client of other members; as a client, its role limits what it may do.
    purposes = [ExtendedKeyUsageOID.CLIENT_AUTH]
    if role == "agent":
        purposes.append(ExtendedKeyUsageOID.SERVER_AUTH)
    builder = new_builder(common_name(name), authority.certificate.subject, key.public_key(), now, lifetime)
    for extension, critical in (
        (x509.BasicConstraints(ca=False, path_length=None), True),
        (key_usage(sign=False), True),
        (x509.ExtendedKeyUsage(purposes), False),
        (x509.SubjectAlternativeName(names), False),
        (x509.AuthorityKeyIdentifier.from_issuer_public_key(authority.key.public_key()), False),
    ):
        builder = builder.add_extension(extension, critical=critical)
    return CertificateAndKey(builder.sign(authority.key, hashes.SHA256()), key)


def general_name(host: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(host))
    except ValueError:
        return x509.DNSName(host)


@dataclass(frozen=True, slots=True)
class CertificateInfo:
    """The contents of a certificate."""

    role: str
    name: str
    hosts: tuple[str, ...]
    not_before: datetime.datetime
    not_after: datetime.datetime
    fingerprint: str


def role_and_name(uris: Iterable[str]) -> tuple[str, str]:
    """Role and name from the URIs among the alternative names; '' unless exactly one matches."""
    matches = [match for uri in uris if (match := URI.fullmatch(uri))]
    return (matches[0].group(1), matches[0].group(2)) if len(matches) == 1 else ("", "")


def describe(certificate: x509.Certificate) -> CertificateInfo:
    try:
        names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        names = x509.SubjectAlternativeName([])
    role, name = role_and_name(names.get_values_for_type(x509.UniformResourceIdentifier))
    hosts = [*names.get_values_for_type(x509.DNSName)]
    hosts += [str(address) for address in names.get_values_for_type(x509.IPAddress)]
    common_names = certificate.subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    return CertificateInfo(
        role or "authority" if is_authority(certificate) else role,
        name or (str(common_names[0].value) if common_names else "?"),
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
        raise KeysError(f"{name} is not a PEM certificate") from None


def read_key(pem: bytes, name: str) -> ec.EllipticCurvePrivateKey:
    try:
        key = serialization.load_pem_private_key(pem, password=None)
    except (ValueError, TypeError):
        raise KeysError(f"{name} is not an unencrypted PEM private key") from None
    if not isinstance(key, ec.EllipticCurvePrivateKey):
        raise KeysError(f"{name} is not an elliptic-curve key")
    return key
