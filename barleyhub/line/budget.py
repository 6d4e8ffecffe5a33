"""Limits shared by all gateways, each of which enforces its part: retries and requests to cold servers."""

from __future__ import annotations

import math
from collections import deque
from hashlib import blake2b

# Shares of the configured limits that are handed out; the rest covers gateways that restart or disagree.
RATIO_SHARE = 0.7
SLACK_SHARE = 0.45
COLD_SHARE = 0.5
WINDOW_S = 1.05  # the limit for cold servers applies to any second


class RetryBudget:
    """Retry budget of one service: a token bucket that is filled by requests."""

    __slots__ = ("capacity", "ratio", "tokens")

    def __init__(self, ratio: float, slack: float, gateways: int) -> None:
        self.ratio = ratio * RATIO_SHARE
        self.capacity = self.tokens = 0.0
        self.resize(slack, gateways)
        # The previous instance of this process may have spent tokens shortly before it ended.
        self.tokens = self.capacity / 2

    def resize(self, slack: float, gateways: int) -> None:
        """Set the capacity to this gateway's part of the slack, given the number of gateways."""
        self.capacity = max(slack * SLACK_SHARE / max(gateways, 1), 1.0)
        self.tokens = min(self.tokens, self.capacity)

    def deposit(self) -> None:
        """Credit one request that was admitted."""
        self.tokens = min(self.tokens + self.ratio, self.capacity)

    def withdraw(self) -> bool:
        """Take the token for one retry; False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def rendezvous_score(key: str, node: str) -> bytes:
    """Rendezvous hashing: orders nodes for a key in the same way on every gateway."""
    return blake2b(f"{key}\n{node}".encode(), digest_size=8).digest()


def cold_server_allowance(server: str, gateway: str, gateways: list[str], limit: float) -> int:
    """Requests a second that this gateway may send to a cold server.

    ``limit`` holds for all gateways together. If it is too low for every gateway to get at least one request
    a second, only the first gateways in rendezvous order get any, and the others get 0.
    """
    granted = max(limit * COLD_SHARE, 1.0)
    others = [name for name in gateways if name != gateway]
    per_gateway = max(math.floor(granted / (len(others) + 1)), 1)
    sender_count = math.floor(granted / per_gateway)
    own_score = rendezvous_score(server, gateway)
    gateways_ahead = sum(rendezvous_score(server, name) < own_score for name in others)
    return per_gateway if gateways_ahead < sender_count else 0


class SendWindow:
    """Times of the requests sent to one server within the last ``WINDOW_S`` seconds."""

    __slots__ = ("sent_at",)

    def __init__(self) -> None:
        self.sent_at: deque[float] = deque()

    def has_room(self, limit: int, now: float) -> bool:
        """Whether fewer than ``limit`` requests were sent within the window."""
        while self.sent_at and now - self.sent_at[0] > WINDOW_S:
            self.sent_at.popleft()
        return len(self.sent_at) < limit

    def record(self, now: float) -> None:
        """Count one request sent."""
        self.sent_at.append(now)
