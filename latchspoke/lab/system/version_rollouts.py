"""Version rollouts in the emulator: the operator, and new servers that may be bad."""

from __future__ import annotations

import asyncio
import json
import random
from typing import TYPE_CHECKING

from latchspoke.lab.system.day_record import Command, VersionRollout
from latchspoke.lab.system.http_endpoints import call
from latchspoke.lab.system.operators import ANSWER_TIMEOUT_S, Operator
from latchspoke.lab.system.scenario import QUIET_END_S, Day, Deployment, Trouble, draw_trouble
from latchspoke.lab.system.servers import BadVersion, ServerFleet

if TYPE_CHECKING:
    from latchspoke.lab.system.day import DaySimulation

POLL_INTERVAL_S = 0.5
WATCH_FACTOR = 3.0  # durations over which the operator asks for the state
DRAIN_DELAY_S = 5.0  # from a revert until the new servers drain
LATE_FRACTION = 0.4  # of the duration after which a version turns bad, for ``late``
BAD_KINDS = ("errors", "slow", "load", "late", "one_kind")  # values of ``how``; "" is a good version
COMPANIONS = (
    "kill", "power", "freeze", "core_cut", "cut", "at_save", "change", "race", "evacuate", "lost_answers",
    "garbage", "grey", "crash", "release", "roll_term", "lost_acks", "herd",
)  # fmt: skip


def inject(simulation: DaySimulation, trouble: Trouble) -> None:
    """Order a new version of the service ``where`` over ``lasts`` s; a share ``x`` of its answers is bad."""
    number = len(simulation.record.version_rollouts) + 2
    rollout = VersionRollout(
        trouble.where, f"v{number}", trouble.lasts, bool(trouble.how), simulation.scheduler.now
    )
    simulation.record.version_rollouts.append(rollout)
    simulation.operator.spawn(roll_out(simulation.operator, simulation.server_fleet, rollout, trouble))


async def roll_out(
    operator: Operator, servers: ServerFleet, rollout: VersionRollout, trouble: Trouble
) -> None:
    """Send the order, start the new servers, and follow the state until the rollout has ended."""
    order = {
        "service": rollout.service,
        "targetVersion": rollout.target_version,
        "durationS": rollout.duration_s,
    }
    command = Command("rollout", 0, 0, None, "", operator.scheduler.now)
    until = operator.scheduler.now + operator.deployment.bound("ackS")
    status = await operator.send(command, "/rpc?call=rollouts.begin", json.dumps(order).encode(), until)
    if status != 200:
        return
    rollout.acked_at = operator.scheduler.now
    start_servers(servers, rollout, trouble)
    give_up_at = operator.scheduler.now + WATCH_FACTOR * rollout.duration_s
    while operator.scheduler.now < give_up_at:
        await asyncio.sleep(POLL_INTERVAL_S)
        state = await read_state(operator, rollout)
        if state:
            rollout.states.append((operator.scheduler.now, state))
        if state in ("completed", "reverted") and not rollout.ended_state:
            rollout.ended_state, rollout.ended_at = state, operator.scheduler.now
            end_servers(servers, rollout)


async def read_state(operator: Operator, rollout: VersionRollout) -> str:
    """The state that a control-plane node answers; '' without an answer, 'lost' if it knows no rollout."""
    address = operator.rng.choice(operator.control())
    target = f"/rpc?call=rollouts.read&of={rollout.service}"
    status, _, body = await call(operator.loop, address, "POST", target, None, ANSWER_TIMEOUT_S)
    if status == 404:
        return "lost"
    if status != 200:
        return ""
    answer = json.loads(body)
    return str(answer["state"]) if answer["targetVersion"] == rollout.target_version else "lost"


def start_servers(servers: ServerFleet, rollout: VersionRollout, trouble: Trouble) -> None:
    """Start as many servers of the new version as serve."""
    rollout.started_at = now = servers.network.scheduler.now
    if trouble.how:
        since = now + (LATE_FRACTION * rollout.duration_s if trouble.how == "late" else 0.0)
        servers.bad_versions[rollout.service, rollout.target_version] = BadVersion(
            trouble.how, trouble.x, since
        )
    for instance in servers.serving(rollout.service):
        servers.start(instance.service, instance.zone, version=rollout.target_version)


def end_servers(servers: ServerFleet, rollout: VersionRollout) -> None:
    """Stop the old servers at once, or drain the new ones."""
    for instance in servers.serving(rollout.service):
        is_new = instance.version == rollout.target_version
        if rollout.ended_state == "completed" and not is_new:
            instance.stop()
        elif rollout.ended_state == "reverted" and is_new:
            servers.network.scheduler.after(DRAIN_DELAY_S, instance.begin_drain)


def draw_versions(deployment: Deployment, seed: int) -> Day:
    """A good or bad version among other faults, perhaps with a final fault."""
    rng = random.Random(f"versions:{deployment.name}:{seed}")
    service = rng.choice(deployment.services).name
    how = rng.choice(("", "", *BAD_KINDS))
    longest = max(deployment.length - QUIET_END_S, 8.0)
    order = Trouble(
        1.0, "new_version", round(rng.uniform(min(10.0, longest), longest), 1), 1,
        round(rng.uniform(0.3, 0.8), 2), how, service,
    )  # fmt: skip
    troubles = [order]
    for _ in range(rng.randint(1, 4)):
        troubles.append(
            draw_trouble(rng, rng.choice(COMPANIONS), rng.uniform(1.0, longest - 2.0), deployment)
        )
    if rng.random() < 0.4:
        kind = rng.choice(("end_power", "end_kill", "end_wipe"))
        troubles.append(draw_trouble(rng, kind, longest, deployment))
    return Day(seed, tuple(sorted(troubles, key=lambda t: t.at)))
