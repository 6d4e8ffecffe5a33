"""Detects retries in a stream of requests. Memory holds only requests that can still be retried.

A request is a retry of an earlier one of the same customer if the retry limit is not reached and

- both carry the same try ID, where the source has such IDs; or
- method, path and query are the same, it came within the give-up time after the earlier one ended (or
  began, where the end is unknown), and either the client marked it as a retry, or the earlier one failed,
  was rejected or aborted, and had ended before this one began. Different try IDs rule this out.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

CLOCK_TOLERANCE_S = 0.05  # covers clock skew between gateways and rounding
# Statuses below 500 that clients retry.
RETRYABLE_STATUSES = (408, 425, 429)


@dataclass(slots=True)
class RetryChain:
    """A first attempt and its retries so far; times in seconds."""

    first_number: int
    ended_at: float
    retry_until: float
    last_status: int
    retries: int = 0
    try_id: str = ""


def is_retryable(status: int) -> bool:
    """Whether clients retry after this status: no response, a server error or a rejection."""
    return status == 0 or status >= 500 or status in RETRYABLE_STATUSES


class RetryDetector:
    """Detects retries among requests that are added in order of time."""

    def __init__(self, give_up_s: float, max_retries: int) -> None:
        self.give_up_s, self.max_retries = give_up_s, max_retries
        self.by_request: dict[tuple[int, str, str], RetryChain] = {}
        self.by_try_id: dict[tuple[int, str], RetryChain] = {}
        self.expiry_queue: deque[tuple[float, tuple[int, str, str], str]] = deque()

    def assign(
        self,
        number: int,
        at: float,
        key: tuple[int, str, str],
        status: int,
        duration_s: float | None,
        try_id: str = "",
        marked: bool = False,
    ) -> tuple[int, int]:
        """Return the number of the first attempt, and the attempt index of this request (0 for the first)."""
        self.expire(at)
        ended_at = at + (duration_s if duration_s is not None else 0.0)
        chain = self.by_try_id.get((key[0], try_id)) if try_id else None
        if chain is None:
            chain = self.by_request.get(key)
            if chain is not None and not self.is_retry(chain, at, try_id, marked):
                chain = None
        if chain is None or chain.retries >= self.max_retries:
            chain = RetryChain(number, ended_at, ended_at + self.give_up_s, status, 0, try_id)
        else:
            chain.retries += 1
            chain.ended_at, chain.last_status = max(chain.ended_at, ended_at), status
            chain.retry_until = max(chain.retry_until, ended_at + self.give_up_s)
        self.by_request[key] = chain
        if try_id:
            self.by_try_id[key[0], try_id] = chain
        self.expiry_queue.append((at, key, try_id))
        return chain.first_number, chain.retries

    def is_retry(self, chain: RetryChain, at: float, try_id: str, marked: bool) -> bool:
        if at > chain.retry_until or (try_id and chain.try_id):
            return False  # different IDs are different tries
        return marked or (is_retryable(chain.last_status) and at >= chain.ended_at - CLOCK_TOLERANCE_S)

    def expire(self, now: float) -> None:
        """Drop requests that can no longer be retried."""
        while self.expiry_queue and now - self.expiry_queue[0][0] > 2 * self.give_up_s:
            _, key, try_id = self.expiry_queue.popleft()
            chain = self.by_request.get(key)
            if chain is not None and chain.retry_until < now:
                del self.by_request[key]
            if (
                try_id
                and (chain_by_id := self.by_try_id.get((key[0], try_id))) is not None
                and chain_by_id.retry_until < now
            ):
                del self.by_try_id[key[0], try_id]
