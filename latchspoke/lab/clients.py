"""Model of clients: timeouts and retries. Deterministic for a seed."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Settings of the client model. Times in seconds.

    The timeout of an attempt is ``request_timeout`` times a factor drawn from ``min_timeout_fraction`` to 1.
    """

    request_timeout: float = 4.0
    min_timeout_fraction: float = 0.5
    retries: int = 2
    retry_delay: float = 0.5  # mean delay before the first retry, doubled for each further one
    honor_retry_after: bool = True  # wait at least for Retry-After
    target_latency: float = 1.2


@dataclass(frozen=True, slots=True)
class RetryAt:
    """Retry at this time of the run (s)."""

    at: float


class ClientModel:
    """Draws timeouts and retries of all clients, from one random stream each so that they are independent."""

    def __init__(self, settings: ClientSettings, seed: int) -> None:
        self.settings = settings
        timeout_draws, retry_draws = np.random.SeedSequence([seed, 11]).spawn(2)
        self.timeout_draws = np.random.Generator(np.random.PCG64(timeout_draws))
        self.retry_draws = np.random.Generator(np.random.PCG64(retry_draws))

    def draw_timeout(self) -> float:
        """Draw the timeout of an attempt (s)."""
        settings = self.settings
        return settings.request_timeout * float(
            self.timeout_draws.uniform(settings.min_timeout_fraction, 1.0)
        )

    def next_retry(self, status: int, retry_after: float | None, attempt: int, now: float) -> RetryAt | None:
        """Next retry after a response, or after none (status 0); None if the client does not retry."""
        settings = self.settings
        if status == 200 or 400 <= status < 429 or attempt >= settings.retries:
            return None
        retry_delay = settings.retry_delay * float(self.retry_draws.uniform(0.5, 1.5)) * 2.0**attempt
        if retry_after is not None and settings.honor_retry_after:
            # Jitter, so that clients rejected together do not retry together.
            retry_delay = max(retry_delay, retry_after * float(self.retry_draws.uniform(1.0, 1.2)))
        return RetryAt(now + retry_delay)
