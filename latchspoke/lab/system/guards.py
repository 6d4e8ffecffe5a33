"""Mutations of the programs: each removes a guard or adds a fault that a rule must detect."""

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
from barleyhub.line.versions import RolloutPhase, VersionRouter
from latchspoke.agent.raft_store import RaftStoreError
from latchspoke.configstore.config_state import ConfigState
from latchspoke.configuration.routes import Route
from latchspoke.controlplane import configuration_orders
from latchspoke.controlplane import node as controlplane
from latchspoke.controlplane.configuration_orders import ConfigurationController
from latchspoke.controlplane.rollouts import RolloutController
from latchspoke.dataplane import (
    downstream,
    exchange,
    messages,
    relay,
    session_affinity,
    subscription,
)
from latchspoke.dataplane import node as dataplane
from latchspoke.dataplane.core import DataPlaneCore
from latchspoke.distribution.published_state import Lease
from latchspoke.lab.system.machines import Fleet, SimulatedLedger
from latchspoke.lab.system.scenario import CallerSettings, Trouble
from latchspoke.session_records.decision import ExchangeState
from latchspoke.version_rollouts import judge

Patches = Callable[[], list[Any]]


@dataclass(frozen=True, slots=True)
class Guard:
    """A mutation, the rule that detects it, and the troubles that expose it."""

    rule: str
    troubles: tuple[Trouble, ...]
    patches: Patches
    load: float = 1.0
    cores: int = 0  # number of control-plane nodes; 0: as in the deployment
    seed: int = 1
    callers: CallerSettings | None = None


def patched(target: Any, name: str, new: Any) -> Any:
    return mock.patch.object(target, name, new)


def wrapped(target: Any, name: str, make: Callable[[Any], Any]) -> Any:
    return mock.patch.object(target, name, make(getattr(target, name)))


def only_target_version(candidates: Any) -> Any:
    """All requests go to the target version, whatever the share."""

    def wrapper(self: VersionRouter, service: str, usable: Any, *rest: Any) -> Any:
        candidates(self, service, usable, *rest)
        return [self.groups[service].target, self.groups[service].others]

    return wrapper


def keep_trying_reverted(candidates: Any) -> Any:
    """A version that was reverted still gets its part of the requests."""

    def wrapper(self: VersionRouter, service: str, usable: Any, *rest: Any) -> Any:
        groups = candidates(self, service, usable, *rest)
        reverted = self.rules[service].phase is RolloutPhase.REVERTED
        return [tuple(usable.values())] if reverted else groups

    return wrapper


async def read_without_quorum(self: RolloutController, service: str) -> Any:
    """Answer from the state known here, which may be old."""
    record = self.store.state.rollouts.get(service)
    if record is None:
        return 503, {}
    return 200, {"state": record.state, "targetVersion": record.target_version}


def no_relays() -> Any:
    """Gateways relay nothing between control-plane nodes, which would mask other mutations."""
    return patched(relay.Relay, "handle_message", lambda self, wire, message: None)


def trouble(at: float, kind: str, **fields: Any) -> Trouble:
    return Trouble(at, kind, **fields)


def treat_all_as_repeatable(old: Any) -> Any:
    def compiled(doc: Any) -> Any:
        table = old(doc)
        for route in table.routes.values():
            msgspec.structs.force_setattr(route, "repeatable", True)
        return table

    return compiled


def drop_extra_routes(old: Any) -> Any:
    def compiled(doc: Any) -> Any:
        kept = [
            item | {"ruleSet": [r for r in item["ruleSet"] if not r["name"].startswith("extra")]}
            for item in doc["listenerList"]
        ]
        return old(doc | {"listenerList": kept})

    return compiled


def apply_only_first(old: Any) -> Any:
    def apply(self: Any, now: float) -> None:
        if self.downstream.table is None:
            old(self, now)

    return apply


def revert_after_a_second(old: Any) -> Any:
    def apply(self: Any, now: float) -> None:
        before = self.downstream.table
        old(self, now)
        if before is not None and before is not self.downstream.table:
            self.clock.schedule(now + 1.0, lambda late: setattr(self.downstream, "table", before))

    return apply


def ignore_draining(old: Any) -> Any:
    def apply(self: Any, entry: Any, now: float) -> None:
        if not int(entry.state):
            old(self, entry, now)

    return apply


