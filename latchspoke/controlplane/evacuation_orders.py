"""Evacuations at a control-plane node: begins or finishes one for each operator's call, and for no retry."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from latchspoke.configstore.config_state import STALE, Verdict
from latchspoke.controlplane.evacuations import CallKind, EvacuationChangeTracker, classify_call
from latchspoke.controlplane.rollouts import NO_QUORUM, Store
from latchspoke.settings.node import Settings
from latchspoke.transport.http_server import Caller, Response

STORE_TIMEOUT_S = 0.85  # for a request to the replicated store
DEFAULT_ACK_TIMEOUT_S = 6.0  # the longest time over which a caller repeats an evacuation call
MAX_ATTEMPTS = 3  # a call is classified again when its zone has changed meanwhile
# Before an unclear call is rejected, so that its caller makes fewer and shorter pauses; one that is about to
# be clear is rejected at once, as its caller must come back in time.
UNCLEAR_DELAY_S = 0.5
UNCLEAR_DELAY_UNTIL_S = 2.0  # before it is clear


class EvacuationController:
    """The evacuations at one control-plane node."""

    def __init__(
        self,
        store: Store,
        settings: Settings,
        clock: Callable[[], float],
        rng: random.Random,
        respond: Callable[[dict[str, Any], Verdict], Awaitable[Response]],
    ) -> None:
        """``respond``: answers the caller of a submitted command."""
        self.store, self.settings, self.clock, self.rng, self.respond = store, settings, clock, rng, respond
        self.tracker = EvacuationChangeTracker(clock())

    async def handle_call(self, zone: str, is_begin: bool, caller: Caller) -> Response:
        """Begin or finish an evacuation.

        A quorum read comes first. It also gives time to notice that the caller has closed the connection and
        sent the call elsewhere: a node that was paused must not apply a call that was reversed meanwhile.
        """
        if zone not in self.settings.regions_by_zone:
            return 400, {"errorText": f"zone {zone[:60]!r} is not known"}
        arrived_at = self.clock()
        for _ in range(MAX_ATTEMPTS):
            response = await self.try_call(zone, is_begin, caller, arrived_at)
            if response is not None:
                return response
        return 503, {"errorText": "others are changing the zone: send it again"}

    async def try_call(self, zone: str, is_begin: bool, caller: Caller, arrived_at: float) -> Response | None:
        """The response to a call; None if the zone changed after its classification."""
        if await self.store.confirm_read(STORE_TIMEOUT_S) is None:
            return NO_QUORUM
        if caller.gone:
            return 503, {"errorText": "the caller has left"}
        kind = self.classify(zone, is_begin, arrived_at)
        if kind is CallKind.UNCLEAR:
            return await self.reject_unclear(zone, is_begin)
        if kind is CallKind.FIRST and not is_begin:
            return 200, {"standing": 0}  # as confirmed; there is nothing to end
        command = self.command(zone, is_begin, kind)
        verdict = await self.store.submit(command, STORE_TIMEOUT_S)
        if verdict.kind == STALE:
            return None
        status, response = await self.respond(command, verdict)
        return status, response | {"standing": self.store.state.evacuation_count(zone)}

    def classify(self, zone: str, is_begin: bool, arrived_at: float) -> CallKind:
        """Classify a call by the confirmed state."""
        state, now = self.store.state, self.clock()
        age = self.tracker.age(zone, is_begin, state, now)
        return classify_call(is_begin, state.evacuation_count(zone), age, now - arrived_at, self.ack_s)

    @property
    def ack_s(self) -> float:
        """The longest time over which a caller repeats a call."""
        return self.settings.bound("ackS", DEFAULT_ACK_TIMEOUT_S)

    def command(self, zone: str, is_begin: bool, kind: CallKind) -> dict[str, Any]:
        """The command for a call; it is stale once the zone has changed after its classification."""
        state = self.store.state
        command: dict[str, Any] = {"do": "evacuate" if is_begin else "restore", "zone": zone}
        if kind is CallKind.ANOTHER:
            command["stand"] = state.evacuation_count(zone)
        return command | {"after": state.zone_index(zone), "call": f"{self.rng.getrandbits(64):016x}"}

    async def reject_unclear(self, zone: str, is_begin: bool) -> Response:
        """Reject a call that may be a retry of the last one."""
        age = self.tracker.age(zone, is_begin, self.store.state, self.clock())
        if age is not None and self.ack_s - age.lower_s > UNCLEAR_DELAY_UNTIL_S:
            await asyncio.sleep(UNCLEAR_DELAY_S)
        what, active_count = "begun" if is_begin else "taken back", self.store.state.evacuation_count(zone)
        return 503, {
            "errorText": f"an evacuation of it was {what} a moment ago, {active_count} stand: send it again",
            "standing": active_count,
        }
