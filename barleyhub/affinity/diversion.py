"""Diverts a share of a member's callers to the next member in their ranking, and lets them return gradually.

Callers whose ``diversion_position`` is below the share are diverted. Positions are the same on every gateway,
so all divert the same callers first and take the same ones back last.
"""

from __future__ import annotations

from dataclasses import dataclass

STEP = 0.1  # increase of the share when a member is full
STEP_INTERVAL_S = 0.1  # least time between two increases
RETURN_PER_S = 0.1  # decrease of the share a second
EPISODE_GAP_S = 2.0  # time without trouble that ends an episode
FLAP_WINDOW_S = 30.0  # an episode that starts so soon after all callers are back halves the rate of return
MAX_SLOWDOWN = 8  # largest factor by which the rate of return is reduced


@dataclass(slots=True)
class Diversion:
    """The diverted share of one member's callers. Times are monotonic seconds."""

    share: float = 0.0
    updated_at: float = 0.0
    return_per_s: float = RETURN_PER_S
    stepped_at: float = -1e9
    last_trouble_at: float = -1e9

    def current_share(self, now: float) -> float:
        """Share of callers to divert at ``now``, 0 to 1."""
        return max(self.share - self.return_per_s * (now - self.updated_at), 0.0)

    def divert_all(self, now: float) -> None:
        """Divert all callers: the member is unusable."""
        self.start_episode(now)
        self.share, self.updated_at, self.last_trouble_at = 1.0, now, now

    def divert_more(self, now: float) -> None:
        """Increase the share by one step: the member is full."""
        if now - self.stepped_at < STEP_INTERVAL_S:
            return
        self.share, self.updated_at = min(self.current_share(now) + STEP, 1.0), now
        self.start_episode(now)
        self.stepped_at = self.last_trouble_at = now

    def start_episode(self, now: float) -> None:
        """Adapt the rate of return if this is a new episode: slower if the member is flapping."""
        quiet_s = now - self.last_trouble_at
        if quiet_s > EPISODE_GAP_S:
            flapping = quiet_s < FLAP_WINDOW_S + 1 / self.return_per_s
            self.return_per_s = (
                max(self.return_per_s / 2, RETURN_PER_S / MAX_SLOWDOWN) if flapping else RETURN_PER_S
            )
