"""The shared counter as a model: parts by name, each with its capacity; names are forgotten. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

LIFE_MOST = 60.0  # s
TRIM_EVERY = 4096  # calls


@dataclass(frozen=True, slots=True)
class CounterSettings:
    """``capacity`` is calls a second in all, ``call`` the time that a call needs beside waiting, in s."""

    parts: int = 2
    capacity: float = 650.0
    call: float = 0.001


@dataclass(slots=True)
class CounterModel:
    """Totals by name, and when each part is free again."""

    settings: CounterSettings
    totals: dict[str, tuple[float, float]] = field(default_factory=dict)  # total, forgotten at
    free_at: list[float] = field(default_factory=list)
    calls: int = 0

    def __post_init__(self) -> None:
        self.free_at = [0.0] * self.settings.parts

    def add(
        self, name: str, amount: float, life: float, now: float, slow: float = 1.0
    ) -> tuple[float, float]:
        """The total, and when its answer goes out: the call waits its turn at its part."""
        part = xxhash.xxh3_64_intdigest(name.encode()) % self.settings.parts
        turn = self.settings.parts / self.settings.capacity * slow
        begins = max(self.free_at[part], now)
        self.free_at[part] = begins + turn
        total, until = self.totals.get(name, (0.0, 0.0))
        if until <= now:
            total, until = 0.0, now + min(life, LIFE_MOST)
        total += amount
        self.totals[name] = total, until
        self.calls += 1
        if self.calls % TRIM_EVERY == 0:
            self.totals = {n: v for n, v in self.totals.items() if v[1] > now}
        return total, begins + turn + self.settings.call * slow

    def reset(self) -> None:
        """One that is new: it knows no name."""
        self.totals.clear()
