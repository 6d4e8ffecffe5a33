"""Model of the shared counter: names are hashed to shards of limited capacity, and totals expire."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

MAX_LIFETIME_S = 60.0
EXPIRY_INTERVAL_CALLS = 4096


@dataclass(frozen=True, slots=True)
class CounterSettings:
    """``capacity`` is in calls a second over all shards; ``call_time`` (s) is added to the queueing time."""

    shards: int = 2
    capacity: float = 650.0
    call_time: float = 0.001


@dataclass(slots=True)
class CounterModel:
    """Totals by name, and the time at which each shard is free again."""

    settings: CounterSettings
    totals: dict[str, tuple[float, float]] = field(default_factory=dict)  # total, expiry time
    shard_free_at: list[float] = field(default_factory=list)
    calls: int = 0

    def __post_init__(self) -> None:
        self.shard_free_at = [0.0] * self.settings.shards

    def add(
        self, name: str, amount: float, lifetime: float, now: float, slowdown: float = 1.0
    ) -> tuple[float, float]:
        """Add to a total and return it with the time of the response, including queueing at its shard."""
        shard = xxhash.xxh3_64_intdigest(name.encode()) % self.settings.shards
        service_time = self.settings.shards / self.settings.capacity * slowdown
        begins_at = max(self.shard_free_at[shard], now)
        self.shard_free_at[shard] = begins_at + service_time
        total, expires_at = self.totals.get(name, (0.0, 0.0))
        if expires_at <= now:
            total, expires_at = 0.0, now + min(lifetime, MAX_LIFETIME_S)
        total += amount
        self.totals[name] = total, expires_at
        self.calls += 1
        if self.calls % EXPIRY_INTERVAL_CALLS == 0:
            self.totals = {other_name: entry for other_name, entry in self.totals.items() if entry[1] > now}
        return total, begins_at + service_time + self.settings.call_time * slowdown

    def reset(self) -> None:
        """Forget all totals, as after a replacement of the counter."""
        self.totals.clear()
