"""A system of two zones on loopback: what ``make run`` starts.

Three control machines, four gateways, servers and clients in both zones, and an operator who uses the
command line as you would. Each machine has a loopback address of its own, so that all have the same ports, as
in a real deployment. It goes on until Ctrl-C; with ``--once`` the operator's round is done once and it ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parents[2])]

from stand_ins import Client, Server, summed  # noqa: E402

ROOT = Path(__file__).parents[2]
HERE = Path(__file__).parent
ZONES = {"left-bank": "west", "right-bank": "east"}
CONTROL, READINESS, FRONT, LOCATOR, SERVER = 8200, 8201, 8206, 8209, 8080
UP_WITHIN = 20.0  # s
BOUNDS = [
    "contactS=4", "ackS=6", "drainS=3", "graceS=2", "configApplyS=3", "revocationEnforced=true", "revokeS=5",
    "retryRatio=0.2", "retryWindowS=10", "retrySlack=60", "quotaWindowS=5", "coldExcess=1.5", "coldSlack=5",
    "evacuationS=5", "ttl_max_s=5",
]  # fmt: skip


@dataclass
class Machine:
    """A process of the system with its own address."""

    name: str
    program: str
    zone: str
    ip: str
    process: asyncio.subprocess.Process | None = None


class System:
    """All machines, and the stand-ins around them."""

    def __init__(self, folder: Path, net: int) -> None:
        """``net``: the second part of all loopback addresses, so that two runs don't meet."""
        self.folder, self.net = folder, net
        zones = list(ZONES)
        places = [zones[0], zones[1], zones[0]]
        self.core = [self.machine("controlplane", zone, 1, n) for n, zone in enumerate(places, 1)]
        self.edges = [self.machine("dataplane", zone, 2, n) for n, zone in enumerate([*zones, *zones], 1)]
        self.control = [(m.ip, CONTROL) for m in self.core]
        self.servers = [
            Server(service, zone, (self.address(zone, 3, n), SERVER), self.control)
            for zone in zones
            for n, service in enumerate(("gauges", "gauges", "booking", "booking"), 1)
        ]
        keys = ("example-key-of-ferry", "example-key-of-ferry", "example-key-of-mill")
        locators = [(m.ip, LOCATOR) for m in self.core]
        self.clients = [Client(zone, ZONES[zone], key, locators) for zone in zones for key in keys]
        self.tasks: list[asyncio.Task[None]] = []

    def address(self, zone: str, kind: int, number: int) -> str:
        return f"127.{self.net}.{list(ZONES).index(zone) + 1}.{kind * 10 + number}"

    def machine(self, program: str, zone: str, kind: int, number: int) -> Machine:
        return Machine(f"{program}-{zone}-{number}", program, zone, self.address(zone, kind, number))

    def settings(self, machine: Machine) -> Path:
        """Its settings file, written."""
        control = machine.program == "controlplane"
        home = self.folder / machine.name
        home.mkdir(parents=True)
        serves = ["control", "locator"] if control else ["edge"]
        listen = (
            {"controlPlane": CONTROL, "directoryService": LOCATOR}
            if control
            else {"frontPlain": FRONT, "readiness": READINESS}
        )
        fields = {
            "nodeName": machine.name, "role": machine.program, "machineClass": "core" if control else "edge",
            "servedRoles": serves, "ipAddress": machine.ip, "zone": machine.zone,
            "region": ZONES[machine.zone], "zones": ZONES,
            "listenAddresses": {name: f"{machine.ip}:{port}" for name, port in listen.items()},
            "internalPortRange": [7600, 7615], "seedNodes": [f"{m.ip}:{CONTROL}" for m in self.core],
            "initialStart": True, "lossCounted": control,
            "limits": {"cpuFraction": 1.0, "memoryMb": 300, "fileDescriptors": 900},
            "dataDirectory": str(home) if control else None, "heartbeatS": 1.0, "contractSet": ["base"],
            "faultTolerance": {"machineLosses": 1, "zones": 0, "regionLosses": 0}, "bounds": BOUNDS,
        }  # fmt: skip
        path = home / "local.yaml"
        path.write_text(json.dumps(fields, indent=2))  # JSON is YAML
        return path

    async def start(self) -> None:
        for machine in [*self.core, *self.edges]:
            path = self.settings(machine)
            with (self.folder / f"{machine.name}.log").open("wb") as log:
                machine.process = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", f"latchspoke.{machine.program}", cwd=ROOT, stdout=log, stderr=log,
                    env=os.environ | {"LATCHSPOKE_NODE_FILE": str(path)}, start_new_session=True,
                )  # fmt: skip
        self.tasks = [asyncio.create_task(server.serve()) for server in self.servers]

    def load(self) -> None:
        self.tasks += [asyncio.create_task(client.run()) for client in self.clients]

    async def stop(self) -> dict[str, int]:
        """Exit codes by machine; gateways end what they have in hand first."""
        for task in self.tasks:
            task.cancel()
        codes = {}
        for those in (self.edges, self.core):
            running = [m for m in those if m.process is not None]
            for machine in running:
                with contextlib.suppress(ProcessLookupError):
                    assert machine.process is not None
                    machine.process.terminate()
            for machine in running:
                assert machine.process is not None
                codes[machine.name] = await machine.process.wait()
        return codes

    async def command(self, *words: str, show: bool = True) -> tuple[int, str]:
        """One of the command line, as the operator gives it."""
        control = ",".join(f"{host}:{port}" for host, port in self.control)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "latchspoke.ctl", *words, cwd=ROOT,
            env=os.environ | {"LATCHSPOKE_CONTROL": control}, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
        told, _ = await process.communicate()
        code, text = process.returncode or 0, told.decode().rstrip()
        if show:
            print(f"\n$ ctl {' '.join(words)}\n{text}\n(exit {code})", flush=True)
        return code, text

    async def ready(self) -> bool:
        """Whether all gateways are, in time."""
        end = time.monotonic() + UP_WITHIN
        while time.monotonic() < end:
            code, text = await self.command("status", "--json", "--within", "1", show=False)
            if code == 0:
                members = json.loads(text)["control"]["members"]
                if sum(m["role"] == "edge" and m["ready"] for m in members) == len(self.edges):
                    return True
            await asyncio.sleep(0.2)
        return False

    async def round(self, pause: float) -> int:
        """The operator's round; how many of its commands failed."""
        failed = 0
        zone, file = "right-bank", HERE / "change.json"
        for words in (
            ("config", "modify", str(file.relative_to(ROOT)), "--on-current"),
            ("config", "history"),
            ("explain", "river.example", "/tickets/new", "--tenant", "mill", "--zone", zone),
            ("evacuate", "begin", zone),
            ("status", "--all"),
            ("evacuate", "finish", zone),
        ):
            code, _ = await self.command(*words)
            failed += code != 0
            await self.report(pause)
        return failed

    async def report(self, pause: float) -> None:
        await asyncio.sleep(pause)
        print(f"clients saw: {summed(self.clients)}", flush=True)


