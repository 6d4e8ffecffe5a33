"""Guards taken out of the programs on purpose, and stand-in faults: each rule is shown able to fail."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any
from unittest import mock

import msgspec

from barleyhub.interface import Code
from barleyhub.line import balancer, budget, dispatch, quota
from latchspoke.agent.raft_store import RaftStoreError
from latchspoke.configstore.orders import Orders
from latchspoke.configuration.routes import Route
from latchspoke.controlplane import node as controlplane
from latchspoke.dataplane import downstream, exchange, relay, session_affinity, subscription, upstream
from latchspoke.dataplane import node as dataplane
from latchspoke.dataplane.core import DataPlaneCore
from latchspoke.distribution.board import Lease
from latchspoke.lab.system.machines import Fleet, SimLedger
from latchspoke.lab.system.records import Callers, Trouble
from latchspoke.session_records.verdict import State

Patches = Callable[[], list[Any]]


@dataclass(frozen=True, slots=True)
class Guard:
    """What is taken out, the rule that finds it, and troubles that bring it out."""

    rule: str
    troubles: tuple[Trouble, ...]
    patches: Patches
    load: float = 1.0
    cores: int = 0  # so many control machines; 0: as the deployment has
    seed: int = 1
    callers: Callers | None = None


def on(target: Any, name: str, new: Any) -> Any:
    return mock.patch.object(target, name, new)


def around(target: Any, name: str, make: Callable[[Any], Any]) -> Any:
    return mock.patch.object(target, name, make(getattr(target, name)))


def no_relays() -> Any:
    """Gateways forward nothing between control machines, which would cover what else is taken out."""
    return on(relay.Relay, "handle_message", lambda self, wire, message: None)


def t(at: float, kind: str, **fields: Any) -> Trouble:
    return Trouble(at, kind, **fields)


def all_repeatable(old: Any) -> Any:
    def compiled(doc: Any) -> Any:
        table = old(doc)
        for route in table.routes.values():
            msgspec.structs.force_setattr(route, "repeatable", True)
        return table

    return compiled


def without_extras(old: Any) -> Any:
    def compiled(doc: Any) -> Any:
        kept = [
            item | {"ruleSet": [r for r in item["ruleSet"] if not r["name"].startswith("extra")]}
            for item in doc["listenerList"]
        ]
        return old(doc | {"listenerList": kept})

    return compiled


def only_first(old: Any) -> Any:
    def take(self: Any, now: float) -> None:
        if self.downstream.table is None:
            old(self, now)

    return take


def goes_back(old: Any) -> Any:
    def take(self: Any, now: float) -> None:
        before = self.downstream.table
        old(self, now)
        if before is not None and before is not self.downstream.table:
            self.clock.schedule(now + 1.0, lambda late: setattr(self.downstream, "table", before))

    return take


def ready_only(old: Any) -> Any:
    def take(self: Any, entry: Any, now: float) -> None:
        if not int(entry.state):
            old(self, entry, now)

    return take


def any_base(old: Any) -> Any:
    def configure(self: Any, index: int, command: Any) -> Any:
        return old(
            self,
            index,
            command | {"base": self.version, "version": max(command["version"], self.version + 1)},
        )

    return configure


def read_nothing_wrong(old: Any) -> Any:
    return lambda body, current, version: (old(body, current, version)[0], [])


def first_only(old: Any) -> Any:
    async def configure(self: Any, body: Any) -> Any:
        if self.replica.orders.version:
            return 503, {"errorText": "not now"}
        return await old(self, body)

    return configure


def old_document(old: Any) -> Any:
    async def read(self: Any) -> Any:
        status, doc = await old(self)
        return status, (doc | {"tenants": doc["tenants"][1:]} if status == 200 else doc)

    return read


def spoilt(old: Any) -> Any:
    def write(self: Any, answer: Any) -> None:
        old(
            self, upstream.Response(answer.status, answer.headers, answer.body[:-1] + b"?", answer.attempt_id)
        )

    return write


def raises(old: Any) -> Any:
    def sweep(self: Any, now: float) -> None:
        if self.downstream.request_ids.__reduce__()[1][0] > 40:
            raise RuntimeError("a fault put in")
        old(self, now)

    return sweep


def stays_down(old: Any) -> Any:
    def release(self: Any, machine: Any) -> None:
        if self.record.closing is None:
            old(self, machine)

    return release


def says_saved(old: Any) -> Any:
    def save(self: Any, output: Any) -> None:
        with contextlib.suppress(RaftStoreError):
            old(self, output)

    return save


def elsewhere(old: Any) -> Any:
    def service(self: Any, draw: float) -> str:
        return "orders" if self.name == "reading" else str(old(self, draw))

    return service


async def one_copy(self: Any, entry: Any) -> bool:
    """A second machine is enough, though it may be cut off together with this one."""
    self.number += 1
    number, future = self.number, self.loop.create_future()
    told = self.peers.all({"k": "roster", "e": [entry.wire(self.clock.now())], "n": number})
    self.copies[number] = controlplane.Copies(set(told), 1, future)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(future, controlplane.COPIED)
        return True
    return False


def first_source(self: Any, now: float) -> Any:
    """As before failures were kept by address, and whoever lies beside one that failed came later."""
    if self.source is not None and self.source.address in self.failed_at:
        self.failed_at["", self.source.name] = self.failed_at.pop(self.source.address)

    def order(source: Any) -> tuple[float, bool, int, float]:
        failed = self.failed_at.get(("", source.name), -math.inf)
        near = 0 if source.zone == self.zone else 1 if source.region == self.region else 2
        return failed if now - failed < 5.0 else -math.inf, source.gateway, near, self.rng.random()

    return min(self.sources(), key=order, default=None)


def nowhere(old: Any) -> Any:
    def service(self: Any, draw: float) -> str:
        return "nowhere" if self.name.startswith("extra") else str(old(self, draw))

    return service


def refuses(self: Any, failure: object) -> None:
    self.write_empty_response(503, 0.1)


def leaves_failures(old: Any) -> Any:
    """A failure stays on its client's connection, whatever request is under way there by then."""

    def ended(self: Any, forward: Any, code: Any, now: float, answer: Any = None, report: Any = None) -> None:
        bearer = getattr(forward.flow.client, "connection", None)
        if bearer is not None and answer is not None and code is Code.ERROR:
            bearer.left = answer
        old(self, forward, code, now, answer, report)

    return ended


