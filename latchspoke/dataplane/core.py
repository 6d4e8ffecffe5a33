"""Request core of the data plane, built on ``latchspoke.core``.

Adds to the base core: a deadline per request, refusals for lack of capacity as well as for a quota, and
authorization by an epoch that is valid only while the configuration lease holds.
"""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from barleyhub import interface as api
from barleyhub.line.dispatch import Dispatcher, NoCapacity, RoutedRequest
from latchspoke.core import Attempt, Client, Core, DecisionLease, Flow, Ports
from latchspoke.dataplane.messages import Request
from latchspoke.reach.recorder import AttemptRecorder


class DataPlaneClient(Client, Protocol):
    """Receives the single final response of a flow."""

    def unavailable(self, retry_after: float | None) -> None:
        """No server could take the request, and it was not executed. ``retry_after`` in seconds."""


class DataPlaneCore(Core):
    """Passes events to the dispatcher and carries out the actions it returns."""

    def __init__(self, dispatcher: Dispatcher, ports: Ports, stats: Counter[str]) -> None:
        super().__init__(dispatcher, ports, stats)  # type: ignore[arg-type]
        self.dispatcher = dispatcher
        self.epoch_provider: EpochProvider | None = None
        self.reach_graph: AttemptRecorder | None = None

    def accept(self, request: api.Request, message: object, client: Client, now: float) -> Flow:
        """Register a fully received request; the caller then calls ``begin``."""
        flow = self.flows[request.request] = Flow(request, message, client, now)
        flow.timer = self.ports.schedule(flow.deadline, lambda when: self.expire(flow, when))
        self.stats["flows.taken"] += 1
        return flow

    def begin(self, flow: Flow, now: float) -> None:
        """Hand the flow to the dispatcher, which may answer it immediately."""
        self.submit(flow.request, now)

    def close(self, flow: Flow) -> None:
        """As ``Core.close``; nothing is sent for the flow any more, so its body is dropped."""
        super().close(flow)
        if isinstance(flow.message, Request):
            flow.message.body = b""

    def end_all(self, now: float, retry_after: float) -> None:
        """Answer all flows now: those that servers may work on fail, the others may be repeated elsewhere."""
        for flow in list(self.flows.values()):
            flow.deadline = now  # nothing is sent for it any more
            if flow.closed:
                continue
            if flow.attempts:
                self.expire(flow, now)
            elif (waiting := self.finish(flow.request.request, "flows.no_room")) is not None:
                waiting.client.unavailable(retry_after)  # type: ignore[attr-defined]
                self.submit(api.Withdrawn(flow.request.request), now)

    def lease_expired(self, flow: Flow) -> bool:
        """Whether the epoch that authorized the flow has expired; checked immediately before sending."""
        if (
            flow.lease is None
            or self.epoch_provider is None
            or self.epoch_provider.now() < flow.lease.expires_at
        ):
            return False
        self.stats["forwards.without_right"] += 1
        return True

    def attempt_ended(
        self, forward: Attempt, code: api.Code, now: float, answer: object = None,
        report: dict[str, float] | None = None,
    ) -> None:  # fmt: skip
        """As ``Core.attempt_ended``; also records the outcome in the reachability graph."""
        request = forward.flow.request
        if (
            self.reach_graph is not None
            and not forward.ended
            and isinstance(request, RoutedRequest)
            and request.route
        ):
            upstream = self.dispatcher.balancer.upstreams.get(forward.target)
            cold = upstream is not None and forward.sent_at < upstream.cold_until
            self.reach_graph.record(
                forward.target, request.route.name, code, now - forward.sent_at, cold, now
            )
        super().attempt_ended(forward, code, now, answer, report)

    def execute(self, action: api.Action, now: float) -> None:
        """As ``Core.execute``; also handles refusals for lack of capacity."""
        if isinstance(action, NoCapacity):
            flow = self.finish(action.request, "flows.no_room")
            if flow is not None:
                flow.client.unavailable(action.retry_after)  # type: ignore[attr-defined]
        else:
            super().execute(action, now)


class EpochProvider(Protocol):
    """Tells whether this gateway may act on tenant keys under the configuration it knows."""

    def now(self) -> float:
        """Current time in seconds, on the clock by which epochs expire."""

    def current_epoch(self) -> DecisionLease | None:
        """The epoch under which tenant keys may be used now, or None."""
