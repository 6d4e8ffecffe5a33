"""Histories of two operators who evacuate one zone, on real control-plane nodes in virtual time.

A history is a shape (who begins and finishes when), answers that are lost on their way to an operator, and
one trouble of control-plane nodes at a moment relative to one of the calls. ``all_histories`` lists them all.

    python -m latchspoke.lab.system.evacuation_histories 200 --seed 1 --jobs 4

plays a random sample, or all with ``all`` in place of the number. Two errors are looked for: a zone that is
not evacuated while an acknowledged evacuation stands, and one that stays evacuated after all were finished.
Calls that nothing disturbs must be acknowledged within ``ackS``.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import gc
import itertools
import math
import random
import sys
import tempfile
import warnings
from collections.abc import Iterator
from pathlib import Path

import msgspec

from latchspoke.lab.system.day_record import DayRecord, Reachability
from latchspoke.lab.system.http_endpoints import call
from latchspoke.lab.system.machines import CONTROL_PORT, Fleet, Machine, patched_programs
from latchspoke.lab.system.network import Network, VirtualScheduler, new_process_loop
from latchspoke.lab.system.scenario import Deployment, MachineGroup
from latchspoke.lab.virtual import Address

ZONE, ZONES = "a", {"a": "north", "b": "north", "c": "north"}
ACK_S = 6.0
WARM_UP_S = 3.0  # until there is a leader, and again until the first call
SETTLE_S = 1.0  # after the last one has ended
SAMPLE_INTERVAL_S = 0.02
ANSWER_TIMEOUT_S = 1.0
RETRY_PAUSE_S = (0.2, 0.8)  # first, longest
PAUSE_GROWTH = 1.5
CLOSE_FINISHES_S = 1.5
QUIET_S = 4.0  # ``contactS``: after a trouble a call may have to wait


class Call(msgspec.Struct, frozen=True):
    """A call of an operator, sent for at most ``ackS`` until it is acknowledged."""

    operator: int
    is_begin: bool
    # s after the call before it: after that was acknowledged, if it was a begin, or else first sent.
    gap: float

    def __str__(self) -> str:
        return f"{'AB'[self.operator]} {'begins' if self.is_begin else 'finishes'}"


SHAPES: dict[str, tuple[Call, ...]] = {
    "nested": (Call(0, True, 0.0), Call(1, True, 6.2), Call(0, False, 6.3), Call(1, False, 7.5)),
    "crossed": (Call(0, True, 0.0), Call(1, True, 6.2), Call(1, False, 6.3), Call(0, False, 7.5)),
    "soon": (Call(0, True, 0.0), Call(1, True, 4.9), Call(0, False, 7.1), Call(1, False, 8.0)),
    "close finishes": (Call(0, True, 0.0), Call(1, True, 6.2), Call(0, False, 6.3), Call(1, False, 1.7)),
    "begin after finish": (Call(0, True, 0.0), Call(0, False, 4.4), Call(1, True, 0.4), Call(1, False, 9.0)),
    "same finishes": (
        Call(0, True, 0.0),
        Call(1, True, 6.2),
        Call(0, False, 6.3),
        Call(1, False, 0.001),
    ),
    "alone": (Call(0, True, 0.0), Call(0, False, 7.0)),
}


class Loss(msgspec.Struct, frozen=True):
    """The first answers to a call are lost: in silence, or as by a reset."""

    call: int  # its number in the shape
    count: int
    silent: bool

    def __str__(self) -> str:
        return (
            f"{self.count} answers to call {self.call} lost {'in silence' if self.silent else 'by a reset'}"
        )


class NodeTrouble(msgspec.Struct, frozen=True):
    """What happens to control-plane nodes, at a time relative to a call."""

    kind: str  # "freeze", "kill", "cut", "stop" (SIGTERM), "kill all"
    node: int  # 0 leads when the history begins
    call: int
    after: float
    lasts: float

    def __str__(self) -> str:
        return (
            f"{self.kind} of node {self.node} for {self.lasts:g} s, {self.after:g} s after call {self.call}"
        )


class History(msgspec.Struct, frozen=True):
    """One history."""

    shape: str
    first_nodes: tuple[int, ...]  # the node that each call is sent to first
    loss: Loss | None
    trouble: NodeTrouble | None

    def __str__(self) -> str:
        return f"{self.shape}; first nodes {self.first_nodes}; {self.loss}; {self.trouble}"


TROUBLES = (("freeze", 3.5), ("freeze", 1.2), ("kill", 0.3), ("kill", 4.0), ("cut", 3.0), ("stop", 0.3))
MOMENTS_S = (-2.0, -0.4, 0.004, 0.05, 1.5)


def losses(calls: int) -> Iterator[Loss | None]:
    """No loss, and every one of a shape."""
    yield None
    for number in range(calls):
        yield from (Loss(number, 1, True), Loss(number, 1, False), Loss(number, 3, True))


def troubles(calls: int) -> Iterator[NodeTrouble | None]:
    """No trouble, and every one of a shape."""
    yield None
    for number, after in itertools.product(range(calls), MOMENTS_S):
        for (kind, lasts), node in itertools.product(TROUBLES, range(3)):
            yield NodeTrouble(kind, node, number, after, lasts)
        yield NodeTrouble("kill all", 0, number, after, 0.3)


def all_histories() -> Iterator[History]:
    """Every history: calls go first to one node, or to the nodes in turn."""
    for shape, calls in SHAPES.items():
        turns = tuple(number % 3 for number in range(len(calls)))
        for first_nodes in (*((node,) * len(calls) for node in range(3)), turns):
            for loss, trouble in itertools.product(losses(len(calls)), troubles(len(calls))):
                yield History(shape, first_nodes, loss, trouble)


class Outcome(msgspec.Struct):
    """What became of a call."""

    call: Call
    sent_at: float = math.inf
    acknowledged_at: float = math.inf
    given_up: bool = False  # or never sent, as the call before it was not acknowledged

    @property
    def ended(self) -> bool:
        """Whether it is acknowledged or given up."""
        return self.given_up or self.acknowledged_at < math.inf


class Play:
    """One history on three real control-plane nodes."""

    def __init__(self, history: History, folder: Path, seed: int = 1) -> None:
        self.history, self.calls = history, SHAPES[history.shape]
        groups = [MachineGroup("core", zone, 1) for zone in ZONES]
        deployment = Deployment("histories", ZONES, groups, [], [], {"ackS": ACK_S})
        self.scheduler = VirtualScheduler()
        self.network = Network(self.scheduler, seed, 0.5, 1.0, 20.0, 1.0)
        reachability = Reachability(deployment.bound("contactS"))
        self.fleet = Fleet(deployment, self.network, DayRecord(), reachability, seed, folder)
        self.loop = new_process_loop(self.network, self.network.host("client:o", "a", "north"), "operators")
        self.outcomes = [Outcome(each) for each in self.calls]
        # When each begin was acknowledged, and each finish was sent; or when it was given up.
        self.begun = [self.loop.create_future() for _ in self.calls]
        self.nodes: list[Machine] = []  # the first one led when the history began
        self.samples: list[tuple[float, int]] = []  # time, active evacuations
        self.applied_index = 0
        self.trouble_at = math.inf

    def run(self) -> list[str]:
        """Play the history; returns what went wrong."""
        scheduler = self.scheduler
        with patched_programs(self.fleet), warnings.catch_warnings():
            warnings.simplefilter("ignore", RuntimeWarning)  # coroutines that a killed process never awaited
            scheduler.at(0.0, self.fleet.start_all)
            scheduler.run(WARM_UP_S)
            self.begin()
            while any(not outcome.ended for outcome in self.outcomes):
                scheduler.run(scheduler.now + SETTLE_S)
            scheduler.run(scheduler.now + SETTLE_S)
        return [*self.not_evacuated(), *self.evacuated_for_good(), *self.not_acknowledged()]

    def begin(self) -> None:
        """Schedule the calls, the trouble and the samples."""
        leader = next(machine for machine in self.fleet.machines if machine.is_leader)
        self.nodes = [leader, *(machine for machine in self.fleet.machines if machine is not leader)]
        for operator in range(2):
            self.loop.create_task(self.operate(operator))
        self.sample()

    def sample(self) -> None:
        """Note how many evacuations are active, by the node that has applied most."""
        running = [machine.node.replica.node for machine in self.nodes if machine.running]
        newest = max(running, key=lambda node: node.applied_index, default=None)
        if newest is not None and newest.applied_index >= self.applied_index:
            self.applied_index = newest.applied_index
            self.samples.append((self.scheduler.now, newest.state.evacuation_count(ZONE)))
        self.scheduler.after(SAMPLE_INTERVAL_S, self.sample)

    # Troubles.

    def disturb(self, trouble: NodeTrouble) -> None:
        """Let a trouble happen."""
        machine = self.nodes[trouble.node]
        match trouble.kind:
            case "freeze" if machine.loop is not None:
                machine.loop.busy_until = self.scheduler.now + trouble.lasts
            case "kill":
                self.fleet.kill(machine, trouble.lasts)
            case "kill all":
                for each in self.nodes:
                    self.fleet.kill(each, trouble.lasts)
            case "stop":
                self.fleet.terminate(machine)
                self.scheduler.after(1.0 + trouble.lasts, self.fleet.start, machine)
            case "cut":
                others = [other for other in self.nodes if other is not machine]
                pairs = [pair for o in others for pair in ((machine.ip, o.ip), (o.ip, machine.ip))]
                self.network.cut(pairs)
                self.scheduler.after(trouble.lasts, self.network.heal, pairs)

    # Operators.

    async def operate(self, operator: int) -> None:
        """Make the calls of one operator; after one that isn't acknowledged it makes no more."""
        own = [number for number, each in enumerate(self.calls) if each.operator == operator]
        for number in own:
            await self.until_due(number)
            await self.make_call(number, self.outcomes[number])
            if self.outcomes[number].given_up:
                break
        for number in own:
            if not self.outcomes[number].ended:
                self.outcomes[number].given_up = True
            self.note_begun(number)

    def note_begun(self, number: int) -> None:
        """The call after this one may be due."""
        if not self.begun[number].done():
            self.begun[number].set_result(self.scheduler.now)

    async def until_due(self, number: int) -> None:
        """Wait until a call is to be sent, and let the trouble that goes with it happen."""
        trouble, gap = self.history.trouble, self.calls[number].gap
        due = self.scheduler.now + (WARM_UP_S if not number else 0.0)
        if number:
            due = await self.begun[number - 1] + gap
        if trouble is not None and trouble.call == number:
            self.trouble_at = max(due + trouble.after, self.scheduler.now)
            self.scheduler.at(self.trouble_at, self.disturb, trouble)
        await self.until(due)

    async def make_call(self, number: int, outcome: Outcome) -> None:
        """Send a call until it is acknowledged, for less than ``ackS``."""
        loss = self.history.loss
        lost = loss.count if loss is not None and loss.call == number else 0
        outcome.sent_at = self.scheduler.now
        if not outcome.call.is_begin:
            self.note_begun(number)
        node, pause = self.history.first_nodes[number], RETRY_PAUSE_S[0]
        while self.scheduler.now < outcome.sent_at + ACK_S:
            sent_at = self.scheduler.now
            status = await self.send(outcome.call, (self.nodes[node % 3].ip, CONTROL_PORT))
            if status == 200 and lost and loss is not None:
                lost -= 1
                if loss.silent:
                    await self.until(sent_at + ANSWER_TIMEOUT_S)
            elif status == 200:
                outcome.acknowledged_at = self.scheduler.now
                self.note_begun(number)
                return
            node += 1
            await self.until(self.scheduler.now + pause)
            pause = min(pause * PAUSE_GROWTH, RETRY_PAUSE_S[1])
        outcome.given_up = True
        self.note_begun(number)

    async def send(self, order: Call, address: Address) -> int:
        """Send a call once; its status, 0 without an answer."""
        target = f"/rpc?call=evacuation.{'begin' if order.is_begin else 'finish'}&of={ZONE}"
        status, _, _ = await call(self.loop, address, "POST", target, None, ANSWER_TIMEOUT_S)
        return status

    async def until(self, at: float) -> None:
        """Wait until a time."""
        future = self.loop.create_future()
        self.scheduler.at(max(at, self.scheduler.now), future.set_result, None)
        await future

    # What went wrong.

    def not_evacuated(self) -> Iterator[str]:
        """An acknowledged evacuation that isn't taken back yet, and the zone is not evacuated."""
        for operator in range(2):
            own = [outcome for outcome in self.outcomes if outcome.call.operator == operator]
            begun, finished = own[0::2], own[1::2]
            for begin, finish in zip(begun, finished, strict=True):
                for at, active_count in self.samples:
                    if begin.acknowledged_at < at < finish.sent_at and not active_count:
                        yield f"{'AB'[operator]}'s evacuation is lost at {at - WARM_UP_S:.2f}"
                        break

    def evacuated_for_good(self) -> Iterator[str]:
        """More evacuations are left than calls without an acknowledgement explain."""
        unclear = sum(outcome.given_up for outcome in self.outcomes)
        left = self.samples[-1][1]
        if left > unclear:
            yield f"{left} evacuations are left, {unclear} calls were not acknowledged"

    def not_acknowledged(self) -> Iterator[str]:
        """A call that nothing disturbed."""
        trouble, loss = self.history.trouble, self.history.loss
        for number, outcome in enumerate(self.outcomes):
            if not outcome.given_up or outcome.sent_at == math.inf:
                continue
            if trouble is not None:
                begun, ended = self.trouble_at, self.trouble_at + trouble.lasts + QUIET_S
                if begun - ACK_S < outcome.sent_at < ended:
                    continue
            if loss is not None and loss.call == number:
                continue  # the pages allow no clear answer to what is sent again
            if self.has_close_finish(outcome):
                continue  # unclear until ``ackS`` after the other finish, which is too late for this one
            yield f"{outcome.call}: not acknowledged"

    def has_close_finish(self, outcome: Outcome) -> bool:
        """Whether a call is a finish, and the other operator's was sent at about the same time."""
        others = [each for each in self.outcomes if each.call.operator != outcome.call.operator]
        return not outcome.call.is_begin and any(
            abs(each.sent_at - outcome.sent_at) < CLOSE_FINISHES_S
            for each in others
            if not each.call.is_begin
        )


def play(history: History, seed: int = 1) -> list[str]:
    """Play a history; returns what went wrong."""
    with tempfile.TemporaryDirectory() as folder:
        errors = Play(history, Path(folder), seed).run()
    gc.collect()
    return errors


def draw(count: int, seed: int) -> list[History]:
    """A random sample of all histories."""
    histories = list(all_histories())
    return random.Random(f"histories:{seed}").sample(histories, min(count, len(histories)))


def main() -> int:
    """Play histories and print those that went wrong; returns 1 if there are any."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("count", help="how many, or 'all'")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=1)
    options = parser.parse_args()
    histories = list(all_histories()) if options.count == "all" else draw(int(options.count), options.seed)
    broken = 0
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        for history, errors in zip(histories, pool.map(play, histories, chunksize=8), strict=True):
            broken += bool(errors)
            if errors:
                print(f"{history}: {'; '.join(errors)}", flush=True)
    print(f"{len(histories)} histories, {broken} went wrong")
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main())
