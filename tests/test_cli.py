"""Command line and configuration: errors are reported in one line, with exit code 2."""

from __future__ import annotations

import contextlib
import io
import json
import os
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from latchspoke import __version__, config
from latchspoke.cli import main
from tests.player import configuration


class CommandLine(unittest.TestCase):
    def run_main(self, *argv: str, **env: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        with (
            mock.patch.dict(os.environ, env, clear=True),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            code = main(list(argv))
        return code, out.getvalue(), err.getvalue()

    def with_file(self, text: str) -> tuple[int, str, str]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(text)
            return self.run_main("check-config", GW_CONFIG=str(path))

    def test_version(self) -> None:
        self.assertEqual(self.run_main("version"), (0, f"{__version__}\n", ""))

    def test_wrong_usage(self) -> None:
        code, out, err = self.run_main("sing")
        self.assertEqual((code, out), (2, ""))
        self.assertIn("Usage:", err)

    def test_example_is_valid(self) -> None:
        code, out, err = self.run_main("check-config", "--config", "examples/config.json")
        self.assertEqual((code, err), (0, ""))
        self.assertIn("127.0.0.1:7070", out)

    def test_configuration_errors_are_one_line(self) -> None:
        valid = configuration({})
        cases: list[tuple[str, Any]] = [
            ("not JSON", "{"),
            ("'settings'", {k: v for k, v in valid.items() if k != "settings"}),
            ("not an address", valid | {"listen": "nowhere"}),
            ("'resting'", valid | {"known": {"generation": 1, "instances": [
                {"instanceId": "s", "hostPort": "127.0.0.1:1", "lifecycle": "resting"}]}}),
            ("stands twice", valid | {"settings": valid["settings"] | {
                "Tariffs": valid["settings"]["Tariffs"] * 2}}),
            ("", []),
        ]  # fmt: skip
        for expected, data in cases:
            code, out, err = self.with_file(data if isinstance(data, str) else json.dumps(data))
            self.assertEqual((code, out, err.count("\n")), (2, "", 1), err)
            self.assertIn(expected, err)

    def test_missing_file(self) -> None:
        for env in ({}, {"GW_CONFIG": "/no/such/file"}):
            code, _, err = self.run_main("serve", **env)
            self.assertEqual((code, err.count("\n")), (2, 1))

    def test_environment_takes_precedence(self) -> None:
        env = {"GW_NAME": "n9", "GW_LISTEN": "127.0.0.7:7"}
        parsed = config.parse_config(configuration({}), env)
        self.assertEqual((parsed.name, parsed.listen), ("n9", ("127.0.0.7", 7)))
