"""Environment of a roll-out on a live system, and the text output of its events."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from returns.result import Failure, Result, Success

from latchspoke.configuration import Document, Fault
from latchspoke.ctl import file_checks
from latchspoke.ctl.client import ControlPlaneClient, Reply
from latchspoke.rollouts import plan as plans
from latchspoke.rollouts.engine import CommandResult, Event, current_share, target_latency
from latchspoke.rollouts.evidence import Evidence, aggregate, available_servers
from latchspoke.rollouts.plan import Plan

# Maps a control-plane node's view and a request target to the answer of each gateway.
GatewayQuery = Callable[[Any, str], Mapping[str, Any]]


def parse_plan(data: bytes) -> Result[Plan, list[Fault]]:
    """Parse a plan in YAML or JSON."""
    import yaml

    try:
        document = yaml.load(data, getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as e:
        return Failure([Fault("", f"not valid YAML: {' '.join(str(e).split())}")])
    plan, faults = plans.read_plan(document)
    return Success(plan) if plan is not None else Failure(faults)


def check_plan(plan: Plan, doc: Document) -> list[Fault]:
    """Reasons why the plan does not fit the configuration."""
    share = current_share(doc, plan)
    if isinstance(share, str):
        return [Fault("", share)]
    if plan.old_service not in {cluster["name"] for cluster in doc["clusterList"]}:
        return [Fault("from", f"there is no service {plan.old_service!r:.60}")]
    return []


@dataclass(slots=True)
class LiveEnvironment:
    """Environment of a roll-out that calls the control plane and the gateways."""

    plan: Plan
    control: ControlPlaneClient
    query_gateways: GatewayQuery
    clock: Callable[[], float] = lambda: time.monotonic()
    sleep: Callable[[float], None] = lambda s: time.sleep(s)
    target_latency_s: float | None = None

    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.clock()

    def wait(self, until: float) -> None:
        """Sleep until this time."""
        self.sleep(max(until - self.clock(), 0.0))

    def read_configuration(self) -> Document | str:
        """The current configuration, or why it could not be read."""
        match self.control.call("POST", "/rpc?call=configuration.read"):
            case Success(Reply(status=200) as reply):
                match file_checks.configuration(reply.raw):
                    case Success(doc):
                        configuration: Document = doc
                        self.target_latency_s = target_latency(configuration, self.plan.route)
                        return configuration
                    case Failure(faults):
                        return f"the current configuration is invalid: {faults[0]}"
            case Success(Reply() as reply):
                return f"{reply.source}: {reply.reason}"
            case Failure(fault):
                return f"no control-plane node answers: {fault}"
        raise AssertionError

    def submit_patch(self, patch: dict[str, Any]) -> tuple[CommandResult, str]:
        """Submit the patch, with retries."""
        match self.control.call("POST", "/rpc?call=configuration.modify", json.dumps(patch).encode()):
            case Success(Reply(status=200)):
                return CommandResult.ACCEPTED, ""
            case Success(Reply(status=412) as reply):
                return CommandResult.CONFLICT, reply.reason
            case Success(Reply() as reply):
                return CommandResult.REJECTED, f"{reply.source}: {reply.reason}"
            case Failure(fault):
                return CommandResult.UNKNOWN, str(fault)
        raise AssertionError

    def collect_evidence(self, window_s: float) -> Evidence | None:
        """The gateways' counts of the last ``window_s`` seconds, and the available servers."""
        match self.control.call("GET", "/status"):
            case Success(Reply(status=200) as reply):
                status = reply.body
                evidence = aggregate(
                    self.query_gateways(status, f"/reach?since={window_s:g}"),
                    self.plan.route,
                    self.target_latency_s,
                )
                return replace(evidence, available_servers=available_servers(status))
        return None


def format_event(event: Event) -> str:
    """An event as one line of key=value pairs."""
    fields = (f"{key}={quote_value(value)}" for key, value in event.fields.items())
    return f"event=rollout-{event.code} {' '.join(fields)}"


def quote_value(value: Any) -> str:
    """The value as text, quoted if needed."""
    text = f"{value:g}" if isinstance(value, float) else str(value)
    return json.dumps(text) if not text or any(c in ' "=' for c in text) else text


def describe_start(plan: Plan, share: float) -> str:
    """The current split of the route and the steps of the plan."""
    steps = ", ".join(f"{step:g}%" for step in plan.steps)
    return (
        f"{plan.route}: {plan.new_service} has {share:g}%, {plan.old_service} the rest;"
        f" the plan's steps: {steps}"
    )
