"""Members' apps as a model: they wait, give up, and ask again by what they got. Pure and seeded."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Times in seconds. A try is given up after a part of ``give_up`` drawn from ``least`` to 1."""

    request_timeout: float = 4.0
    min_timeout_fraction: float = 0.5
    retries: int = 2
    retry_delay: float = 0.5  # before a retry, on average
    honor_retry_after: bool = True  # wait at least as long as Retry-After says
    target_latency: float = 1.2


@dataclass(frozen=True, slots=True)
class RetryAt:
    """Ask again at this time."""

    at: float


class ClientModel:
    """What every client does; one stream of draws for each purpose, so that one change moves only its own."""

    def __init__(self, settings: ClientSettings, seed: int) -> None:
        self.settings = settings
        timeout_draws, retry_draws = np.random.SeedSequence([seed, 11]).spawn(2)
        self.timeout_draws = np.random.Generator(np.random.PCG64(timeout_draws))
        self.retry_draws = np.random.Generator(np.random.PCG64(retry_draws))

    def draw_timeout(self) -> float:
        """How long the client waits for this try."""
        settings = self.settings
        return settings.request_timeout * float(
            self.timeout_draws.uniform(settings.min_timeout_fraction, 1.0)
        )

    def next_retry(self, status: int, retry_after: float | None, attempt: int, now: float) -> RetryAt | None:
        """What follows an answer, or none (status 0); None where the client is done."""
        settings = self.settings
        if status == 200 or 400 <= status < 429 or attempt >= settings.retries:
            return None
        retry_delay = settings.retry_delay * float(self.retry_draws.uniform(0.5, 1.5)) * 2.0**attempt
        if retry_after is not None and settings.honor_retry_after:
            # Spread, so that all who were sent away together do not come back together.
            retry_delay = max(retry_delay, retry_after * float(self.retry_draws.uniform(1.0, 1.2)))
        return RetryAt(now + retry_delay)
