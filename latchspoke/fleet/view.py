"""The whole fleet as one tool sees it: a persistent map, so that old versions cost next to nothing.

What an agent told replaces what was known of its instances. What an agent did *not* tell changes one
thing only: since when its instances are unknown; the last that was known stays beside it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from fnmatch import fnmatchcase

import immutables

from latchspoke.fleet.wire import AgentStatus, InstanceStatus, Listing

UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Seen:
    """One instance: ``status`` as last told at ``heard_at``; ``problem`` where its agent is not heard now."""

    id: str
    agent: str
    status: InstanceStatus
    heard_at: float
    problem: str = ""

    @property
    def state(self) -> str:
        return UNKNOWN if self.problem else self.status.state

    @property
    def available(self) -> bool:
        """Only what is known to serve counts; unknown counts as unavailable."""
        return not self.problem and self.status.state == "ready"


@dataclass(frozen=True, slots=True)
class AgentSeen:
    """One agent: what it last said of itself, or why it is not heard."""

    name: str
    status: AgentStatus | None
    heard_at: float
    problem: str = ""


def no_instances() -> immutables.Map[str, Seen]:
    return immutables.Map()


def no_agents() -> immutables.Map[str, AgentSeen]:
    return immutables.Map()


@dataclass(frozen=True, slots=True)
class FleetView:
    """One version; ``told`` and ``unheard`` make the next."""

    version: int = 0
    instances: immutables.Map[str, Seen] = field(default_factory=no_instances)
    agents: immutables.Map[str, AgentSeen] = field(default_factory=no_agents)

    def told(self, agent: str, listing: Listing, now: float) -> FleetView:
        """An agent has answered. Instances that it no longer has are no longer there."""
        ids = {f"{agent}/{status.name}": status for status in listing.instances}
        with self.instances.mutate() as changed:
            for old in [seen.id for seen in self.instances.values() if seen.agent == agent]:
                if old not in ids:
                    del changed[old]
            for name, status in ids.items():
                changed[name] = Seen(name, agent, status, now)
            instances = changed.finish()
        seen = AgentSeen(agent, listing.agent, now)
        return FleetView(self.version + 1, instances, self.agents.set(agent, seen))

    def unheard(self, agent: str, problem: str) -> FleetView:
        """An agent has not answered, or not so that it can be understood."""
        old = self.agents.get(agent)
        seen = AgentSeen(agent, old.status if old else None, old.heard_at if old else 0.0, problem)
        with self.instances.mutate() as changed:
            for name, known in self.instances.items():
                if known.agent == agent and known.problem != problem:
                    changed[name] = replace(known, problem=problem)
            instances = changed.finish()
        return FleetView(self.version + 1, instances, self.agents.set(agent, seen))

    def sorted(self) -> list[Seen]:
        return sorted(self.instances.values(), key=lambda seen: seen.id)

    def silent_agents(self) -> list[AgentSeen]:
        return sorted((a for a in self.agents.values() if a.problem), key=lambda a: a.name)


@dataclass(frozen=True, slots=True)
class Change:
    """What became of one instance between two versions; None where it was not there."""

    id: str
    old: Seen | None
    new: Seen | None

    def words(self) -> str:
        if self.old is None:
            return f"appeared, {self.new.state if self.new else UNKNOWN}"
        if self.new is None:
            return f"gone, was {self.old.state}"
        parts = [f"{self.old.state} -> {self.new.state}"] if self.old.state != self.new.state else []
        for what in ("launch", "version", "settings", "taken_up"):
            old, new = getattr(self.old.status, what), getattr(self.new.status, what)
            if old != new:
                parts.append(f"{what} {old or '-'} -> {new if new is not None else '-'}")
        if self.new.problem and self.old.problem != self.new.problem:
            parts.append(self.new.problem)
        return ", ".join(parts)


def changes(old: FleetView, new: FleetView) -> Iterator[Change]:
    """What a person should hear of; a status that only got older is no change."""
    if old.instances is new.instances:
        return
    for name in sorted({*old.instances, *new.instances}):
        before, after = old.instances.get(name), new.instances.get(name)
        if before is after:
            continue
        change = Change(name, before, after)
        if change.words():
            yield change


class SelectorError(ValueError):
    """A selector can't be read; the text is one line."""


KEYS = ("name", "host", "zone", "state", "version")


def select(view: FleetView, words: Iterable[str]) -> list[Seen]:
    """Those that fit: words are ``KEY=PATTERN[,PATTERN]``, or a bare pattern for names.

    Of one key any pattern may fit; of several keys all must.
    Keys are name, host (the agent), zone, state and version; patterns are the shell's. A name pattern
    with a slash stands for agent/instance. No words select all.
    """
    tests: dict[str, tuple[str, ...]] = {}
    for word in words:
        key, patterns = read_selector(word)
        tests[key] = tests.get(key, ()) + patterns
    return [seen for seen in view.sorted() if all(fits(seen, key, tests[key]) for key in tests)]


def read_selector(word: str) -> tuple[str, tuple[str, ...]]:
    key, sign, text = word.partition("=")
    if not sign:
        key, text = "name", word
    if key not in KEYS:
        raise SelectorError(f"no such selector: {key!r}; there are {', '.join(KEYS)}")
    patterns = tuple(part for part in text.split(",") if part)
    if not patterns:
        raise SelectorError(f"selector {word!r} names nothing")
    return key, patterns


def fits(seen: Seen, key: str, patterns: tuple[str, ...]) -> bool:
    values = {
        "name": (seen.status.name, seen.id),
        "host": (seen.agent,),
        "zone": (seen.status.zone,),
        "state": (seen.state, *seen.state.split("+")),
        "version": (seen.status.version,),
    }[key]
    return any(fnmatchcase(value, pattern) for value in values for pattern in patterns)
