"""Certificates and their files: what is issued, what is refused, and half-done renewals."""

from __future__ import annotations

import datetime
import json
import os
import stat
from pathlib import Path

import pytest

from latchspoke.console import keys as command
from latchspoke.keys.authority import (
    DAY,
    KeysError,
    describe,
    issue,
    issued_by,
    make_authority,
    role_and_name,
)
from latchspoke.keys.files import Folder, read_pair
from latchspoke.keys.tls import Identity

NOW = datetime.datetime(2030, 1, 1, tzinfo=datetime.UTC)


def test_what_is_issued_says_role_name_and_hosts() -> None:
    authority = make_authority("a", NOW, 100 * DAY)
    made = issue(authority, "agent", "h1", ["h1.example.org", "127.0.0.1"], NOW, 10 * DAY)
    told = describe(made.certificate)
    assert (told.role, told.name, told.hosts) == ("agent", "h1", ("h1.example.org", "127.0.0.1"))
    assert told.ends == NOW + 10 * DAY and told.begins < NOW
    assert describe(authority.certificate).role == "authority"
    assert issued_by(made.certificate, authority.certificate)
    assert not issued_by(made.certificate, make_authority("a", NOW, 100 * DAY).certificate)


@pytest.mark.parametrize(
    ("role", "name", "hosts", "days", "said"),
    [
        ("king", "x", [], 1, "no such role"),
        ("operator", "a/b", [], 1, "not a name"),
        ("agent", "h1", [], 1, "needs a host"),
        ("operator", "x", [], 101, "the authority itself ends"),
    ],
)
def test_what_is_not_issued(role: str, name: str, hosts: list[str], days: int, said: str) -> None:
    authority = make_authority("a", NOW, 100 * DAY)
    with pytest.raises(KeysError, match=said):
        issue(authority, role, name, hosts, NOW, days * DAY)


def test_two_roles_in_one_certificate_are_none() -> None:
    one, other = "latchspoke://fleet/viewer/x", "latchspoke://fleet/operator/x"
    assert role_and_name([one, "https://example.org"]) == ("viewer", "x")
    assert role_and_name([one, other]) == ("", "")
    assert role_and_name(["latchspoke://fleet/operator/x/y"]) == ("", "")


def run(*words: str) -> int:
    return command.main(list(words))


def test_the_command(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder = str(tmp_path / "keys")
    assert run("init", folder) == 0
    assert run("issue", folder, "agent", "h1", "--host", "127.0.0.1") == 0
    assert run("issue", folder, "operator", "ola", "--days", "7") == 0
    for name in ("authority", "h1", "ola"):
        assert stat.S_IMODE(os.stat(f"{folder}/{name}.key").st_mode) == 0o600
    capsys.readouterr()
    assert run("show", folder, "--json") == 0
    told = json.loads(capsys.readouterr().out)
    assert {name: item["role"] for name, item in told.items()} == {
        "authority": "authority", "h1": "agent", "ola": "operator"
    }  # fmt: skip
    assert run("show", folder) == 0
    assert "ends soon" in capsys.readouterr().out

    before = told["h1"]["fingerprint"]
    assert run("renew", folder, "h1") == 0
    capsys.readouterr()
    assert run("show", folder, "--json") == 0
    after = json.loads(capsys.readouterr().out)["h1"]
    assert after["fingerprint"] != before and after["hosts"] == ["127.0.0.1"]
    # What would make all that was issued worthless, or two of one name, is refused.
    for words in (("init", folder), ("issue", folder, "viewer", "ola"), ("renew", folder, "authority")):
        assert run(*words) == 1
    assert run("renew", folder, "nobody") == 1
    assert run("issue", folder, "operator", "x", "--days", "0") == 1
    assert capsys.readouterr().err.count("\n") == 5


def test_a_key_that_others_can_read_is_refused(tmp_path: Path) -> None:
    folder = Folder(tmp_path)
    folder.write("a", make_authority("a", NOW, DAY))
    for mode in (0o640, 0o604, 0o620):
        os.chmod(folder.key("a"), mode)
        with pytest.raises(KeysError, match="others can read"):
            folder.read("a")


def test_a_key_of_another_certificate_is_refused(tmp_path: Path) -> None:
    folder = Folder(tmp_path)
    for name in ("a", "b"):
        folder.write(name, make_authority(name, NOW, DAY))
    with pytest.raises(KeysError, match="is not the key of"):
        read_pair(folder.certificate("a"), folder.key("b"))
    folder.key("a").write_text("nothing")
    with pytest.raises(KeysError, match="no private key"):
        folder.read("a")


def test_half_a_renewal_changes_nothing(tmp_path: Path) -> None:
    folder = Folder(tmp_path)
    authority = make_authority("a", NOW, 100 * DAY)
    folder.write("authority", authority)
    folder.write("h1", issue(authority, "agent", "h1", ["h"], NOW, DAY))
    paths = [str(p) for p in (folder.certificate("h1"), folder.key("h1"), folder.certificate("authority"))]
    identity = Identity(*paths, server=True)
    assert not identity.renewed()
    new = issue(authority, "agent", "h1", ["h"], NOW, 2 * DAY)
    folder.key("h1").write_bytes(new.key_pem())  # the certificate has not come yet
    with pytest.raises(KeysError, match="is not the key of"):
        identity.renewed()
    assert identity.described.ends == NOW + DAY
    folder.write("h1", new)
    assert identity.renewed() and identity.described.ends == NOW + 2 * DAY