def ignore_base(old: Any) -> Any:
    def configure(self: Any, index: int, command: Any) -> Any:
        return old(
            self,
            index,
            command | {"base": self.version, "version": max(command["version"], self.version + 1)},
        )

    return configure


def ignore_problems(old: Any) -> Any:
    return lambda body, current, version: (old(body, current, version)[0], [])


def accept_only_first(old: Any) -> Any:
    async def configure(self: Any, body: Any) -> Any:
        if self.store.state.version:
            return 503, {"errorText": "not now"}
        return await old(self, body)

    return configure


def omit_first_tenant(old: Any) -> Any:
    async def read(self: Any) -> Any:
        status, doc = await old(self)
        return status, (doc | {"tenants": doc["tenants"][1:]} if status == 200 else doc)

    return read


def corrupt_body(old: Any) -> Any:
    def write(self: Any, answer: Any) -> None:
        old(
            self, messages.Response(answer.status, answer.headers, answer.body[:-1] + b"?", answer.attempt_id)
        )

    return write


def raise_in_sweep(old: Any) -> Any:
    def sweep(self: Any, now: float) -> None:
        if self.downstream.request_ids.__reduce__()[1][0] > 40:
            raise RuntimeError("a fault put in")
        old(self, now)

    return sweep


def never_restart(old: Any) -> Any:
    def release(self: Any, machine: Any) -> None:
        if self.record.final_fault is None:
            old(self, machine)

    return release


def ignore_save_errors(old: Any) -> Any:
    def save(self: Any, output: Any) -> None:
        with contextlib.suppress(RaftStoreError):
            old(self, output)

    return save


def route_elsewhere(old: Any) -> Any:
    def service(self: Any, draw: float) -> str:
        return "orders" if self.name == "reading" else str(old(self, draw))

    return service


async def replicate_to_one(self: Any, entry: Any) -> bool:
    """One replica is enough, although it may be partitioned together with this node."""
    self.replication_number += 1
    number, future = self.replication_number, self.loop.create_future()
    sent_to = self.peers.broadcast({"k": "roster", "e": [entry.to_message(self.clock.now())], "n": number})
    self.pending_replications[number] = controlplane.PendingReplication(set(sent_to), 1, future)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(future, controlplane.REPLICATION_TIMEOUT_S)
        return True
    return False


def choose_by_name(self: Any, now: float) -> Any:
    """Failures are kept by name instead of address."""
    if self.source is not None and self.source.address in self.failed_at:
        self.failed_at["", self.source.name] = self.failed_at.pop(self.source.address)

    def sort_key(source: Any) -> tuple[float, bool, int, float]:
        last_failure = self.failed_at.get(("", source.name), -math.inf)
        distance = 0 if source.zone == self.zone else 1 if source.region == self.region else 2
        return (
            last_failure if now - last_failure < 5.0 else -math.inf,
            source.gateway,
            distance,
            self.rng.random(),
        )

    return min(self.sources(), key=sort_key, default=None)


def route_nowhere(old: Any) -> Any:
    def service(self: Any, draw: float) -> str:
        return "nowhere" if self.name.startswith("extra") else str(old(self, draw))

    return service


def answer_503(self: Any, failure: object) -> None:
    self.write_empty_response(503, 0.1)


def keep_failures(old: Any) -> Any:
    """A failure response stays on its client connection, whatever request is in flight there later."""

    def ended(self: Any, forward: Any, code: Any, now: float, answer: Any = None, report: Any = None) -> None:
        connection = getattr(forward.flow.client, "connection", None)
        if connection is not None and answer is not None and code is Code.ERROR:
            connection.left = answer
        old(self, forward, code, now, answer, report)

    return ended


def deliver_kept_failure(old: Any) -> Any:
    def failed(self: Any, failure: object) -> None:
        kept = getattr(self.connection, "left", None)
        if kept is None:
            old(self, failure)
            return
        self.connection.left = None
        self.attempt_id = kept.attempt_id  # also bypasses the final check of the attempt ID
        old(self, kept)

    return failed


