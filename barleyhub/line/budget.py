"""Budgets that all gateways keep together, each its own part: further tries, and what cold servers bear."""

from __future__ import annotations

import math
from collections import deque
from hashlib import blake2b

RATIO_PART = 0.7  # of the ratio that the rules allow is given out
SLACK_PART = 0.45  # of the slack, over all gateways
COLD_PART = 0.5  # of what a cold server may get is given out
WINDOW = 1.05  # s; the rule counts within one second


class Tries:
    """Further tries to one service: a bucket that requests fill."""

    __slots__ = ("level", "most", "ratio")

    def __init__(self, ratio: float, slack: float, gateways: int) -> None:
        self.ratio = ratio * RATIO_PART
        self.most = self.level = 0.0
        self.share(slack, gateways)
        # A process that starts again has not forgotten its former life's tries, only it can't know of them.
        self.level = self.most / 2

    def share(self, slack: float, gateways: int) -> None:
        self.most = max(slack * SLACK_PART / max(gateways, 1), 1.0)
        self.level = min(self.level, self.most)

    def request(self) -> None:
        self.level = min(self.level + self.ratio, self.most)

    def take(self) -> bool:
        """Whether one more try may go out; it is paid for then."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


def rank(server: str, gateway: str) -> bytes:
    """Rendezvous hashing: the same order of gateways for a server, wherever it is worked out."""
    return blake2b(f"{server}\n{gateway}".encode(), digest_size=8).digest()


def dealt(server: str, me: str, gateways: list[str], bound: float) -> int:
    """Requests in a second that this gateway may send to a cold server that bears ``bound`` from all.

    It is dealt to a few gateways rather than as a sliver to each; 0 for the others.
    """
    given = max(bound * COLD_PART, 1.0)
    others = [name for name in gateways if name != me]
    each = max(math.floor(given / (len(others) + 1)), 1)
    holders = math.floor(given / each)
    mine = rank(server, me)
    before = sum(rank(server, name) < mine for name in others)
    return each if before < holders else 0


class Sent:
    """What was sent to one cold server within the window."""

    __slots__ = ("times",)

    def __init__(self) -> None:
        self.times: deque[float] = deque()

    def free(self, most: int, now: float) -> bool:
        while self.times and now - self.times[0] > WINDOW:
            self.times.popleft()
        return len(self.times) < most

    def note(self, now: float) -> None:
        self.times.append(now)
