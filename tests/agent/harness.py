"""Starts real agents and processes on loopback for tests, and ends all of them afterwards."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager, redirect_stderr, redirect_stdout
from pathlib import Path
from typing import Any, TypeVar

from latchspoke.agent.client import Fleet, read_fleet
from latchspoke.console import fleet as command
from latchspoke.fleet import wire

T = TypeVar("T")
WAIT_TIMEOUT_S = 40.0
FAKE_GATEWAY = [sys.executable, "-S", str(Path(__file__).with_name("fake_gateway.py"))]
ROOT = Path(__file__).parents[2]
SHORT_LIMITS = 'limits: {drain: "1s", silent: "600ms", pause: "50ms", start: "5s"}'


# Below the kernel's ephemeral ports. Concurrent test processes share the range in blocks: the process that
# listens on the first port of a block owns the rest of it.
BLOCKS, BLOCK = range(20_000, 32_000, 100), 100


def free_ports() -> Iterator[int]:
    for block in BLOCKS:
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", block)):
            for port in range(block + 1, block + BLOCK):
                with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)) as probe:
                    probe.close()
                    yield port


PORTS = free_ports()


def free_port() -> int:
    return next(PORTS)


class Host:
    """One agent's folder, file and process."""

    def __init__(self, base: Path, name: str) -> None:
        self.base, self.name, self.folder = base, name, base / name
        self.folder.mkdir()
        self.file = base / f"{name}.cue"
        self.instances: dict[str, str] = {}
        self.ports: dict[str, int] = {}
        self.tls = self.members = ""
        self.process: subprocess.Popen[bytes] | None = None

    def fake_gateway(
        self, name: str, mode: str = "normal", limits: str = SHORT_LIMITS, zone: str = ""
    ) -> None:
        """Add an instance that runs a fake gateway; a new mode applies from its next start."""
        port = self.ports.setdefault(name, free_port())
        config = self.folder / f"{name}.json"
        config.touch()
        self.instances[name] = (
            f'{name}: {{config: {json.dumps(str(config))}, listen: "127.0.0.1:{port}", zone: "{zone}"\n'
            f'command: {json.dumps(FAKE_GATEWAY)}, environment: FAKE_GATEWAY_MODE: "{mode}"\n{limits}}}'
        )

    def write(self) -> None:
        inner = "\n".join(self.instances.values())
        self.file.write_text(
            f'name: "{self.name}"\nfolder: {json.dumps(str(self.folder))}\n'
            f'checks: interval: "100ms"\ninstances: {{\n{inner}\n}}\n{self.tls}\n{self.members}\n'
        )

    def start(self) -> None:
        self.write()
        log = open(self.base / f"{self.name}.log", "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            [sys.executable, "-m", "latchspoke", "agent", "--config", str(self.file)],
            cwd=ROOT, stdout=log, stderr=log,
        )  # fmt: skip
        log.close()
        wait_until(lambda: self.socket.exists() or self.process_ended(), "the agent listens")

    def process_ended(self) -> bool:
        if self.process is not None and self.process.poll() is not None:
            raise AssertionError((self.base / f"{self.name}.log").read_text())
        return False

    @property
    def socket(self) -> Path:
        return self.folder / "agent.sock"

    def kill(self) -> None:
        """Kill the agent without any cleanup."""
        assert self.process is not None
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.socket.unlink(missing_ok=True)

    def pid(self, name: str) -> int:
        return next(s.pid for s in self.listing().instances if s.name == name)

    def listing(self) -> wire.Listing:
        return ask(self, lambda fleet: fleet.clients[self.name].listing())

    def state(self, name: str) -> str:
        return next(s.state for s in self.listing().instances if s.name == name)

    def wait(self, name: str, *states: str) -> str:
        wait_until(
            lambda: self.state(name) in states, f"{name} is {' or '.join(states)}", lambda: self.state(name)
        )
        return self.state(name)

    def end(self) -> None:
        """Stop the agent, then kill all its gateway processes."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
            try:
                self.process.wait(5)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        for file in (self.folder / "run").glob("*/*/pid"):
            self.end_process(int(file.read_text()), f"{self.folder}:".encode())

    @staticmethod
    def end_process(pid: int, mark: bytes) -> None:
        with contextlib.suppress(OSError):
            if b"LATCHSPOKE_LAUNCH=" + mark in Path(f"/proc/{pid}/environ").read_bytes():
                os.kill(pid, signal.SIGKILL)


class FleetHarness:
    """Hosts with agents, and the fleet file."""

    def __init__(self, base: Path) -> None:
        self.base, self.file = base, base / "fleet.cue"
        self.hosts: dict[str, Host] = {}

    def host(self, name: str) -> Host:
        host = self.hosts[name] = Host(self.base, name)
        return host

    def start(self) -> FleetHarness:
        for host in self.hosts.values():
            host.start()
        self.write()
        return self

    def write(self, **sockets: Path) -> None:
        """Write the fleet file; ``sockets`` adds or replaces agents."""
        named = {name: host.socket for name, host in self.hosts.items()} | sockets
        lines = [f"agents: {name}: socket: {json.dumps(str(path))}" for name, path in named.items()]
        self.file.write_text("\n".join([*lines, 'limit: "1s"']) + "\n")

    def ready(self, *idents: str) -> FleetHarness:
        for ident in idents:
            host, _, name = ident.partition("/")
            self.hosts[host].wait(name, "ready")
        return self

    def tool(self, *arguments: str) -> tuple[int, Any]:
        """Run the fleet command with ``--json`` in this process; returns its exit code and output."""
        out, err = io.StringIO(), io.StringIO()
        with redirect_stdout(out), redirect_stderr(err):
            code = command.main([*arguments, "--fleet", str(self.file), "--json"])
        text = out.getvalue()
        return code, json.loads(text) if text.strip() else err.getvalue()

    def tool_process(self, *arguments: str) -> subprocess.Popen[str]:
        """Run the fleet command as a separate process."""
        return subprocess.Popen(
            [sys.executable, "-m", "latchspoke", "fleet", *arguments, "--fleet", str(self.file), "--json"],
            cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
        )  # fmt: skip

    def events(self, host: str, operation: str | None = None) -> list[wire.Event]:
        answer = ask(self.hosts[host], lambda fleet: fleet.clients[host].events())
        return [e for e in answer.events if operation in (None, e.operation)]

    def end(self) -> None:
        for host in self.hosts.values():
            host.end()


@contextmanager
def fleet_harness(base: Path) -> Iterator[FleetHarness]:
    harness = FleetHarness(base)
    try:
        yield harness
    finally:
        harness.end()


def ask(host: Host, question: Callable[[Fleet], Coroutine[Any, Any, T]]) -> T:
    """Send one request to one agent."""
    file = host.base / f"{host.name}-alone.cue"
    file.write_text(f'agents: {host.name}: socket: {json.dumps(str(host.socket))}\nlimit: "3s"\n')

    async def run() -> T:
        async with Fleet(read_fleet(str(file))) as fleet:
            return await question(fleet)

    return asyncio.run(run())


def wait_until(
    condition: Callable[[], Any], expectation: str, describe: Callable[[], Any] = lambda: ""
) -> None:
    """Wait until the condition holds; after a timeout, fail with the expectation."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting until {expectation}: {describe()}"
        time.sleep(0.02)


async def gather_all(*work: Awaitable[Any]) -> list[Any]:
    return list(await asyncio.gather(*work, return_exceptions=True))


def outcomes(report: Any) -> dict[str, str]:
    return {item["id"]: item["outcome"] for item in report["instances"]}


def details(report: Any) -> dict[str, str]:
    return {item["id"]: item["detail"] for item in report["instances"]}