def hands_on_what_is_left(old: Any) -> Any:
    def failed(self: Any, failure: object) -> None:
        left = getattr(self.connection, "left", None)
        if left is None:
            old(self, failure)
            return
        self.connection.left = None
        self.attempt_id = left.attempt_id  # the last look at whose answer it is is taken out as well
        old(self, left)

    return failed


CHANGES = (t(1.0, "storm", how="move", lasts=4.0, x=0.8),)
LOSSES = (t(0.5, "lost_answers", how="", x=0.5, lasts=12.0),)
GUARDS: dict[str, Guard] = {
    "lease": Guard(
        "CONFIG keys", (t(1.0, "cut", how="edge", count=1, lasts=11.0), t(1.5, "revoke", count=4, x=0.4)),
        lambda: [on(Lease, "until", property(lambda self: math.inf if self.proven_at > 0 else -math.inf))],
    ),
    "cold-allowance": Guard(
        "FAILBACK", (t(3.0, "cold", where="hill"), t(6.0, "cold", where="quay")),
        lambda: [on(balancer.Balancer, "is_cold", lambda self, upstream, now: False)], 3.0,
    ),
    "further-tries": Guard("BUDGET", LOSSES, lambda: [on(budget.RetryBudget, "withdraw", lambda self: True)]),
    "quota": Guard(
        "QUOTA", (t(1.0, "rush", x=6.0, lasts=9.0),),
        lambda: [on(quota.Account, "admission_probability", lambda self, now, *more: 1.0),
                 on(quota.Account, "fits", lambda self, units, now, *more: True)],
    ),
    "drain": Guard(
        "DRAIN", (t(1.0, "shrink", count=2, where="meters"), t(1.5, "shrink", count=2, where="orders")),
        lambda: [around(dataplane.Node, "apply_server", ready_only)],
    ),
    "majority-copies": Guard(
        "DRAIN",
        (t(1.0, "core_cut", how="halves", lasts=11.0),
         *(t(at, "shrink", count=2, where=where)
           for at, where in ((5.2, "meters"), (5.3, "orders"), (6.0, "meters"), (6.1, "orders")))),
        lambda: [on(controlplane.Node, "copied", one_copy),
                 on(controlplane.Node, "cast", lambda self, entry, now: None), no_relays()],
        cores=5, seed=4,
    ),
    "evacuation": Guard(
        "EVAC", (t(1.0, "evacuate", where="hill", lasts=10.0),),
        lambda: [on(balancer.Balancer, "set_evacuated_zones", lambda self, zones, now: None)],
    ),
    "once-only": Guard("TWICE", LOSSES, lambda: [around(dataplane, "compile_table", all_repeatable)]),
    "fate": Guard(
        "EXCHANGE", LOSSES, lambda: [on(session_affinity, "state_of", lambda text: State.NOT_RUN)],
        callers=Callers(20, 0.3),
    ),
    "promise": Guard(
        "REFUSED", LOSSES, lambda: [on(exchange.ClientExchange, "failed", refuses)]
    ),
    "whole-answer": Guard("MIXED", (), lambda: [around(exchange.ClientExchange, "write_response", spoilt)]),
    "own-failure": Guard(
        "MIXED",
        tuple(t(0.5, kind, lasts=9.0, count=4, x=x, how=how, where=where)
              for where in ("meters", "orders")
              for kind, x, how in (("grey", 0.5, "sick"), ("lost_answers", 0.3, ""))),
        lambda: [around(DataPlaneCore, "attempt_ended", leaves_failures),
                 around(exchange.ClientExchange, "failed", hands_on_what_is_left)],
    ),
    "homes": Guard("HOME", (), lambda: [on(dispatch, "allowed_regions", lambda route, tenant: None)]),
    "route": Guard("ROUTE", (), lambda: [around(Route, "service", elsewhere)]),
    "hidden-key": Guard(
        "UNASKED", (),
        lambda: [on(downstream, "REPLACED_HEADERS", downstream.REPLACED_HEADERS - {b"authorization"})],
    ),
    "new-versions": Guard(
        "CONFIG", CHANGES, lambda: [around(dataplane.Node, "apply_configuration", only_first)]
    ),
    "never-back": Guard(
        "CONFIG back", (t(1.0, "change", how="move"),),
        lambda: [around(dataplane.Node, "apply_configuration", goes_back)],
    ),
    "second-source": Guard(
        "CONFIG",
        (t(1.0, "core_cut", how="halves", lasts=11.0), t(1.5, "change", how="move"),
         *(t(at, "many_routes", count=2) for at in (1.2, 2.2, 3.2, 4.2, 5.2, 6.2))),
        lambda: [on(subscription.Subscription, "choose_source", first_source),
                 on(dataplane, "FIRST_PROOF_DIVISOR", 2.5), on(subscription, "MIN_CHECK_INTERVAL_S", 0.8),
                 on(downstream.Downstream, "deny", downstream.Downstream.reject_request), no_relays()],
        cores=5, seed=4,
    ),
    "check": Guard(
        "CONFIG orders", (t(1.0, "invalid", count=3),),
        lambda: [around(controlplane, "read_configuration", read_nothing_wrong)],
    ),
    "base": Guard(
        "CONFIG orders", (t(1.0, "race", count=3),), lambda: [around(Orders, "configure", any_base)]
    ),
    "read-back": Guard("CONFIG read", (), lambda: [around(controlplane.Node, "read", old_document)]),
    "added-routes": Guard(
        "DENIED",
        (t(1.0, "change", how="idle"), t(2.0, "many_routes", count=30), t(3.0, "change", how="timeout")),
        lambda: [around(dataplane, "compile_table", without_extras)],
    ),
    "added-served": Guard(
        "CONFIG added",
        (t(1.0, "many_routes", count=30), *(t(at, "change", how="timeout") for at in (2.0, 4.0, 6.0, 8.0))),
        lambda: [around(Route, "service", nowhere)],
    ),
    "sync": Guard(
        "LOST", (t(3.0, "end_power", lasts=1.0),), lambda: [on(SimLedger, "save", lambda self, output: None)]
    ),
    "full-disk": Guard(
        "LOST",
        (*(t(0.5, "disk_full", where=f"core-{name}", lasts=9.0) for name in ("quay-1", "quay-2", "hill-3")),
         t(2.0, "change", how="timeout"), t(5.0, "end_power", lasts=1.0)),
        lambda: [around(SimLedger, "save", says_saved)],
    ),
    "grace": Guard(
        "LOST", (t(2.0, "term", how="edge", count=2, x=1.0),),
        lambda: [on(dataplane.Node, "stop", lambda self: self.shut_down())],
    ),
    "restart": Guard(
        "RECOVER", (t(3.0, "end_kill", lasts=1.0),), lambda: [around(Fleet, "release", stays_down)]
    ),
    "fault": Guard("FAULT", (), lambda: [around(dataplane.Node, "sweep", raises)]),
    "orders": Guard(
        "ACKS", (t(1.0, "change", how="timeout"),),
        lambda: [around(controlplane.Node, "configure", first_only)],
    ),
}  # fmt: skip


@contextlib.contextmanager
def without(name: str) -> Iterator[None]:
    """Meanwhile this guard is missing; '' takes none."""
    with contextlib.ExitStack() as stack:
        if name:
            for patch in GUARDS[name].patches():
                stack.enter_context(patch)
        yield
