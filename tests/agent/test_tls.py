"""TLS between tool and agent: roles, refused certificates, and the recording of each refusal."""

from __future__ import annotations

import datetime
import json
import socket
import ssl
from pathlib import Path

import pytest

from latchspoke.keys.authority import DAY, CertificateAndKey, issue, make_authority
from latchspoke.keys.files import KeyFolder
from tests.agent.harness import FleetHarness, Host, free_port, wait_until

NOW = datetime.datetime.now(datetime.UTC).replace(microsecond=0)


class Keys:
    """A folder with valid and invalid certificates."""

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
        self, role: str, name: str, hosts: list[str] | None = None, lifetime_days: int = 30
    ) -> CertificateAndKey:
        return issue(self.authority, role, name, hosts or [], NOW, lifetime_days * DAY)

    def files(self, name: str) -> str:
        paths = (self.folder.certificate(name), self.folder.key(name), self.folder.certificate("authority"))
        return "certificate: {}, key: {}, authority: {}".format(*(json.dumps(str(p)) for p in paths))


def start_with_tls(fleet: FleetHarness) -> tuple[Host, Keys, int]:
    host, keys, port = fleet.host("h1"), Keys(fleet.base), free_port()
    host.fake_gateway("g1")
    host.tls = f'tls: {{listen: "127.0.0.1:{port}", {keys.files("agent")}}}'
    fleet.start().ready("h1/g1")
    return host, keys, port


def use_identity(fleet: FleetHarness, keys: Keys, port: int, name: str) -> FleetHarness:
    fleet.file.write_text(
        f'agents: h1: address: "127.0.0.1:{port}"\nidentity: {{{keys.files(name)}}}\nlimit: "2s"\n'
    )
    return fleet


def recorded_events(fleet: FleetHarness) -> list[tuple[str, str, str]]:
    return [(e.kind, e.operator, e.detail) for e in fleet.events("h1")]


def test_operator_may_act_and_viewer_may_only_read(fleet: FleetHarness) -> None:
    host, keys, port = start_with_tls(fleet)
    code, report = use_identity(fleet, keys, port, "operator").tool("restart", "g1")
    assert (code, report["state"]) == (0, "done")
    assert ("claimed", "ola", "token 1") in recorded_events(fleet)
    use_identity(fleet, keys, port, "viewer")
    assert fleet.tool("list")[0] == 0 and fleet.tool("compare")[0] == 0
    code, report = fleet.tool("drain", "g1")
    assert code == 1 and "jan is viewer and may not PUT" in report["detail"]
    assert host.state("g1") == "ready"
    assert any(kind == "forbidden" and who == "jan" for kind, who, _ in recorded_events(fleet))


@pytest.mark.parametrize(
    ("name", "message", "recorded"),
    [
        ("stranger", "refuses this certificate", "unable to get local issuer certificate"),
        ("expired", "refuses this certificate", "certificate has expired"),
    ],
)
def test_invalid_certificate_is_refused_and_recorded(
    fleet: FleetHarness, name: str, message: str, recorded: str
) -> None:
    _, keys, port = start_with_tls(fleet)
    code, listing = use_identity(fleet, keys, port, name).tool("list")
    assert code == 4 and any(message in line for line in listing["remarks"]), listing
    wait_until(
        lambda: any(k == "tls-refused" and recorded in d for k, _, d in recorded_events(fleet)),
        "the refusal is recorded", lambda: recorded_events(fleet),
    )  # fmt: skip


def test_agent_certificate_gives_no_operator_role(fleet: FleetHarness) -> None:
    _, keys, port = start_with_tls(fleet)
    code, listing = use_identity(fleet, keys, port, "agent").tool("list")
    assert code == 4 and any("h1 is without a role and may not" in line for line in listing["remarks"])


def test_tool_rejects_an_agent_of_another_authority(fleet: FleetHarness) -> None:
    _, keys, port = start_with_tls(fleet)
    other = make_authority("another", NOW, DAY * 9)
    keys.folder.write("authority", other)
    code, listing = use_identity(fleet, keys, port, "operator").tool("list")
    assert code == 4 and any("its certificate is not trusted" in line for line in listing["remarks"])


def test_plain_http_and_tls_1_2_are_refused(fleet: FleetHarness) -> None:
    _, _, port = start_with_tls(fleet)
    with socket.create_connection(("127.0.0.1", port), 5) as connection:
        connection.sendall(b"GET /v1/instances HTTP/1.1\r\nHost: x\r\nLatchspoke-Interface: 1\r\n\r\n")
        connection.settimeout(5)
        try:
            response = connection.recv(4096)
        except ConnectionResetError:
            response = b""
    assert b"HTTP" not in response
    tls_1_2 = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    tls_1_2.check_hostname, tls_1_2.verify_mode = False, ssl.CERT_NONE
    tls_1_2.maximum_version = ssl.TLSVersion.TLSv1_2
    with socket.create_connection(("127.0.0.1", port), 5) as connection, pytest.raises(OSError):
        tls_1_2.wrap_socket(connection)


def test_renewed_certificate_is_loaded_without_a_restart(fleet: FleetHarness) -> None:
    host, keys, port = start_with_tls(fleet)
    assert host.process is not None
    pid = host.process.pid
    keys.folder.write("agent", keys.issue("agent", "h1", ["127.0.0.1"], lifetime_days=5))
    use_identity(fleet, keys, port, "operator")

    def remarks() -> str:
        _, listing = fleet.tool("list")
        return " ".join(listing["remarks"])

    wait_until(
        lambda: "its certificate ends in" in remarks(),
        "the tool warns about the new certificate's end",
        remarks,
    )
    assert host.process.pid == pid and host.process.poll() is None
    assert any(kind == "certificate" for kind, _, _ in recorded_events(fleet))
