"""A tool's view of the whole fleet, as immutable versions that share their unchanged parts.

An agent's listing replaces what was known of its instances. If an agent is unreachable, its instances are
marked as unknown and keep their last known status.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from fnmatch import fnmatchcase

import immutables

from latchspoke.fleet.wire import AgentStatus, InstanceStatus, Listing

UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class InstanceView:
    """One instance with its last status; ``problem`` says why its agent is unreachable, if it is."""

    id: str
    agent: str
    status: InstanceStatus
    received_at: float
    problem: str = ""

    @property
    def state(self) -> str:
        """The last known state, or ``unknown`` while the agent is unreachable."""
        return UNKNOWN if self.problem else self.status.state

    @property
    def available(self) -> bool:
        """Whether it is known to be ready; an unknown state counts as unavailable."""
        return not self.problem and self.status.state == "ready"


@dataclass(frozen=True, slots=True)
class AgentView:
    """One agent with its last status; ``problem`` says why it is unreachable, if it is."""

    name: str
    status: AgentStatus | None
    received_at: float
    problem: str = ""


def empty_instances() -> immutables.Map[str, InstanceView]:
    """Default of ``FleetView.instances``."""
    return immutables.Map()


def empty_agents() -> immutables.Map[str, AgentView]:
    """Default of ``FleetView.agents``."""
    return immutables.Map()


@dataclass(frozen=True, slots=True)
class FleetView:
    """One version of the view; ``with_listing`` and ``with_problem`` return the next one."""

    version: int = 0
    instances: immutables.Map[str, InstanceView] = field(default_factory=empty_instances)
    agents: immutables.Map[str, AgentView] = field(default_factory=empty_agents)

    def with_listing(self, agent: str, listing: Listing, now: float) -> FleetView:
        """Applies an agent's listing; instances missing from it are removed."""
        statuses = {f"{agent}/{status.name}": status for status in listing.instances}
        with self.instances.mutate() as changed:
            for known_id in [known.id for known in self.instances.values() if known.agent == agent]:
                if known_id not in statuses:
                    del changed[known_id]
            for instance_id, status in statuses.items():
                changed[instance_id] = InstanceView(instance_id, agent, status, now)
            instances = changed.finish()
        agent_view = AgentView(agent, listing.agent, now)
        return FleetView(self.version + 1, instances, self.agents.set(agent, agent_view))

    def with_problem(self, agent: str, problem: str) -> FleetView:
        """Marks an agent, and all of its instances, as unreachable."""
        previous = self.agents.get(agent)
        agent_view = AgentView(
            agent, previous.status if previous else None, previous.received_at if previous else 0.0, problem
        )
        with self.instances.mutate() as changed:
            for instance_id, instance in self.instances.items():
                if instance.agent == agent and instance.problem != problem:
                    changed[instance_id] = replace(instance, problem=problem)
            instances = changed.finish()
        return FleetView(self.version + 1, instances, self.agents.set(agent, agent_view))

    def sorted(self) -> list[InstanceView]:
        """All instances, ordered by ID."""
        return sorted(self.instances.values(), key=lambda instance: instance.id)

    def unreachable_agents(self) -> list[AgentView]:
        """Agents with a problem, ordered by name."""
        return sorted((a for a in self.agents.values() if a.problem), key=lambda a: a.name)


@dataclass(frozen=True, slots=True)
class Change:
    """The change of one instance between two versions; None for a version without it."""

    id: str
    old: InstanceView | None
    new: InstanceView | None

    def describe(self) -> str:
        """One line for operators; '' if nothing relevant changed."""
        if self.old is None:
            return f"appeared, {self.new.state if self.new else UNKNOWN}"
        if self.new is None:
            return f"gone, was {self.old.state}"
        parts = [f"{self.old.state} -> {self.new.state}"] if self.old.state != self.new.state else []
        for attribute in ("launch", "version", "settings", "taken_up"):
            old, new = getattr(self.old.status, attribute), getattr(self.new.status, attribute)
            if old != new:
                parts.append(f"{attribute} {old or '-'} -> {new if new is not None else '-'}")
        if self.new.problem and self.old.problem != self.new.problem:
            parts.append(self.new.problem)
        return ", ".join(parts)


def changes(old: FleetView, new: FleetView) -> Iterator[Change]:
    """Yields the changes that matter to an operator; a newer but equal status is none."""
    if old.instances is new.instances:
        return
    for name in sorted({*old.instances, *new.instances}):
        before, after = old.instances.get(name), new.instances.get(name)
        if before is after:
            continue
        change = Change(name, before, after)
        if change.describe():
            yield change


class SelectorError(ValueError):
    """A selector is invalid; the message is one line."""


SELECTOR_KEYS = ("name", "host", "zone", "state", "version")


def select(view: FleetView, selectors: Iterable[str]) -> list[InstanceView]:
    """Returns the instances that match selectors ``KEY=PATTERN[,PATTERN]``, or ``PATTERN`` for names.

    An instance must match one pattern of every given key. Keys are name, host (the agent), zone, state and
    version; patterns are shell globs. A name pattern with a slash matches agent/instance. Without selectors
    all instances match. Raises SelectorError.
    """
    patterns_by_key: dict[str, tuple[str, ...]] = {}
    for selector in selectors:
        key, patterns = parse_selector(selector)
        patterns_by_key[key] = patterns_by_key.get(key, ()) + patterns
    return [
        instance
        for instance in view.sorted()
        if all(matches(instance, key, patterns_by_key[key]) for key in patterns_by_key)
    ]


def parse_selector(selector: str) -> tuple[str, tuple[str, ...]]:
    """Splits a selector into its key and patterns; raises SelectorError."""
    key, separator, pattern_list = selector.partition("=")
    if not separator:
        key, pattern_list = "name", selector
    if key not in SELECTOR_KEYS:
        raise SelectorError(f"no such selector: {key!r}; there are {', '.join(SELECTOR_KEYS)}")
    patterns = tuple(part for part in pattern_list.split(",") if part)
    if not patterns:
        raise SelectorError(f"selector {selector!r} names nothing")
    return key, patterns


def matches(instance: InstanceView, key: str, patterns: tuple[str, ...]) -> bool:
    """Whether any pattern matches the instance under this key."""
    values = {
        "name": (instance.status.name, instance.id),
        "host": (instance.agent,),
        "zone": (instance.status.zone,),
        "state": (instance.state, *instance.state.split("+")),
        "version": (instance.status.version,),
    }[key]
    return any(fnmatchcase(value, pattern) for value in values for pattern in patterns)
