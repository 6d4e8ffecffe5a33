"""Members' apps as a model: they wait, give up, and ask again by what they got. Pure and seeded."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Times in seconds. A try is given up after a part of ``give_up`` drawn from ``least`` to 1."""

    give_up: float = 4.0
    least: float = 0.5
    retries: int = 2
    wait: float = 0.5  # before a retry, on average
    heed_advice: bool = True  # wait at least as long as Retry-After says
    aim: float = 1.2


@dataclass(frozen=True, slots=True)
class Again:
    """Ask again at this time."""

    at: float


class Clients:
    """What every client does; one stream of draws for each purpose, so that one change moves only its own."""

    def __init__(self, settings: ClientSettings, seed: int) -> None:
        self.settings = settings
        patience, waits = np.random.SeedSequence([seed, 11]).spawn(2)
        self.patience = np.random.Generator(np.random.PCG64(patience))
        self.waits = np.random.Generator(np.random.PCG64(waits))

    def deadline(self) -> float:
        """How long the client waits for this try."""
        settings = self.settings
        return settings.give_up * float(self.patience.uniform(settings.least, 1.0))

    def after(self, status: int, advice: float | None, attempt: int, now: float) -> Again | None:
        """What follows an answer, or none (status 0); None where the client is done."""
        settings = self.settings
        if status == 200 or 400 <= status < 429 or attempt >= settings.retries:
            return None
        wait = settings.wait * float(self.waits.uniform(0.5, 1.5)) * 2.0**attempt
        if advice is not None and settings.heed_advice:
            # Spread, so that all who were sent away together do not come back together.
            wait = max(wait, advice * float(self.waits.uniform(1.0, 1.2)))
        return Again(now + wait)
