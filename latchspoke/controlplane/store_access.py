"""What the handlers of operators' orders share: the store that they use, and its time limits."""

from __future__ import annotations

from typing import Any, Protocol

from latchspoke.configstore.config_state import ConfigState, Verdict
from latchspoke.transport.http_server import Response

STORE_TIMEOUT_S = 0.85  # for a request to the replicated store
DEFAULT_ACK_TIMEOUT_S = 6.0  # the longest time over which a caller repeats an order
NO_QUORUM: Response = (503, {"errorText": "no majority can be reached"})


class Store(Protocol):
    """What is used of the replica of the config store."""

    @property
    def state(self) -> ConfigState:
        """The applied state."""
        ...

    @property
    def is_leader(self) -> bool:
        """Whether this node leads the replicated log."""
        ...

    @property
    def leader_name(self) -> str:
        """The leader's internal address, '' if it is unknown."""
        ...

    async def submit(self, command: dict[str, Any], limit: float) -> Verdict:
        """Submit a command."""
        ...

    async def confirm_read(self, limit: float) -> int | None:
        """Whether the state is the newest."""
        ...
