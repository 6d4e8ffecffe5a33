"""Runs a config store node on an event loop, with its ledger on disk; the owner moves the messages.

The disk is synced in the loop's own thread, which takes a millisecond or two. While writes fail, no message
that depends on them is sent, incoming messages are dropped, and callers get the verdict ``unknown``.
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
from latchspoke.configstore.config_state import UNKNOWN, ApplyPatch, Command, ConfigState, Verdict
from latchspoke.configstore.disk import DATABASE_FILE as DATABASE_FILE
from latchspoke.configstore.disk import LogEvent, ReplicaDisk
from latchspoke.configstore.entry_ages import UNKNOWN_AGE, AgeBounds
from latchspoke.configstore.messages import Message
from latchspoke.configstore.store_node import Answer, StoreNode, founding_snapshot, identity_suffix
from latchspoke.configstore.voters import DEFAULT_CATCH_UP_S, Location
from latchspoke.consensus.member import Output
from latchspoke.consensus.records import name_of

MIN_TIMER_DELAY_S = 0.0002  # a timer rounded to just before the due time would fire again and again
DISK_RETRY_S = 0.25  # until a failed write is retried
HANDOVER_TIMEOUT_S = 0.3  # that a stopping leader waits for its successor
RECOVERY_DELAY_S = 0.5  # from an internal error to the reload from disk
DISK_CHECK_INTERVAL_S = 1.0  # between checks that the store's file is still there
STARTUP_READ_TIMEOUT_S = 5.0  # time limit of the reads that confirm the state after a start

SendMessage = Callable[[str, Message], None]  # sends a message to the process of a name


def discard_event(event: str, fields: dict[str, Any]) -> None:
    """Default log: discards all events."""


class Replica:
    """One process's replica of the config store. Names are inner addresses, "ip:port". Not thread-safe."""

    def __init__(
        self,
        name: str,
        founders: tuple[str, ...],
        first_start: bool,
        home: Path,
        send: SendMessage,
        apply_patch: ApplyPatch,
        on_applied: Callable[[ConfigState], None],
        clock: Callable[[], float] = time.monotonic,
        log: LogEvent = discard_event,
        rng: random.Random | None = None,
        catch_up: float = DEFAULT_CATCH_UP_S,
    ) -> None:
        """``founders``: the seeds; ``first_start``: of the whole deployment; ``catch_up`` (s): see StoreNode.

        Raises RaftStoreError.
        """
        self.rng = rng or random.Random()
        self.name, self.send, self.on_applied, self.clock, self.log = name, send, on_applied, clock, log
        self.founders, self.first_start, self.apply_patch = founders, first_start, apply_patch
        self.catch_up = catch_up
        self.disk = ReplicaDisk(home, log)
        self.disk_checked_at = clock()
        self.node = self.load_node()
        self.startup_read_id = 0  # the read that confirms the state after a start
        self.failed = False  # after an internal error, until the node is reloaded from disk
        self.pending_answers: dict[int, asyncio.Future[Answer]] = {}
        self.loop: asyncio.AbstractEventLoop | None = None
        self.timer: asyncio.Handle | None = None
        self.timer_at = 0.0  # s, on the loop's clock; uvloop's handle of an immediate call has no ``when``
        self.turn_scheduled = False
        self.unsaved_output: Output | None = None  # the output whose write failed
        self.disk_error = ""  # why the write failed; '' while writes succeed
        self.closed = False

    def load_node(self) -> StoreNode:
        """Creates the node from the contents of the disk, as after a crash. Raises RaftStoreError."""
        self.ledger: RaftStore
        self.ledger, stored = self.disk.load(
            self.name,
            self.choose_identity_suffix,
            founding_snapshot(self.founders, ConfigState(self.apply_patch)),
        )
        self.first_start = False  # a store that is lost from now on isn't a founder's any more
        return StoreNode(
            stored, self.founders, self.apply_patch, self.rng, self.clock(), catch_up=self.catch_up
        )

    def choose_identity_suffix(self, had_store: bool) -> str:
        """The suffix of this member's identity if its disk is empty; ``had_store``: it was not always."""
        first_start = self.first_start and not had_store
        return identity_suffix(self.name, self.founders, first_start, secrets.token_hex(4))

    @property
    def state(self) -> ConfigState:
        """The applied state. Don't modify it or keep its document across changes."""
        return self.node.state

    @property
    def read_confirmed(self) -> bool:
        """Whether a read was confirmed since the start; before that the state may be stale."""
        return self.node.read_confirmed

    @property
    def is_leader(self) -> bool:
        """Whether this process leads the replicated log."""
        return self.node.is_leader and not self.unavailable

    @property
    def leader_name(self) -> str:
        """Name of the leader's process, '' if it is unknown."""
        return name_of(self.node.leader) if self.node.leader else ""

    @property
    def voters(self) -> set[str]:
        """Names of the voters."""
        return {name_of(identity) for identity in self.node.member.members.voters}

    def start(self) -> None:
        """Starts the timers; must be called from the running loop."""
        self.loop = asyncio.get_running_loop()
        self.log("register-starts", {"identity": self.node.member.identity})
        self.tick()

    async def stop(self) -> None:
        """Transfers leadership first, then closes; pending calls get the outcome ``unknown``."""
        was_leader = not self.unavailable and self.node.leave(self.clock())
        self.run_turn()
        if was_leader:
            deadline = self.clock() + HANDOVER_TIMEOUT_S
            while self.node.is_leader and self.clock() < deadline:
                await asyncio.sleep(0.01)
        self.close()

    def close(self) -> None:
        """Closes the replica without a leadership transfer."""
        if self.closed:
            return
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.node.fail_pending()
        self.deliver_answers()
        self.disk.close()

    @property
    def unavailable(self) -> bool:
        """Whether messages and calls are rejected at present."""
        return self.closed or self.failed or self.unsaved_output is not None

    # Inputs.

    def receive(self, name: str, message: dict[str, Any]) -> None:
        """Handles a message from another process."""
        if self.unavailable:
            return
        try:
            self.node.receive(name, message, self.clock())
        except Exception as e:
            self.on_fault(e)
        self.schedule_turn()

    def update_peers(self, locations: Mapping[str, Location]) -> None:
        """Sets the control-plane processes that are alive, with or without this one, and their locations."""
        self.node.update_peers(locations, self.clock())

    async def submit(self, command: Command, limit: float = 0.9) -> Verdict:
        """Submits a command; ``unknown`` after ``limit`` (s) means that it may still be committed."""
        if self.unavailable:
            return Verdict(UNKNOWN, self.disk_error or "stops", self.state.version)
        answer = await self.wait_for_answer(self.node.submit(command, limit, self.clock()))
        assert isinstance(answer, Verdict)
        return answer

    async def confirm_read(self, limit: float = 0.9, deferrable: bool = False) -> int | None:
        """Linearizable read: the applied index, which covers all commands acknowledged before the call.

        None if no majority confirms it within ``limit`` (s).
        """
        if self.unavailable:
            return None
        answer = await self.wait_for_answer(self.node.confirm_read(limit, self.clock(), deferrable))
        assert answer is None or isinstance(answer, int)
        return answer

    async def entry_age(self, index: int, limit: float) -> AgeBounds:
        """Bounds of the age of a committed entry, from the answers of the voters within ``limit`` (s)."""
        if self.unavailable:
            return UNKNOWN_AGE
        answer = await self.wait_for_answer(self.node.ask_entry_age(index, limit, self.clock()))
        assert isinstance(answer, AgeBounds)
        return answer

    async def wait_for_answer(self, request_id: int) -> Answer:
        """Waits for the answer to a call."""
        assert self.loop is not None
        future: asyncio.Future[Answer] = self.loop.create_future()
        self.pending_answers[request_id] = future
        self.schedule_turn()
        try:
            return await future
        finally:
            self.pending_answers.pop(request_id, None)

    def status(self) -> dict[str, Any]:
        """The state of this member for operators."""
        node, member = self.node, self.node.member
        return {
            "identity": member.identity,
            "role": member.role.value,
            "term": member.term,
            "leader": member.leader,
            "voters": list(member.members.voters),
            "learners": list(member.members.learners),
            "guests": list(member.members.non_voters),
            "commit": member.commit_index,
            "applied": node.applied_index,
            "first": member.log.first_index,
            "last": member.log.last_index,
            "mute": member.boot_unverified,
            "proven": node.read_confirmed,
            "version": self.state.version,
            "evacuated": sorted(self.state.evacuated),
            "disk": self.disk_error,
            "failed": self.failed,
        }

    # Event loop.

    def schedule_turn(self) -> None:
        """Schedules one turn for everything that arrives in a loop iteration, so that it shares one sync."""
        if not self.turn_scheduled and self.loop is not None:
            self.turn_scheduled = True
            self.loop.call_soon(self.run_turn)

    def tick(self) -> None:
        """The timer fired: recovers after an internal error, retries the disk, runs due timers."""
        self.timer = None
        self.check_disk()
        if self.failed:
            self.recover()
        if not self.unavailable:
            node = self.node
            if not node.read_confirmed and self.startup_read_id not in node.read_deadlines:
                self.startup_read_id = node.confirm_read(STARTUP_READ_TIMEOUT_S, self.clock())
            try:
                node.tick(self.clock())
            except Exception as e:
                self.on_fault(e)
        self.run_turn()

    def run_turn(self) -> None:
        """Stores outputs, sends messages, delivers answers and sets the timer."""
        self.turn_scheduled = False
        if self.closed or self.failed:
            return
        try:
            saved = self.process_outputs()
        except Exception as e:
            self.on_fault(e)
            return
        if not saved:
            return
        self.deliver_answers()
        if self.node.state_changed:
            self.node.state_changed = False
            self.on_applied(self.state)
        self.set_timer(max(self.node.next_tick_at() - self.clock(), 0.0))

    def on_fault(self, error: Exception) -> None:
        """Discards the state in memory after an internal error; the timer reloads it from disk."""
        self.log("register-failed", {"error": repr(error)})
        self.failed, self.unsaved_output = True, None
        self.node.fail_pending()
        self.deliver_answers()
        self.set_timer(RECOVERY_DELAY_S)

    def check_disk(self) -> None:
        """Gives up the state in memory, if the store's file has been removed: it would not last."""
        now = self.clock()
        if self.failed or now - self.disk_checked_at < DISK_CHECK_INTERVAL_S:
            return
        self.disk_checked_at = now
        if self.disk.is_gone():
            self.disk.close()
            self.on_fault(RaftStoreError(f"{self.disk.home / DATABASE_FILE} is gone"))

    def recover(self) -> None:
        """Reloads the node from disk after an internal error."""
        locations = {name: self.node.locations[name] for name in self.node.live_names}
        try:
            self.node = self.load_node()
        except RaftStoreError as e:
            self.log("disk-refuses", {"error": str(e)})
            self.set_timer(RECOVERY_DELAY_S)
            return
        self.failed = False
        self.node.update_peers(locations, self.clock())

    def process_outputs(self) -> bool:
        """Processes all outputs; False if a write failed."""
        node = self.node
        while True:
            output, self.unsaved_output = self.unsaved_output or node.take_output(), None
            if output is None:
                self.send_outbox()
                return True
            if output.must_store and not self.save_output(output):
                return False
            node.on_stored(output, self.clock())
            for event in output.events:
                self.log(event.code, {"member": node.member.identity, "detail": event.detail})
            self.send_outbox()
            snapshot = node.compact_if_due()
            if snapshot is not None:
                try:
                    self.ledger.compact(snapshot)
                except RaftStoreError as e:  # harmless: the log stays longer until the next snapshot
                    self.log("disk-refuses", {"error": str(e)})

    def save_output(self, output: Output) -> bool:
        """Syncs an output to disk; False if the write failed."""
        try:
            self.ledger.save(output)
        except RaftStoreError as e:
            if not self.disk_error:
                self.log("disk-refuses", {"error": str(e)})
            self.unsaved_output, self.disk_error = output, str(e)
            self.node.fail_pending()
            self.deliver_answers()
            self.set_timer(DISK_RETRY_S)
            return False
        if self.disk_error:
            self.log("disk-back", {})
            self.disk_error = ""
        return True

    def send_outbox(self) -> None:
        """Sends all outgoing messages."""
        outbox, self.node.outbox = self.node.outbox, []
        for name, message in outbox:
            self.send(name, message)

    def deliver_answers(self) -> None:
        """Resolves the futures of answered calls."""
        answers, self.node.answers = self.node.answers, []
        for request_id, answer in answers:
            future = self.pending_answers.get(request_id)
            if future is not None and not future.done():
                future.set_result(answer)

    def set_timer(self, delay: float) -> None:
        """Sets the timer to fire within ``delay`` (s); an earlier timer stays."""
        assert self.loop is not None
        when = self.loop.time() + min(max(delay, MIN_TIMER_DELAY_S), 60.0)
        if self.timer is not None:
            if self.timer_at <= when:
                return
            self.timer.cancel()
        self.timer, self.timer_at = self.loop.call_at(when, self.tick), when