CHANGES = (trouble(1.0, "storm", how="move", lasts=4.0, x=0.8),)
LOSSES = (trouble(0.5, "lost_answers", how="", x=0.5, lasts=12.0),)
GUARDS: dict[str, Guard] = {
    "lease": Guard(
        "CONFIG keys",
        (trouble(1.0, "cut", how="edge", count=1, lasts=11.0), trouble(1.5, "revoke", count=4, x=0.4)),
        lambda: [
            patched(Lease, "expires_at", property(lambda self: math.inf if self.proven_at > 0 else -math.inf))
        ],
    ),
    "cold-allowance": Guard(
        "FAILBACK",
        (trouble(3.0, "cold", where="hill"), trouble(6.0, "cold", where="quay")),
        lambda: [patched(balancer.Balancer, "is_cold", lambda self, upstream, now: False)],
        3.0,
    ),
    "further-tries": Guard(
        "BUDGET", LOSSES, lambda: [patched(budget.RetryBudget, "withdraw", lambda self: True)]
    ),
    "quota": Guard(
        "QUOTA",
        (trouble(1.0, "rush", x=6.0, lasts=9.0),),
        lambda: [
            patched(quota.Account, "admission_probability", lambda self, now, *more: 1.0),
            patched(quota.Account, "fits", lambda self, units, now, *more: True),
        ],
    ),
    "drain": Guard(
        "DRAIN",
        (trouble(1.0, "shrink", count=2, where="meters"), trouble(1.5, "shrink", count=2, where="orders")),
        lambda: [wrapped(dataplane.Node, "apply_server", ignore_draining)],
    ),
    "majority-copies": Guard(
        "DRAIN",
        (
            trouble(1.0, "core_cut", how="halves", lasts=11.0),
            *(
                trouble(at, "shrink", count=2, where=where)
                for at, where in ((5.2, "meters"), (5.3, "orders"), (6.0, "meters"), (6.1, "orders"))
            ),
        ),
        lambda: [
            patched(controlplane.Node, "replicate", replicate_to_one),
            patched(controlplane.Node, "broadcast_to_gateways", lambda self, entry, now: None),
            no_relays(),
        ],
        cores=5,
        seed=4,
    ),
    "evacuation": Guard(
        "EVAC",
        (trouble(1.0, "evacuate", where="hill", lasts=10.0),),
        lambda: [patched(balancer.Balancer, "set_evacuated_zones", lambda self, zones, now: None)],
    ),
    "once-only": Guard(
        "TWICE", LOSSES, lambda: [wrapped(dataplane, "compile_table", treat_all_as_repeatable)]
    ),
    "fate": Guard(
        "EXCHANGE",
        LOSSES,
        lambda: [patched(session_affinity, "parse_exchange_state", lambda text: ExchangeState.NOT_RUN)],
        callers=CallerSettings(20, 0.3),
    ),
    "promise": Guard("REFUSED", LOSSES, lambda: [patched(exchange.ClientExchange, "failed", answer_503)]),
    "whole-answer": Guard(
        "MIXED", (), lambda: [wrapped(exchange.ClientExchange, "write_response", corrupt_body)]
    ),
    "own-failure": Guard(
        "MIXED",
        tuple(
            trouble(0.5, kind, lasts=9.0, count=4, x=x, how=how, where=where)
            for where in ("meters", "orders")
            for kind, x, how in (("grey", 0.5, "sick"), ("lost_answers", 0.3, ""))
        ),
        lambda: [
            wrapped(DataPlaneCore, "attempt_ended", keep_failures),
            wrapped(exchange.ClientExchange, "failed", deliver_kept_failure),
        ],
    ),
    "homes": Guard("HOME", (), lambda: [patched(dispatch, "allowed_regions", lambda route, tenant: None)]),
    "route": Guard("ROUTE", (), lambda: [wrapped(Route, "service", route_elsewhere)]),
    "hidden-key": Guard(
        "UNASKED",
        (),
        lambda: [patched(downstream, "REPLACED_HEADERS", downstream.REPLACED_HEADERS - {b"authorization"})],
    ),
    "new-versions": Guard(
        "CONFIG", CHANGES, lambda: [wrapped(dataplane.Node, "apply_configuration", apply_only_first)]
    ),
    "never-back": Guard(
        "CONFIG back",
        (trouble(1.0, "change", how="move"),),
        lambda: [wrapped(dataplane.Node, "apply_configuration", revert_after_a_second)],
    ),
    "second-source": Guard(
        "CONFIG",
        (
            trouble(1.0, "core_cut", how="halves", lasts=11.0),
            trouble(1.5, "change", how="move"),
            *(trouble(at, "many_routes", count=2) for at in (1.2, 2.2, 3.2, 4.2, 5.2, 6.2)),
        ),
        lambda: [
            patched(subscription.Subscription, "choose_source", choose_by_name),
            patched(dataplane, "FIRST_PROOF_DIVISOR", 2.5),
            patched(subscription, "MIN_CHECK_INTERVAL_S", 0.8),
            patched(downstream.Downstream, "deny", downstream.Downstream.reject_request),
            no_relays(),
        ],
        cores=5,
        seed=4,
    ),
    "check": Guard(
        "CONFIG orders",
        (trouble(1.0, "invalid", count=3),),
        lambda: [wrapped(configuration_orders, "parse_configuration", ignore_problems)],
    ),
    "base": Guard(
        "CONFIG orders",
        (trouble(1.0, "race", count=3),),
        lambda: [wrapped(ConfigState, "change_configuration", ignore_base)],
    ),
    "read-back": Guard(
        "CONFIG read",
        (),
        lambda: [wrapped(ConfigurationController, "handle_read", omit_first_tenant)],
    ),
    "added-routes": Guard(
        "DENIED",
        (
            trouble(1.0, "change", how="idle"),
            trouble(2.0, "many_routes", count=30),
            trouble(3.0, "change", how="timeout"),
        ),
        lambda: [wrapped(dataplane, "compile_table", drop_extra_routes)],
    ),
    "added-served": Guard(
        "CONFIG added",
        (
            trouble(1.0, "many_routes", count=30),
            *(trouble(at, "change", how="timeout") for at in (2.0, 4.0, 6.0, 8.0)),
        ),
        lambda: [wrapped(Route, "service", route_nowhere)],
    ),
    "sync": Guard(
        "LOST",
        (trouble(3.0, "end_power", lasts=1.0),),
        lambda: [patched(SimulatedLedger, "save", lambda self, output: None)],
    ),
    "full-disk": Guard(
        "LOST",
        (
            *(
                trouble(0.5, "disk_full", where=f"core-{name}", lasts=9.0)
                for name in ("quay-1", "quay-2", "hill-3")
            ),
            trouble(2.0, "change", how="timeout"),
            trouble(5.0, "end_power", lasts=1.0),
        ),
        lambda: [wrapped(SimulatedLedger, "save", ignore_save_errors)],
    ),
    "grace": Guard(
        "LOST",
        (trouble(2.0, "term", how="edge", count=2, x=1.0),),
        lambda: [patched(dataplane.Node, "stop", lambda self: self.shut_down())],
    ),
    "restart": Guard(
        "RECOVER", (trouble(3.0, "end_kill", lasts=1.0),), lambda: [wrapped(Fleet, "release", never_restart)]
    ),
    "fault": Guard("FAULT", (), lambda: [wrapped(dataplane.Node, "sweep", raise_in_sweep)]),
    "trial": Guard(
        "EXPOSURE",
        (trouble(0.5, "new_version", lasts=10.0, x=0.9, how="errors", where="meters"),),
        lambda: [
            wrapped(VersionRouter, "candidates", only_target_version),
            patched(judge, "find_fault", lambda totals, recent: None),
        ],
    ),
    "withdrawn": Guard(
        "ROUTE version",
        (trouble(0.5, "new_version", lasts=10.0, x=0.9, how="errors", where="meters"),),
        lambda: [
            wrapped(VersionRouter, "candidates", keep_trying_reverted),
            patched(VersionRouter, "is_withdrawn", lambda self, upstream, now: False),
        ],
    ),
    "read-quorum": Guard(
        "LOST rollout",
        (
            trouble(0.5, "new_version", lasts=10.0, x=0.9, how="errors", where="meters"),
            trouble(1.0, "core_cut", lasts=9.0, how="off", where="core-hill-3"),
        ),
        lambda: [patched(RolloutController, "handle_read", read_without_quorum), no_relays()],
    ),
    "orders": Guard(
        "ACKS",
        (trouble(1.0, "change", how="timeout"),),
        lambda: [wrapped(ConfigurationController, "change_configuration", accept_only_first)],
    ),
}


@contextlib.contextmanager
def without_guard(name: str) -> Iterator[None]:
    """Remove this guard for the duration of the context; '' removes none."""
    with contextlib.ExitStack() as stack:
        if name:
            for patch in GUARDS[name].patches():
                stack.enter_context(patch)
        yield
