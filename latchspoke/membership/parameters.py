"""Timeouts, intervals and limits of the membership protocol."""

from __future__ import annotations

from math import ceil, log2

import msgspec


class ProtocolParameters(msgspec.Struct, frozen=True):
    """Settings of the protocol; names ending in ``_s`` are in seconds."""

    probe_interval_s: float = 0.5
    probe_timeout_s: float = 0.15  # for a direct probe
    indirect_probe_timeout_s: float = 0.2  # starts when the direct probe has timed out
    indirect_probe_count: int = 3
    suspicion_timeout_s: float = 1.5  # from suspicion to removal, in clusters of up to 16 members
    own_change_fanout: int = 3  # members notified at once of a change of the local member
    forward_fanout: int = 2  # members to which each receiver forwards a remote change at once
    cross_region_share: float = 0.125  # probability that a forwarded change may go to any region
    max_forwarded_suspects: int = 4  # with more suspects, suspicions are only piggybacked
    leave_fanout: int = 6  # members notified at once of a leave
    removed_retention_s: float = 60.0  # how long removed members are remembered
    removed_probe_interval_s: float = 2.0  # one removed member is probed in each interval
    seed_contact_interval_s: float = 1.0  # while fewer than two other members are known
    startup_join_interval_s: float = 0.1  # during startup, while no other member is known
    missing_seed_interval_s: float = 5.0  # between contacts with a seed not known to be alive
    startup_duration_s: float = 4.0  # time after the start in which views are requested more often
    view_exchange_interval_s: float = 2.0  # least time between full view exchanges, up to 16 members
    pause_threshold_s: float = 0.2  # a tick later than this means that the process was paused
    max_health_score: int = 4
    timeout_step_per_health_point: float = 0.25
    max_members: int = 4096  # known at the same time
    max_meta_bytes: int = 8192  # that the meta data of one member may take once decoded
    max_updates: int = 6  # on one datagram
    max_update_bytes: int = 900  # on one datagram

    def suspicion_timeout_for(self, member_count: int) -> float:
        """Time (s) from suspicion to removal; grows with the logarithm of the cluster size."""
        return self.suspicion_timeout_s * max(1.0, log2(max(member_count, 2)) / 4)

    def transmissions(self, member_count: int) -> int:
        """How often an update is piggybacked (SWIM, section 4.1)."""
        return ceil(3 * log2(member_count + 1))

    def timeout_multiplier(self, health_score: int) -> float:
        """Factor for timeouts while local probes fail (Lifeguard's local health multiplier)."""
        return 1 + self.timeout_step_per_health_point * health_score

    def removal_bound(self, member_count: int) -> float:
        """Time (s) within which a failed process is removed from all views.

        In each interval a member is probed with probability 1 - 1/e; after seven, one in 1,000 is unprobed.
        """
        return (
            7 * self.probe_interval_s
            + self.probe_timeout_s
            + self.indirect_probe_timeout_s
            + self.suspicion_timeout_for(member_count)
            + 2 * self.probe_interval_s
        )
