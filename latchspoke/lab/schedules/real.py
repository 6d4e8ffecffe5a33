"""The same with real processes: agents, holders and their commands, and a relay on each way between members.

Drawn faults hit them; what each command did stands in one file, in the order in which it was taken, by a
clock that all processes of a machine share. Read afterwards: tokens in order, each of one process; an act
with an older token only by one that had been stopped; somebody who acts once all is mended.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import resource
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import msgspec

from latchspoke.agent.members import MemberStatus, clock
from latchspoke.duties.records import Define, Rule
from latchspoke.fleet import wire
from latchspoke.lab.ports import open_port
from latchspoke.lab.relay import Mode, Relay
from latchspoke.lab.schedules.agent import SLOW
from latchspoke.lab.schedules.check import Verdict
from latchspoke.lab.schedules.faults import Fault

LENGTH = 1.5  # s of a grant
SPAN = 8.0  # s in which faults come
PATIENCE = 20.0  # s
DUTY = "trial"
ACT = str(Path(__file__).with_name("act.py"))
KINDS = (
    "kill-agent", "stop-agent", "kill-holder", "stop-holder", "hold", "one-way", "refuse", "slow", "reset",
    "full-disk", "slow-disk",
)  # fmt: skip
SLOW_DISK = 0.6  # s that each sync takes more; an election's time is 0.4 s


def draw(seed: int, agents: int, holders: int) -> tuple[Fault, ...]:
    """Between 2 and 5 of them."""
    chance = random.Random(f"real:{seed}")
    made = []
    for _ in range(chance.randint(2, 5)):
        kind, lasts = chance.choice(KINDS), chance.uniform(0.2, 4.0)
        count = holders if "holder" in kind else agents
        names = tuple(str(n) for n in chance.sample(range(count), 2 if kind == "one-way" else 1))
        made.append(Fault(chance.uniform(0.0, SPAN), kind, names, lasts))
    return tuple(sorted(made, key=lambda fault: fault.at))


@dataclass(slots=True)
class Trial:
    """One group of processes in a folder of its own. All that it starts it ends."""

    base: Path
    agents: int = 3
    holders: int = 2
    relays: dict[tuple[int, int], Relay] = field(default_factory=dict)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    stopped: set[int] = field(default_factory=set)  # commands that were stopped at any time

    @property
    def record(self) -> Path:
        return self.base / "acts"

    def socket(self, n: int) -> str:
        return str(self.base / f"a{n}" / "agent.sock")

    async def prepare(self) -> None:
        """The agents' ports are held until the relays have theirs, or one could come to lead to itself."""
        with contextlib.ExitStack() as stack:
            held = [stack.enter_context(open_port()) for _ in range(self.agents)]
            ports = [int(one.getsockname()[1]) for one in held]
            for one in range(self.agents):
                await self.write(one, ports)

    async def write(self, one: int, ports: list[int]) -> None:
        """An agent's file, and the relays by which it speaks to the others."""
        peers = {f"a{one}": f"127.0.0.1:{ports[one]}"}
        for other in range(self.agents):
            if other != one:
                relay = self.relays[one, other] = Relay(("127.0.0.1", ports[other]))
                _, port = await relay.start()
                peers[f"a{other}"] = f"127.0.0.1:{port}"
        told, first = msgspec.json.encode(peers).decode(), "true" if one == 0 else "false"
        members = f'members: {{peers: {told}, first: {first}, election: "400ms"}}'
        (self.base / f"a{one}.cue").write_text(f'name: "a{one}"\nfolder: "a{one}"\n{members}\n')

    def start(self, module: str, name: str, *words: str) -> None:
        old = self.processes.get(name)
        if old is not None and old.poll() is None:
            return
        with open(self.base / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *words], stdout=log, stderr=log, start_new_session=True
            )

    def start_agent(self, n: int) -> None:
        self.start("latchspoke.lab.schedules.agent", f"a{n}", "--config", str(self.base / f"a{n}.cue"))

    def start_holder(self, n: int) -> None:
        sockets = ",".join(self.socket((n + k) % self.agents) for k in range(self.agents))
        command = [sys.executable, "-S", ACT, str(self.record)]
        words = ["duty", "run", DUTY, "--as", f"h{n}", "--socket", sockets, "--grace", "200ms"]
        self.start("latchspoke", f"h{n}", *words, "--", *command)

    def acts(self) -> list[tuple[float, int, int, str]]:
        lines = self.record.read_text().split("\n") if self.record.exists() else []
        parts = [line.split() for line in lines if line.count(" ") == 3]
        return [(float(at), int(token), int(pid), word) for at, token, pid, word in parts]

    async def ask(self, method: str, path: str, body: object = None) -> bytes:
        """Of any agent that does what is asked; b'' where none does."""
        for n in range(self.agents):
            if told := await self.ask_one(n, method, path, body):
                return told
        return b""

    async def ask_one(self, n: int, method: str, path: str, body: object = None) -> bytes:
        data = None if body is None else msgspec.json.encode(body)
        web = aiohttp.ClientSession(
            connector=aiohttp.UnixConnector(self.socket(n)), timeout=aiohttp.ClientTimeout(total=3.0),
            headers={wire.INTERFACE_HEADER: str(wire.INTERFACE_VERSION)},
        )  # fmt: skip
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with web, web.request(method, "http://agent" + path, data=data) as answer:
                if answer.status == 200:
                    return await answer.read()
        return b""

    async def found(self) -> None:
        """Until all vote, and the duty is there and held. Raises TimeoutError."""
        async with asyncio.timeout(PATIENCE):
            for n in range(self.agents):
                self.start_agent(n)
            await self.all_vote()
            while not await self.ask("POST", "/v1/duties/commands", Define(DUTY, Rule(LENGTH))):
                await asyncio.sleep(0.1)
            for n in range(self.holders):
                self.start_holder(n)
            while not self.acts():
                await asyncio.sleep(0.05)

    async def all_vote(self) -> None:
        voters = 0
        while voters < self.agents:
            await asyncio.sleep(0.1)
            told = await self.ask("GET", "/v1/members")
            voters = len(msgspec.json.decode(told, type=MemberStatus).voters) if told else 0

    async def strike(self, fault: Fault) -> None:
        """And mend it after its time."""
        n = int(fault.names[0])
        if fault.kind in ("kill-agent", "kill-holder"):
            name = f"{fault.kind[5]}{n}"
            self.processes[name].kill()
            self.processes[name].wait()
            await asyncio.sleep(fault.lasts)
            (self.start_agent if name[0] == "a" else self.start_holder)(n)
        elif fault.kind in ("stop-agent", "stop-holder"):
            await self.stop(f"{fault.kind[5]}{n}", fault.lasts)
        elif fault.kind == "full-disk":
            await self.fill(f"a{n}", fault.lasts)
        elif fault.kind == "slow-disk":
            (self.base / f"a{n}" / SLOW).write_text(str(SLOW_DISK))
            await asyncio.sleep(fault.lasts)
            (self.base / f"a{n}" / SLOW).unlink()
        else:
            pairs = [pair for pair in self.relays if n in pair]
            if fault.kind == "one-way":
                pairs = [(n, int(fault.names[1]))]
            mode = {"hold": Mode.HOLD, "one-way": Mode.HOLD, "refuse": Mode.REFUSE}.get(fault.kind, Mode.PASS)
            for pair in pairs:
                self.relays[pair].set_mode(mode, 0.3 if fault.kind == "slow" else 0.0)
                if fault.kind == "reset":
                    self.relays[pair].reset()
                    self.relays[pair].break_after_bytes = 7
            await asyncio.sleep(fault.lasts)
            for pair in pairs:
                self.relays[pair].set_mode(Mode.PASS)

    async def stop(self, name: str, lasts: float) -> None:
        """The process, and its command if it has one: a frozen machine."""
        process = self.processes[name]
        if process.poll() is not None:
            return
        pids = [process.pid, *children(process.pid)]
        for pid in pids:
            send(pid, signal.SIGSTOP)
        self.stopped |= set(pids)
        await asyncio.sleep(lasts)
        for pid in pids:
            send(pid, signal.SIGCONT)

    async def fill(self, name: str, lasts: float) -> None:
        """No file of this process takes a byte more: its ledger, its store and its log all fail."""
        process = self.processes[name]
        if process.poll() is not None:
            return
        limits = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, limits[1]))
        await asyncio.sleep(lasts)
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, limits)

    async def play(self, schedule: tuple[Fault, ...]) -> None:
        began = clock()

        async def one(fault: Fault) -> None:
            await asyncio.sleep(max(began + fault.at - clock(), 0.0))
            await self.strike(fault)

        await asyncio.gather(*(one(fault) for fault in schedule))

    async def settled(self) -> bool:
        """Somebody acts again, within two grants, three elections and what a process needs to start."""
        since = clock()
        while clock() < since + 2 * LENGTH + PATIENCE / 2:
            if any(at > since and word == "acts" for at, _, _, word in self.acts()[-5:]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self) -> None:
        for process in self.processes.values():
            for pid in (process.pid, *children(process.pid)) if process.poll() is None else ():
                send(pid, signal.SIGKILL)
        for process in self.processes.values():
            await asyncio.to_thread(process.wait)
        for relay in self.relays.values():
            await relay.stop()

    def wrong(self) -> list[str]:
        """What the acts' own record shows."""
        found, latest = [], 0
        owners: dict[int, int] = {}
        for at, token, pid, word in self.acts():
            if owners.setdefault(token, pid) != pid:
                found.append(f"{at:.3f}: token {token} of {owners[token]} and of {pid}")
            if word == "acts" and token < latest:
                found.append(f"{at:.3f}: token {token} after {latest}")
            if word == "refused" and pid not in self.stopped:
                found.append(f"{at:.3f}: {pid} went on under {token} after {latest}, and was never stopped")
            latest = max(latest, token)
        return found


def children(pid: int) -> list[int]:
    with contextlib.suppress(OSError):
        return [int(n) for n in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]
    return []


def send(pid: int, number: signal.Signals) -> None:
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, number)


async def trial(base: Path, seed: int, agents: int = 3, holders: int = 2) -> Verdict:
    """One schedule; the folder keeps what everybody wrote."""
    one = Trial(base, agents, holders)
    try:
        await one.prepare()
        await one.found()
        await one.play(draw(seed, agents, holders))
        began = time.monotonic()
        idle = [] if await one.settled() else ["nobody acts after all was mended"]
        acts = one.acts()
        refused = sum(word == "refused" for *_, word in acts)
        return Verdict(
            seed, tuple(one.wrong() + idle), len(acts) - refused, refused, 0, time.monotonic() - began
        )
    except TimeoutError:
        return Verdict(seed, ("the group was never founded",))
    finally:
        await one.end()
