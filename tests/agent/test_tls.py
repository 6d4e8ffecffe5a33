"""Tool and agent over TLS: who is let in, who is not, and that each refusal is on record."""

from __future__ import annotations

import datetime
import json
import socket
import ssl
from pathlib import Path

import pytest

from latchspoke.keys.authority import DAY, CertificateAndKey, issue, make_authority
from latchspoke.keys.files import KeyFolder
from tests.agent.world import Host, World, free_port, until

NOW = datetime.datetime.now(datetime.UTC).replace(microsecond=0)


class Keys:
    """A folder of keys, some of them bad in a stated way."""

    def __init__(self, base: Path) -> None:
        self.folder = KeyFolder(base / "keys")
        self.folder.create()
        self.authority = make_authority("fleet", NOW - 30 * DAY, 100 * DAY)
        other = make_authority("another fleet", NOW - 30 * DAY, 100 * DAY)
        self.folder.write("authority", self.authority)
        self.folder.write("agent", self.issue("agent", "h1", ["127.0.0.1"]))
        self.folder.write("operator", self.issue("operator", "ola"))
        self.folder.write("viewer", self.issue("viewer", "jan"))
        self.folder.write("stranger", issue(other, "operator", "ola", [], NOW, DAY))
        self.folder.write("expired", issue(self.authority, "operator", "ola", [], NOW - 9 * DAY, DAY))

    def issue(
        self, role: str, name: str, hosts: list[str] | None = None, life: int = 30
    ) -> CertificateAndKey:
        return issue(self.authority, role, name, hosts or [], NOW, life * DAY)

    def files(self, name: str) -> str:
        paths = (self.folder.certificate(name), self.folder.key(name), self.folder.certificate("authority"))
        return "certificate: {}, key: {}, authority: {}".format(*(json.dumps(str(p)) for p in paths))


def secured(fleet: World) -> tuple[Host, Keys, int]:
    host, keys, port = fleet.host("h1"), Keys(fleet.base), free_port()
    host.puppet("g1")
    host.tls = f'tls: {{listen: "127.0.0.1:{port}", {keys.files("agent")}}}'
    fleet.start().ready("h1/g1")
    return host, keys, port


def as_user(fleet: World, keys: Keys, port: int, name: str) -> World:
    fleet.file.write_text(
        f'agents: h1: address: "127.0.0.1:{port}"\nidentity: {{{keys.files(name)}}}\nlimit: "2s"\n'
    )
    return fleet


def kinds(fleet: World) -> list[tuple[str, str, str]]:
    return [(e.kind, e.operator, e.detail) for e in fleet.events("h1")]


def test_an_operator_acts_and_a_viewer_looks(fleet: World) -> None:
    host, keys, port = secured(fleet)
    code, report = as_user(fleet, keys, port, "operator").tool("restart", "g1")
    assert (code, report["state"]) == (0, "done")
    assert ("claimed", "ola", "token 1") in kinds(fleet)
    as_user(fleet, keys, port, "viewer")
    assert fleet.tool("list")[0] == 0 and fleet.tool("compare")[0] == 0
    code, report = fleet.tool("drain", "g1")
    assert code == 1 and "jan is viewer and may not PUT" in report["detail"]
    assert host.state("g1") == "ready"
    assert any(kind == "forbidden" and who == "jan" for kind, who, _ in kinds(fleet))


@pytest.mark.parametrize(
    ("name", "told", "recorded"),
    [
        ("stranger", "refuses this certificate", "unable to get local issuer certificate"),
        ("expired", "refuses this certificate", "certificate has expired"),
    ],
)
def test_a_certificate_that_is_not_good_is_refused_and_recorded(
    fleet: World, name: str, told: str, recorded: str
) -> None:
    _, keys, port = secured(fleet)
    code, listing = as_user(fleet, keys, port, name).tool("list")
    assert code == 4 and any(told in line for line in listing["remarks"]), listing
    until(
        lambda: any(k == "tls-refused" and recorded in d for k, _, d in kinds(fleet)),
        "the refusal is on record", lambda: kinds(fleet),
    )  # fmt: skip


def test_an_agent_is_no_operator(fleet: World) -> None:
    _, keys, port = secured(fleet)
    code, listing = as_user(fleet, keys, port, "agent").tool("list")
    assert code == 4 and any("h1 is without a role and may not" in line for line in listing["remarks"])


def test_an_agent_of_another_authority_is_not_believed(fleet: World) -> None:
    _, keys, port = secured(fleet)
    other = make_authority("another", NOW, DAY * 9)
    keys.folder.write("authority", other)
    code, listing = as_user(fleet, keys, port, "operator").tool("list")
    assert code == 4 and any("its certificate is not trusted" in line for line in listing["remarks"])


def test_plain_http_and_old_tls_get_nowhere(fleet: World) -> None:
    _, _, port = secured(fleet)
    with socket.create_connection(("127.0.0.1", port), 5) as link:
        link.sendall(b"GET /v1/instances HTTP/1.1\r\nHost: x\r\nLatchspoke-Interface: 1\r\n\r\n")
        link.settimeout(5)
        try:
            said = link.recv(4096)
        except ConnectionResetError:
            said = b""
    assert b"HTTP" not in said
    old = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    old.check_hostname, old.verify_mode = False, ssl.CERT_NONE
    old.maximum_version = ssl.TLSVersion.TLSv1_2
    with socket.create_connection(("127.0.0.1", port), 5) as link, pytest.raises(OSError):
        old.wrap_socket(link)


def test_a_renewed_certificate_is_taken_up_without_a_restart(fleet: World) -> None:
    host, keys, port = secured(fleet)
    assert host.process is not None
    pid = host.process.pid
    keys.folder.write("agent", keys.issue("agent", "h1", ["127.0.0.1"], life=5))
    as_user(fleet, keys, port, "operator")

    def told() -> str:
        _, listing = fleet.tool("list")
        return " ".join(listing["remarks"])

    until(lambda: "its certificate ends in" in told(), "the new one shows that it ends soon", told)
    assert host.process.pid == pid and host.process.poll() is None
    assert any(kind == "certificate" for kind, _, _ in kinds(fleet))
