"""Evacuations at a control-plane node: begins or finishes one for each operator's call, and for no retry."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from latchspoke.configstore.config_state import STALE, Verdict
from latchspoke.configstore.entry_ages import AgeBounds
from latchspoke.controlplane.evacuations import CallKind, classify_call
from latchspoke.controlplane.pauses import PauseDetector
from latchspoke.controlplane.store_access import (
    DEFAULT_ACK_TIMEOUT_S,
    NO_QUORUM,
    STORE_TIMEOUT_S,
    Store,
)
from latchspoke.settings.node import Settings
from latchspoke.transport.http_server import Caller, Response

AGE_TIMEOUT_S = 0.4  # for the voters' answers, of which a majority is enough
CALLER_TIMEOUT_S = 1.0  # that a caller waits for an answer
MAX_ATTEMPTS = 3  # a call is classified again when its zone has changed meanwhile
# Before an unclear call is rejected, so that its caller makes fewer and shorter pauses; one that is about to
# be clear is rejected at once, as its caller must come back in time.
UNCLEAR_DELAY_S = 0.5
UNCLEAR_DELAY_UNTIL_S = 2.0  # before it is clear


class EvacuationStore(Store, Protocol):
    """What is used of the replica of the config store."""

    async def entry_age(self, index: int, limit: float) -> AgeBounds:
        """Bounds of the age of a committed entry."""
        ...


class EvacuationController:
    """The evacuations at one control-plane node."""

    def __init__(
        self,
        store: EvacuationStore,
        settings: Settings,
        clock: Callable[[], float],
        pauses: PauseDetector,
        rng: random.Random,
        respond: Callable[[dict[str, Any], Verdict], Awaitable[Response]],
    ) -> None:
        """``respond``: answers the caller of a submitted command."""
        self.store, self.settings, self.clock, self.pauses = store, settings, clock, pauses
        self.rng, self.respond = rng, respond

    async def handle_call(self, zone: str, is_begin: bool, caller: Caller) -> Response:
        """Begin or finish an evacuation.

        A call that may have waited while this process stood still is rejected if its caller has given up by
        now: it may have been carried out and reversed elsewhere.
        """
        if zone not in self.settings.regions_by_zone:
            return 400, {"errorText": f"zone {zone[:60]!r} is not known"}
        arrived_at = self.pauses.earliest_arrival(self.clock())
        if self.clock() - arrived_at >= CALLER_TIMEOUT_S:
            return 503, {"errorText": "this machine stood still: send it again"}
        for _ in range(MAX_ATTEMPTS):
            response = await self.try_call(zone, is_begin, caller, arrived_at)
            if response is not None:
                return response
        return 503, {"errorText": "others are changing the zone: send it again"}

    async def try_call(self, zone: str, is_begin: bool, caller: Caller, arrived_at: float) -> Response | None:
        """The response to a call; None if the zone changed after its classification.

        A quorum read comes first. It also gives time to notice that the caller has closed the connection and
        sent the call elsewhere.
        """
        if await self.store.confirm_read(STORE_TIMEOUT_S) is None:
            return NO_QUORUM
        zone_index, active_count = self.store.state.zone_index(zone), self.store.state.evacuation_count(zone)
        age = await self.last_call_age(zone, is_begin)
        if caller.gone:
            return 503, {"errorText": "the caller has left"}
        kind = classify_call(is_begin, active_count, age, self.clock() - arrived_at, self.ack_s)
        if kind is CallKind.UNCLEAR:
            return await self.reject_unclear(is_begin, active_count, age)
        if kind is CallKind.FIRST and not is_begin:
            return 200, {"standing": 0}  # as confirmed; there is nothing to end
        command = self.command(zone, is_begin, zone_index, active_count if kind is CallKind.ANOTHER else None)
        verdict = await self.store.submit(command, STORE_TIMEOUT_S)
        if verdict.kind == STALE:
            return None
        status, response = await self.respond(command, verdict)
        return status, response | {"standing": self.store.state.evacuation_count(zone)}

    async def last_call_age(self, zone: str, is_begin: bool) -> AgeBounds | None:
        """The age of the last change of a kind, by the voters; None if there was none or nothing stands."""
        index = self.store.state.last_call_index(zone, is_begin)
        if not index or not self.store.state.evacuation_count(zone):
            return None
        return await self.store.entry_age(index, AGE_TIMEOUT_S)

    @property
    def ack_s(self) -> float:
        """The longest time over which a caller repeats a call."""
        return self.settings.bound("ackS", DEFAULT_ACK_TIMEOUT_S)

    def command(
        self, zone: str, is_begin: bool, zone_index: int, expected_count: int | None
    ) -> dict[str, Any]:
        """The command for a call, stale once the zone has changed after ``zone_index``.

        ``expected_count``: of active evacuations, to which it adds one or of which it ends one.
        """
        command: dict[str, Any] = {"do": "evacuate" if is_begin else "restore", "zone": zone}
        if expected_count is not None:
            command["stand"] = expected_count
        return command | {"after": zone_index, "call": f"{self.rng.getrandbits(64):016x}"}

    async def reject_unclear(self, is_begin: bool, active_count: int, age: AgeBounds | None) -> Response:
        """Reject a call that may be a retry of the last one."""
        if age is not None and self.ack_s - age.lower_s > UNCLEAR_DELAY_UNTIL_S:
            await asyncio.sleep(UNCLEAR_DELAY_S)
        what = "begun" if is_begin else "taken back"
        return 503, {
            "errorText": f"an evacuation of it was {what} a moment ago, {active_count} stand: send it again",
            "standing": active_count,
        }