async def play(system: System, once: bool) -> int:
    begun = time.monotonic()
    await system.start()
    print(f"three control machines, four gateways; logs and disks in {system.folder}", flush=True)
    first = str((HERE / "configuration.json").relative_to(ROOT))
    code, _ = await system.command("config", "replace", first, "--within", str(UP_WITHIN))
    if code or not await system.ready():
        print(f"not up within {UP_WITHIN:g} s; see {system.folder}", file=sys.stderr)
        return 1
    print(f"\nup after {time.monotonic() - begun:.1f} s", flush=True)
    system.load()
    await system.report(0.5 if once else 1.0)
    failed = await system.round(0.1 if once else 1.0)
    control = ",".join(f"{host}:{port}" for host, port in system.control)
    if not once:
        print(
            f"\nrequests go on. In another terminal:\n  export LATCHSPOKE_CONTROL={control}\n"
            "  .venv/bin/python -m latchspoke.ctl status --all\n"
            f"  curl http://{system.edges[0].ip}:{READINESS}/metrics\nCtrl-C ends it all",
            flush=True,
        )
    while not once:
        await system.report(5.0)
    return 1 if failed else 0


async def main() -> int:
    once = "--once" in sys.argv
    folder = ROOT / ".run" / f"system-{os.getpid()}" if once else ROOT / ".run" / "system"
    shutil.rmtree(folder, ignore_errors=True)
    system = System(folder, random.SystemRandom().randrange(64, 128) if once else 77)
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    code = 0
    try:
        code = await play(system, once)
    except asyncio.CancelledError:
        print("\nends", flush=True)
    finally:
        codes = await system.stop()
        print(f"ended with {codes}", flush=True)
        if once and not code and not any(codes.values()):
            shutil.rmtree(folder, ignore_errors=True)
    return code or int(any(codes.values()))


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
