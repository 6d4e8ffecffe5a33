"""Case: a control machine that stood still takes a second operator's evacuation for a repeat of the first."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig_4"))

from evacuations import TROUBLE, Operator, Scene, require, run_scene  # noqa: E402

FROZEN_S = 3.5
SECOND_BEGIN_AFTER, FIRST_FINISH_AFTER, SECOND_FINISH_AFTER = (
    6.0,
    12.0,
    26.0,
)  # s after the first is acknowledged


async def play(scene: Scene) -> int:
    """Play the case; the exit code."""
    record, system = scene.record, scene.system
    await scene.begin()
    frozen, others = system.core[2], system.control[:2]
    if TROUBLE:
        record.say(f"{frozen.name} stands still")
        system.send_signal(frozen, signal.SIGSTOP)
    stopped_at = record.now()
    one, two = (
        Operator("operator 1", record, others),
        Operator("operator 2", record, [system.control[2], *others]),
    )
    first_at, status = await one.order("begin", scene.ack_s)
    require(status == 200, "operator 1's begin was not acknowledged")
    await scene.until(stopped_at + FROZEN_S)
    if TROUBLE:
        record.say(f"{frozen.name} goes on")
        system.send_signal(frozen, signal.SIGCONT)
    await scene.until(first_at + SECOND_BEGIN_AFTER)
    acknowledged_at, status = await two.order("begin", scene.ack_s)
    require(status == 200, "operator 2's begin was not acknowledged")
    await scene.until(first_at + FIRST_FINISH_AFTER)
    _, status = await one.order("finish", scene.ack_s)
    require(status == 200, "operator 1's finish was not acknowledged")
    await scene.until(first_at + SECOND_FINISH_AFTER)
    taken_back_at = record.now()
    await two.order("finish", scene.ack_s)
    return scene.judge(acknowledged_at, taken_back_at)


if __name__ == "__main__":
    sys.exit(asyncio.run(run_scene(HERE, play)))
