"""Issuing certificates, refusing unusable ones, and renewals that are only half written."""

from __future__ import annotations

import datetime
import json
import os
import stat
from pathlib import Path

import pytest

from latchspoke.console import keys as command
from latchspoke.keys import files
from latchspoke.keys.authority import (
    DAY,
    KeysError,
    describe,
    issue,
    issued_by,
    make_authority,
    role_and_name,
)
from latchspoke.keys.files import KeyFolder, read_pair
from latchspoke.keys.tls import Identity

NOW = datetime.datetime(2030, 1, 1, tzinfo=datetime.UTC)


def test_issued_certificate_holds_role_name_and_hosts() -> None:
    authority = make_authority("a", NOW, 100 * DAY)
    issued = issue(authority, "agent", "h1", ["h1.example.org", "127.0.0.1"], NOW, 10 * DAY)
    info = describe(issued.certificate)
    assert (info.role, info.name, info.hosts) == ("agent", "h1", ("h1.example.org", "127.0.0.1"))
    assert info.not_after == NOW + 10 * DAY and info.not_before < NOW
    assert describe(authority.certificate).role == "authority"
    assert issued_by(issued.certificate, authority.certificate)
    assert not issued_by(issued.certificate, make_authority("a", NOW, 100 * DAY).certificate)


@pytest.mark.parametrize(
    ("role", "name", "hosts", "days", "message"),
    [
        ("king", "x", [], 1, "no such role"),
        ("operator", "a/b", [], 1, "not a valid name"),
        ("agent", "h1", [], 1, "needs a host"),
        ("operator", "x", [], 101, "the authority expires"),
    ],
)
def test_invalid_certificate_requests_are_refused(
    role: str, name: str, hosts: list[str], days: int, message: str
) -> None:
    authority = make_authority("a", NOW, 100 * DAY)
    with pytest.raises(KeysError, match=message):
        issue(authority, role, name, hosts, NOW, days * DAY)


def test_certificate_with_two_roles_has_none() -> None:
    viewer, operator = "latchspoke://fleet/viewer/x", "latchspoke://fleet/operator/x"
    assert role_and_name([viewer, "https://example.org"]) == ("viewer", "x")
    assert role_and_name([viewer, operator]) == ("", "")
    assert role_and_name(["latchspoke://fleet/operator/x/y"]) == ("", "")


def run(*arguments: str) -> int:
    return command.main(list(arguments))


def test_keys_command(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder = str(tmp_path / "keys")
    assert run("init", folder) == 0
    assert run("issue", folder, "agent", "h1", "--host", "127.0.0.1") == 0
    assert run("issue", folder, "operator", "ola", "--days", "7") == 0
    for name in ("authority", "h1", "ola"):
        assert stat.S_IMODE(os.stat(f"{folder}/{name}.key").st_mode) == 0o600
    capsys.readouterr()
    assert run("show", folder, "--json") == 0
    listed = json.loads(capsys.readouterr().out)
    assert {name: item["role"] for name, item in listed.items()} == {
        "authority": "authority", "h1": "agent", "ola": "operator"
    }  # fmt: skip
    assert run("show", folder) == 0
    assert "ends soon" in capsys.readouterr().out

    before = listed["h1"]["fingerprint"]
    assert run("renew", folder, "h1") == 0
    capsys.readouterr()
    assert run("show", folder, "--json") == 0
    after = json.loads(capsys.readouterr().out)["h1"]
    assert after["fingerprint"] != before and after["hosts"] == ["127.0.0.1"]
    # Refused: replacing the authority, and a second certificate of one name.
    for arguments in (("init", folder), ("issue", folder, "viewer", "ola"), ("renew", folder, "authority")):
        assert run(*arguments) == 1
    assert run("renew", folder, "nobody") == 1
    assert run("issue", folder, "operator", "x", "--days", "0") == 1
    assert capsys.readouterr().err.count("\n") == 5


@pytest.mark.parametrize("verb", ["issue", "renew"])
def test_a_write_that_was_cut_short_can_be_run_again(
    verb: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a key without its certificate that no command replaces."""
    folder = str(tmp_path / "keys")
    arguments = (folder, "agent", "h1", "--host", "127.0.0.1") if verb == "issue" else (folder, "h1")
    assert run("init", folder) == 0
    if verb == "renew":
        assert run("issue", folder, "agent", "h1", "--host", "127.0.0.1") == 0
    write = files.write_atomically

    def write_keys_alone(path: Path, data: bytes, mode: int) -> None:
        if path.suffix != ".key":
            raise KeyboardInterrupt
        write(path, data, mode)

    with monkeypatch.context() as patched, pytest.raises(KeyboardInterrupt):
        patched.setattr(files, "write_atomically", write_keys_alone)
        run(verb, *arguments)
    assert run(verb, *arguments) == 0
    assert KeyFolder(folder).read("h1")


def test_key_readable_by_others_is_refused(tmp_path: Path) -> None:
    folder = KeyFolder(tmp_path)
    folder.write("a", make_authority("a", NOW, DAY))
    for mode in (0o640, 0o604, 0o620):
        os.chmod(folder.key("a"), mode)
        with pytest.raises(KeysError, match="others can access"):
            folder.read("a")


def test_key_of_another_certificate_is_refused(tmp_path: Path) -> None:
    folder = KeyFolder(tmp_path)
    for name in ("a", "b"):
        folder.write(name, make_authority(name, NOW, DAY))
    with pytest.raises(KeysError, match="is not the key of"):
        read_pair(folder.certificate("a"), folder.key("b"))
    folder.key("a").write_text("nothing")
    with pytest.raises(KeysError, match="not an unencrypted PEM private key"):
        folder.read("a")


def test_half_written_renewal_changes_nothing(tmp_path: Path) -> None:
    folder = KeyFolder(tmp_path)
    authority = make_authority("a", NOW, 100 * DAY)
    folder.write("authority", authority)
    folder.write("h1", issue(authority, "agent", "h1", ["h"], NOW, DAY))
    paths = [str(p) for p in (folder.certificate("h1"), folder.key("h1"), folder.certificate("authority"))]
    identity = Identity(*paths, server=True)
    assert not identity.reload_if_changed()
    new = issue(authority, "agent", "h1", ["h"], NOW, 2 * DAY)
    folder.key("h1").write_bytes(new.key_pem())  # the certificate has not come yet
    with pytest.raises(KeysError, match="is not the key of"):
        identity.reload_if_changed()
    assert identity.certificate_info.not_after == NOW + DAY
    folder.write("h1", new)
    assert identity.reload_if_changed() and identity.certificate_info.not_after == NOW + 2 * DAY
