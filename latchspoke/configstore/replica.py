"""The register on a disk and in an event loop; whoever owns the sockets hands messages in and out.

The disk is synced in the loop's own thread: that takes a millisecond or two. While it refuses, nothing that
relies on it is said, what comes is dropped, and callers are told that nothing is known.
"""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from latchspoke.agent.raft_store import RaftStore, RaftStoreError
from latchspoke.configstore.messages import Message
from latchspoke.configstore.orders import UNKNOWN, Command, Orders, Patch, Verdict
from latchspoke.configstore.register import Answer, Register, draw_of, founding
from latchspoke.configstore.voters import CATCH_UP, Place
from latchspoke.consensus.member import Output
from latchspoke.consensus.records import name_of

FILE = "register.db"
STEP = 0.0002  # s; none is set for sooner: a timer a rounding ahead of what is due rings in vain, for ever
RETRY = 0.25  # s until a write that the disk refused is tried again
HANDOVER = 0.3  # s that a leader that stops waits for the next one
REVIVE = 0.5  # s after a fault of the program until the register begins anew from the disk
PROOF = 5.0  # s; the first proof of a life is asked for again after so long

Send = Callable[[str, Message], None]  # to the process of a name
Log = Callable[[str, dict[str, Any]], None]


def silent(event: str, fields: dict[str, Any]) -> None:
    """No log."""


