"""An agent whose disk can be made slow: each sync of its ledger takes longer by what the file ``slow`` says.

    python -m latchspoke.lab.schedules.agent --config FILE

The file, in the agent's folder while the disk is to be slow, holds seconds. Nothing else is different.
"""

from __future__ import annotations

import contextlib
import sys
import time

from latchspoke.agent.raft_store import RaftStore
from latchspoke.cli import main
from latchspoke.consensus.member import Output

SLOW = "slow"
SAVE = RaftStore.save


def save(self: RaftStore, output: Output) -> None:
    with contextlib.suppress(OSError, ValueError):
        time.sleep(float((self.path.parent / SLOW).read_text()))
    SAVE(self, output)


if __name__ == "__main__":
    RaftStore.save = save  # type: ignore[method-assign]
    sys.exit(main(["agent", *sys.argv[1:]]))
