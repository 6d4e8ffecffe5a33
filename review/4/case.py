"""Case: an operator's one finish of an evacuation, sent again after its answer was lost, is applied twice."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig_4"))

from evacuations import TROUBLE, Operator, Scene, require, run_scene  # noqa: E402
from parties import AnswerLoser  # noqa: E402

SECOND_BEGIN_AT, FIRST_FINISH_AT, SECOND_FINISH_AT = 6.0, 12.0, 28.0  # s after the first begin


async def play(scene: Scene) -> int:
    """Play the case; the exit code."""
    record, system, losing = scene.record, scene.system, {"left": 1 if TROUBLE else 0}

    def loses(first: bytes) -> bool:
        if b"evacuation.finish" not in first or not losing["left"]:
            return False
        losing["left"] -= 1
        return True

    proxy = AnswerLoser(record, system.address(5, 1), system.control, loses)
    await proxy.start()
    try:
        await scene.begin()
        one = Operator("operator 1", record, proxy.addresses)
        two = Operator("operator 2", record, system.control)
        began = record.now()
        _, status = await one.order("begin", scene.ack_s)
        require(status == 200, "operator 1's begin was not acknowledged")
        await scene.until(began + SECOND_BEGIN_AT)
        acknowledged_at, status = await two.order("begin", scene.ack_s)
        require(status == 200, "operator 2's begin was not acknowledged")
        await scene.until(began + FIRST_FINISH_AT)
        _, status = await one.order("finish", scene.ack_s)
        record.say(f"operator 1's finish ended with {status}")
        await scene.until(began + SECOND_FINISH_AT)
        taken_back_at = record.now()
        await two.order("finish", scene.ack_s)
        return scene.judge(acknowledged_at, taken_back_at)
    finally:
        await proxy.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(run_scene(HERE, play)))