class Replica:
    """One process's register. Names are inner addresses, "ip:port"; not for several threads."""

    def __init__(
        self,
        me: str,
        founders: tuple[str, ...],
        first: bool,
        home: Path,
        send: Send,
        apply_patch: Patch,
        on_applied: Callable[[Orders], None],
        clock: Callable[[], float] = time.monotonic,
        log: Log = silent,
        draw: random.Random | None = None,
        catch_up: float = CATCH_UP,
    ) -> None:
        """``founders``: the seeds; ``first``: the whole system's first start; ``catch_up`` (s): see Register.

        Raises RaftStoreError.
        """
        self.draw = draw or random.Random()
        self.me, self.send, self.on_applied, self.clock, self.log = me, send, on_applied, clock, log
        self.founders, self.first, self.apply_patch = founders, first, apply_patch
        self.catch_up = catch_up
        self.ledger = RaftStore(home / FILE, exclusive=True)
        try:
            self.register = self.begin()
        except BaseException:
            self.ledger.close()
            raise
        self.ticket = 0  # the first confirm of this life
        self.failed = False  # a fault of the program: until the register has begun anew
        self.waiting: dict[int, asyncio.Future[Answer]] = {}
        self.loop: asyncio.AbstractEventLoop | None = None
        self.timer: asyncio.Handle | None = None
        self.timer_at = 0.0  # s, on the loop's clock; uvloop's handle for what is due at once can't tell
        self.woken = False
        self.refused: Output | None = None  # what the disk wouldn't take
        self.disk = ""  # why it wouldn't
        self.closed = False

    def begin(self) -> Register:
        """From what the disk holds, as after a kill. Raises RaftStoreError."""
        draw = draw_of(self.me, self.founders, self.first, secrets.token_hex(4))
        image = founding(self.founders, Orders(self.apply_patch))
        stored = self.ledger.start(self.me, draw, draw == "first", image)
        return Register(
            stored, self.founders, self.apply_patch, self.draw, self.clock(), catch_up=self.catch_up
        )

    @property
    def orders(self) -> Orders:
        """The applied state; don't change it, and don't keep its document over a change."""
        return self.register.orders

    @property
    def proven(self) -> bool:
        """Whether the state has ever been confirmed in this life; before that it may be an old one."""
        return self.register.proven

    @property
    def voters(self) -> set[str]:
        """Names of those of whom a majority decides."""
        return {name_of(identity) for identity in self.register.member.members.voters}

    def start(self) -> None:
        """Inside the running loop."""
        self.loop = asyncio.get_running_loop()
        self.log("register-starts", {"identity": self.register.member.identity})
        self.tick()

    async def stop(self) -> None:
        """A leader hands over first, so that nobody waits for an election. What waits here is unknown."""
        led = not self.idle and self.register.leave(self.clock())
        self.turn()
        if led:
            until = self.clock() + HANDOVER
            while self.register.leads and self.clock() < until:
                await asyncio.sleep(0.01)
        self.close()

    def close(self) -> None:
        """At once, as a process that ends."""
        if self.closed:
            return
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.register.give_up()
        self.answer()
        self.ledger.close()

    @property
    def idle(self) -> bool:
        """Whether nothing is taken in now."""
        return self.closed or self.failed or self.refused is not None

    # What comes.

    def heard(self, name: str, message: dict[str, Any]) -> None:
        """Take a message of another process in."""
        if self.idle:
            return
        try:
            self.register.heard(name, message, self.clock())
        except Exception as e:
            self.fail(e)
        self.wake()

    def peers(self, places: Mapping[str, Place]) -> None:
        """The processes of the core that are alive now, this one counted or not, and where they stand."""
        self.register.peers(places, self.clock())

    async def submit(self, command: Command, limit: float = 0.9) -> Verdict:
        """The verdict once it stands for good; ``unknown`` (it may still be taken) after ``limit`` (s)."""
        if self.idle:
            return Verdict(UNKNOWN, self.disk or "stops", self.orders.version)
        answer = await self.wait(self.register.submit(command, limit, self.clock()))
        assert isinstance(answer, Verdict)
        return answer

    async def confirm(self, limit: float = 0.9, patient: bool = False) -> int | None:
        """An index up to which all is applied here, at least all that was acknowledged before the call.

        None where no majority vouches for that within ``limit`` (s).
        """
        if self.idle:
            return None
        answer = await self.wait(self.register.confirm(limit, self.clock(), patient))
        assert not isinstance(answer, Verdict)
        return answer

    async def wait(self, number: int) -> Answer:
        """The answer under this number, once it is there."""
        assert self.loop is not None
        future: asyncio.Future[Answer] = self.loop.create_future()
        self.waiting[number] = future
        self.wake()
        try:
            return await future
        finally:
            self.waiting.pop(number, None)

    def status(self) -> dict[str, Any]:
        """What operators see of this member."""
        register, member = self.register, self.register.member
        return {
            "identity": member.identity,
            "role": member.role.value,
            "term": member.term,
            "leader": member.leader,
            "voters": list(member.members.voters),
            "learners": list(member.members.learners),
            "guests": list(member.members.guests),
            "commit": member.commit,
            "applied": register.applied,
            "first": member.log.first,
            "last": member.log.last,
            "mute": member.mute,
            "proven": register.proven,
            "version": self.orders.version,
            "evacuated": sorted(self.orders.evacuated),
            "disk": self.disk,
            "failed": self.failed,
        }

    # What is done.

    def wake(self) -> None:
        """One turn for all that comes in one round of the loop: it syncs once for many."""
        if not self.woken and self.loop is not None:
            self.woken = True
            self.loop.call_soon(self.turn)

    def tick(self) -> None:
        """The timer has fired: begin anew after a fault, retry the disk, do what is due."""
        self.timer = None
        if self.failed:
            self.revive()
        if not self.idle:
            register = self.register
            if not register.proven and self.ticket not in register.tickets:
                self.ticket = register.confirm(PROOF, self.clock())
            try:
                register.tick(self.clock())
            except Exception as e:
                self.fail(e)
        self.turn()

    def turn(self) -> None:
        """Store, send and answer all that has come up, and set the timer."""
        self.woken = False
        if self.closed or self.failed:
            return
        try:
            done = self.work()
        except Exception as e:
            self.fail(e)
            return
        if not done:
            return
        self.answer()
        if self.register.changed:
            self.register.changed = False
            self.on_applied(self.orders)
        self.set_timer(max(self.register.due() - self.clock(), 0.0))

    def fail(self, error: Exception) -> None:
        """What is in memory is not to be trusted; what the disk holds is, as after a kill."""
        self.log("register-failed", {"error": repr(error)})
        self.failed, self.refused = True, None
        self.register.give_up()
        self.answer()
        self.set_timer(REVIVE)

    def revive(self) -> None:
        """Begin anew from the disk, after a fault of the program."""
        known = {name: self.register.places[name] for name in self.register.alive}
        try:
            self.register = self.begin()
        except RaftStoreError as e:
            self.log("disk-refuses", {"error": str(e)})
            self.set_timer(REVIVE)
            return
        self.failed = False
        self.register.peers(known, self.clock())

    def work(self) -> bool:
        """Whether the disk took all."""
        register = self.register
        while True:
            output, self.refused = self.refused or register.take(), None
            if output is None:
                self.post()
                return True
            if output.to_store and not self.store(output):
                return False
            register.stored(output, self.clock())
            for note in output.notes:
                self.log(note.code, {"member": register.member.identity, "detail": note.detail})
            self.post()
            snapshot = register.compacted()
            if snapshot is not None:
                try:
                    self.ledger.compact(snapshot)
                except RaftStoreError as e:  # the longer log is as good, and the next snapshot covers it
                    self.log("disk-refuses", {"error": str(e)})

    def store(self, output: Output) -> bool:
        """Sync an output; False where the disk refuses."""
        try:
            self.ledger.save(output)
        except RaftStoreError as e:
            if not self.disk:
                self.log("disk-refuses", {"error": str(e)})
            self.refused, self.disk = output, str(e)
            self.register.give_up()
            self.answer()
            self.set_timer(RETRY)
            return False
        if self.disk:
            self.log("disk-back", {})
            self.disk = ""
        return True

    def post(self) -> None:
        """Send what is to be sent."""
        outbox, self.register.outbox = self.register.outbox, []
        for name, message in outbox:
            self.send(name, message)

    def answer(self) -> None:
        """Hand answers to those who wait for them."""
        answers, self.register.answers = self.register.answers, []
        for number, answer in answers:
            future = self.waiting.get(number)
            if future is not None and not future.done():
                future.set_result(answer)

    def set_timer(self, delay: float) -> None:
        """Wake in at most so long (s); one set before for earlier stays, and looks again."""
        assert self.loop is not None
        when = self.loop.time() + min(max(delay, STEP), 60.0)
        if self.timer is not None:
            if self.timer_at <= when:
                return
            self.timer.cancel()
        self.timer, self.timer_at = self.loop.call_at(when, self.tick), when
