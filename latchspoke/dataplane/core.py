"""The core of ``latchspoke.core`` for the whole system: its flows, forwards, ports; routes and tenants.

What differs: a request's time comes with it, a refusal may be for want of room as well as for a quota, and
the right to act is the lease on the operator's word.
"""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from barleyhub import interface as api
from barleyhub.line.dispatch import Call, Dispatcher, Full
from latchspoke.core import Client, Core, Epoch, Flow, Forward, Ports
from latchspoke.reach.recorder import AttemptRecorder


class LineClient(Client, Protocol):
    """Where the one final answer of a flow goes."""

    def no_room(self, retry_after: float | None) -> None:
        """It has not run and will not: no server could take it."""


class LineCore(Core):
    """Feeds calls to the dispatcher and carries out its actions."""

    def __init__(self, dispatcher: Dispatcher, ports: Ports, stats: Counter[str]) -> None:
        super().__init__(dispatcher, ports, stats)  # type: ignore[arg-type]
        self.dispatcher = dispatcher
        self.right: Rights | None = None
        self.graph: AttemptRecorder | None = None

    def arrived(self, request: api.Request, message: object, client: Client, now: float) -> Flow:
        """A request has come whole; ``begin`` is to follow."""
        flow = self.flows[request.request] = Flow(request, message, client, now)
        flow.timer = self.ports.schedule(flow.until, lambda late: self.expire(flow, late))
        self.stats["flows.taken"] += 1
        return flow

    def begin(self, flow: Flow, now: float) -> None:
        """Put it to the dispatcher, whose answer may be final already."""
        self.give(flow.request, now)

    def lapsed(self, flow: Flow) -> bool:
        """Whether the right under which it was decided has ended, looked at right before it is sent."""
        if flow.epoch is None or self.right is None or self.right.now() < flow.epoch.until:
            return False
        self.stats["forwards.without_right"] += 1
        return True

    def ended(
        self, forward: Forward, code: api.Code, now: float, answer: object = None,
        report: dict[str, float] | None = None,
    ) -> None:  # fmt: skip
        """As ``Core.ended``; what became of it is noted for who asks which servers requests reach."""
        request = forward.flow.request
        if self.graph is not None and not forward.ended and isinstance(request, Call) and request.route:
            upstream = self.dispatcher.stock.upstreams.get(forward.target)
            cold = upstream is not None and forward.sent_at < upstream.cold_until
            self.graph.record(forward.target, request.route.name, code, now - forward.sent_at, cold, now)
        super().ended(forward, code, now, answer, report)

    def act(self, action: api.Action, now: float) -> None:
        """As ``Core.act``, with refusals for want of room."""
        if isinstance(action, Full):
            flow = self.final(action.request, "flows.no_room")
            if flow is not None:
                flow.client.no_room(action.retry_after)  # type: ignore[attr-defined]
        else:
            super().act(action, now)


class Rights(Protocol):
    """The right to act with keys, under the operator's word as it is known here."""

    def now(self) -> float:
        """The time (s) by which rights end."""

    def epoch(self) -> Epoch | None:
        """The right to act with keys now, or None."""
