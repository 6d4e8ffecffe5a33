"""Version rollouts at a control-plane node: the operator's calls, and the judgement at the leader.

Each node collects the reports of the gateways that follow it and passes them to the leader of the replicated
log, which judges each rollout and submits the next step. A step names the rollout that it is for and is
refused once that has ended, so that a deposed leader can't override its successor.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Collection, Coroutine
from typing import Any

import msgspec

from latchspoke.configstore.config_state import ConfigState, Verdict
from latchspoke.controlplane.store_access import (
    DEFAULT_ACK_TIMEOUT_S,
    NO_QUORUM,
    STORE_TIMEOUT_S,
    Store,
)
from latchspoke.settings.node import Settings
from latchspoke.transport.connection import Message
from latchspoke.transport.http_server import Caller, Response
from latchspoke.transport.log import log
from latchspoke.version_rollouts.formatting import rollout_view
from latchspoke.version_rollouts.judge import Advance, Decision, ExposureBound, RolloutJudge
from latchspoke.version_rollouts.records import (
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    advance_command,
    begin_command,
    end_command,
    parse_order,
)
from latchspoke.version_rollouts.samples import GatewayReport, SamplePool

DEFAULT_EXPOSURE_SHARE = 0.1
DEFAULT_EXPOSURE_SLACK = 50.0
RESEND_INTERVAL_S = 2.0  # all reports are passed on again, as a message may be lost


class RolloutController:
    """The rollouts at one control-plane node."""

    def __init__(
        self,
        store: Store,
        settings: Settings,
        clock: Callable[[], float],
        send_to_peer: Callable[[str, Message], None],
        live_gateways: Callable[[], Collection[str]],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        respond: Callable[[dict[str, Any], Verdict], Awaitable[Response]],
    ) -> None:
        """``live_gateways``: their names; ``respond``: answers the caller of a submitted command."""
        self.store, self.settings, self.clock = store, settings, clock
        self.send_to_peer, self.live_gateways, self.spawn = send_to_peer, live_gateways, spawn
        self.respond = respond
        self.exposure = ExposureBound(
            settings.bound("exposureShare", DEFAULT_EXPOSURE_SHARE),
            settings.bound("exposureSlack", DEFAULT_EXPOSURE_SLACK),
        )
        self.pools: dict[str, SamplePool] = {}  # by service, of unfinished rollouts
        self.judges: dict[str, RolloutJudge] = {}  # by service, at the leader
        self.known_since: dict[int, float] = {}  # by rollout ID, by the clock of this process
        self.submitting: set[str] = set()  # services with a step under way
        self.leader_name = ""  # at the last tick
        self.resent_at = -math.inf

    # The operator's calls.

    async def handle_begin(self, body: bytes, caller: Caller) -> Response:
        """Begin a rollout, or acknowledge one that this very order has begun."""
        try:
            order = parse_order(msgspec.json.decode(body))
        except (msgspec.DecodeError, ValueError) as error:
            return 400, {"errorText": str(error)}
        if await self.store.confirm_read(STORE_TIMEOUT_S) is None:
            return NO_QUORUM
        if caller.gone:
            return 503, {"errorText": "the caller has left"}
        if fault := self.unknown_service(order):
            return fault
        record = self.store.state.rollouts.get(order.service)
        if record is not None and self.is_repeat(order, record):
            return 200, {"state": record.state, "targetVersion": record.target_version}
        previous_id = record.rollout_id if record is not None else 0
        command = begin_command(order, previous_id, self.exposure.trial_share())
        return await self.respond(command, await self.store.submit(command, STORE_TIMEOUT_S))

    def unknown_service(self, order: RolloutOrder) -> Response | None:
        """The refusal of an order for a service that the configuration does not have."""
        document = self.store.state.document
        if document is None:
            return 503, {"errorText": "there is no configuration yet"}
        if order.service not in {service["name"] for service in document["clusterList"]}:
            return 400, {"errorText": f"service {order.service!r:.60} is not known"}
        return None

    def is_repeat(self, order: RolloutOrder, record: RolloutRecord) -> bool:
        """Whether the order has begun this rollout, rather than being a new one after its end."""
        if record.state is RolloutState.COMPLETED:
            return record.target_version == order.target_version
        if not record.matches(order):
            return False
        ack_s = self.settings.bound("ackS", DEFAULT_ACK_TIMEOUT_S)
        return record.in_progress or self.clock() - self.known_since_of(record) < ack_s

    async def handle_read(self, service: str) -> Response:
        """The state of a service's newest rollout."""
        if await self.store.confirm_read(STORE_TIMEOUT_S) is None:
            return NO_QUORUM
        record = self.store.state.rollouts.get(service)
        if record is None:
            return 404, {"errorText": f"there was no rollout of {service[:60]!r}"}
        return 200, {"state": record.state, "targetVersion": record.target_version}

    async def handle_revert(self, service: str) -> Response:
        """Revert an unfinished rollout on an operator's order."""
        if await self.store.confirm_read(STORE_TIMEOUT_S) is None:
            return NO_QUORUM
        record = self.store.state.rollouts.get(service)
        if record is None:
            return 404, {"errorText": f"there was no rollout of {service[:60]!r}"}
        command = end_command(service, record.rollout_id, RolloutState.REVERTED, "ordered by an operator")
        return await self.respond(command, await self.store.submit(command, STORE_TIMEOUT_S))

    def view(self) -> dict[str, dict[str, Any]]:
        """All rollouts by service, for operators."""
        now = self.clock()
        return {
            service: rollout_view(record, self.pools.get(service), now)
            for service, record in self.store.state.rollouts.items()
        }

    # Committed state.

    def record_applied(self, state: ConfigState) -> None:
        """The store has applied commands: follow the unfinished rollouts."""
        for service, record in state.rollouts.items():
            self.known_since_of(record)
            if not record.in_progress:
                self.pools.pop(service, None)
                self.judges.pop(service, None)
            elif service not in self.pools or self.pools[service].rollout_id != record.rollout_id:
                self.pools[service] = SamplePool(record.rollout_id)
        current = {record.rollout_id for record in state.rollouts.values()}
        self.known_since = {key: since for key, since in self.known_since.items() if key in current}

    def known_since_of(self, record: RolloutRecord) -> float:
        """When this process learned of the rollout."""
        return self.known_since.setdefault(record.rollout_id, self.clock())

    # Samples.

    def handle_report(self, message: Message) -> None:
        """A gateway that follows this node reports. Raises msgspec.ValidationError."""
        self.merge(msgspec.convert(message["r"], GatewayReport))

    def handle_reports(self, message: Message) -> None:
        """Another control-plane node passes on reports. Raises msgspec.ValidationError."""
        for report in msgspec.convert(message["g"], list[GatewayReport]):
            self.merge(report)

    def merge(self, report: GatewayReport) -> None:
        """Add a report to the pool of its rollout, if that is unfinished."""
        pool = self.pools.get(report.service)
        if pool is not None:
            pool.merge(report, self.clock())

    def tick(self, now: float) -> None:
        """Periodic work: judge the rollouts as the leader, else pass the reports on to it."""
        if not self.pools:
            return
        leader = self.store.leader_name
        if leader != self.leader_name or now - self.resent_at >= RESEND_INTERVAL_S:
            self.leader_name, self.resent_at = leader, now
            for pool in self.pools.values():
                pool.resend_all()
        if self.store.is_leader:
            self.judge_all(now)
        elif leader:
            self.judges.clear()
            self.pass_on(leader)

    def pass_on(self, leader: str) -> None:
        """Send the leader the reports that it may not have."""
        for pool in self.pools.values():
            if reports := pool.take_unsent():
                self.send_to_peer(leader, {"k": "rollouts", "g": msgspec.to_builtins(reports)})

    def judge_all(self, now: float) -> None:
        """Decide on each unfinished rollout that has no step under way."""
        gateways = self.live_gateways()
        for service, pool in self.pools.items():
            record = self.store.state.rollouts[service]
            judge = self.judges.get(service)
            if judge is None or judge.rollout_id != record.rollout_id:
                judge = self.judges[service] = RolloutJudge(record, self.exposure)
            elapsed_s = max(now - self.known_since_of(record), pool.age(now))
            if service not in self.submitting and record.in_progress:
                decision = judge.decide(record, pool, gateways, elapsed_s, now)
                if decision is not None:
                    self.submitting.add(service)
                    self.spawn(self.submit(service, record, decision, elapsed_s))

    async def submit(self, service: str, record: RolloutRecord, decision: Decision, elapsed_s: float) -> None:
        """Submit the next step of a rollout."""
        if isinstance(decision, Advance):
            command = advance_command(service, record.rollout_id, decision.share)
        else:
            command = end_command(service, record.rollout_id, decision.state, decision.reason)
        try:
            verdict = await self.store.submit(command, STORE_TIMEOUT_S)
            log(
                "rollout-step", service=service, rollout=record.rollout_id, elapsed=round(elapsed_s, 2),
                what=command["do"], share=command.get("share", ""), state=command.get("state", ""),
                why=decision.reason, verdict=verdict.kind,
            )  # fmt: skip
        finally:
            self.submitting.discard(service)
