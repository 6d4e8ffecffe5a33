"""The rules on version rollouts, as checks over the observations of a day."""

from __future__ import annotations

import math
from collections.abc import Iterator

from latchspoke.lab.system.day_record import VersionRollout
from latchspoke.lab.system.rules import DayView, Finding, rule

BAD_ANSWERS = 50  # after which a bad version must be left within ``rollbackS``


@rule("EXPOSURE")
def check_exposure(view: DayView) -> Iterator[Finding]:
    """A bad version gets few requests, and none some time after it has given many bad answers."""
    for rollout in view.record.version_rollouts:
        if rollout.is_bad:
            yield from check_total_exposure(view, rollout)
            yield from check_revert_time(view, rollout)


def check_total_exposure(view: DayView, rollout: VersionRollout) -> Iterator[Finding]:
    """The share of a bad version in all requests between the order and its term."""
    ends_at = rollout.ordered_at + rollout.duration_s
    arrivals = [
        a
        for a in view.record.arrivals
        if a.service == rollout.service and rollout.ordered_at <= a.at <= ends_at
    ]
    exposed = [
        a
        for a in arrivals
        if a.version == rollout.target_version and view.reachability.in_contact(a.source, a.at)
    ]
    limit = view.bound("exposureShare") * len(arrivals) + view.bound("exposureSlack")
    if len(exposed) > limit:
        what = f"{len(exposed)} of {len(arrivals)} requests reached bad {rollout.target_version}"
        yield Finding("EXPOSURE", ends_at, what, rollout.service)


def check_revert_time(view: DayView, rollout: VersionRollout) -> Iterator[Finding]:
    """Requests that reach a bad version long after its 50th bad answer in a settled control plane."""
    bad_answers = sorted(
        a.ended
        for a in view.record.arrivals
        if a.version == rollout.target_version and a.service == rollout.service and a.bad
    )
    for arrival in view.record.arrivals:
        if arrival.version != rollout.target_version or arrival.service != rollout.service:
            continue
        sent_at = arrival.sent - view.bound("rollbackS")
        unsettled_at = max(
            (at for at in view.reachability.core_disruptions if at <= arrival.sent), default=0.0
        )
        counted = sum(unsettled_at < at < sent_at for at in bad_answers)
        if counted >= BAD_ANSWERS and view.reachability.in_contact(arrival.source, arrival.at):
            what = f"{counted} bad answers of {rollout.target_version}, and it still gets requests"
            yield Finding("EXPOSURE", arrival.at, what, arrival.ident)
            return


@rule("ROUTE version")
def check_versions(view: DayView) -> Iterator[Finding]:
    """A reverted version runs nothing for gateways in contact."""
    for rollout in view.record.version_rollouts:
        if rollout.ended_state != "reverted":
            continue
        for arrival in view.record.arrivals:
            if (
                arrival.version == rollout.target_version
                and arrival.service == rollout.service
                and arrival.sent > rollout.ended_at + view.bound("configApplyS")
                and view.reachability.in_contact(arrival.source, arrival.at)
            ):
                what = f"{rollout.target_version} was reverted at {rollout.ended_at:.2f} s"
                yield Finding("ROUTE version", arrival.at, what, arrival.ident)


@rule("LOST rollout")
def check_states(view: DayView) -> Iterator[Finding]:
    """An acknowledged rollout stays known, and keeps the state in which it has ended."""
    for rollout in view.record.version_rollouts:
        later = [other for other in view.record.version_rollouts if other.ordered_at > rollout.ordered_at]
        superseded_at = min(
            (other.ordered_at for other in later if other.service == rollout.service), default=math.inf
        )
        ended = ""
        for at, state in rollout.states:
            if at >= superseded_at:
                break
            if state == "lost" or (ended and state != ended):
                yield Finding("LOST rollout", at, f"{state} after {ended or 'its order'}", rollout.service)
                break
            ended = state if state != "in_progress" else ended
