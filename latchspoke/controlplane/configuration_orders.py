"""Configurations at a control-plane node: checks those that operators send, and submits them to the store."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from latchspoke.configstore.config_state import CONFLICT, UNCHECKED, Verdict
from latchspoke.controlplane.calls import (
    InvalidRequestError,
    digest_of,
    parse_configuration,
    parse_order_versions,
)
from latchspoke.controlplane.store_access import NO_QUORUM, STORE_TIMEOUT_S, Store
from latchspoke.transport.http_server import Caller, Response
from latchspoke.transport.json_size import decoded_size
from latchspoke.transport.log import log

LARGE_ORDER_BYTES = 256 * 1024  # a decoded configuration takes many times its size
MAX_CHECK_ATTEMPTS = 3  # a patch is checked again when its base version has changed meanwhile
MAX_REPORTED_FAULTS = 50


class ConfigurationController:
    """The configuration at one control-plane node."""

    def __init__(
        self,
        store: Store,
        max_decoded_bytes: int,
        respond: Callable[[dict[str, Any], Verdict], Awaitable[Response]],
    ) -> None:
        """``max_decoded_bytes``: of one configuration; ``respond``: answers the caller of a command."""
        self.store, self.max_decoded_bytes, self.respond = store, max_decoded_bytes, respond
        self.large_order = asyncio.Semaphore(1)  # one large configuration is decoded at a time
        self.stopping = False  # no change is submitted any more

    async def handle_change(self, body: bytes, caller: Caller) -> Response:
        """Handle a full configuration or a patch; large ones one after the other."""
        if decoded_size(body) > self.max_decoded_bytes:
            return 413, {"errorText": "the configuration takes too much memory"}
        if len(body) < LARGE_ORDER_BYTES:
            return await self.change_configuration(body)
        async with self.large_order:
            if caller.gone:  # it has sent the order again, and would have it decoded twice
                return 503, {"errorText": "the caller has left"}
            early_response = await self.respond_early(body)
            return early_response or await self.change_configuration(body)

    async def respond_early(self, body: bytes) -> Response | None:
        """The response to an order that can't change anything, without decoding and replicating it.

        It was taken before, as a large one takes longer than its callers wait for an answer; or a version
        after its base is in force, and versions only increase. None for all others.
        """
        versions, digest = parse_order_versions(body), digest_of(body)
        if versions is None or await self.store.confirm_read(STORE_TIMEOUT_S) is None:
            return None
        stored = self.store.state
        if stored.has_taken(digest):
            return 200, {"version": f"{stored.version:08x}"}
        if versions.base_version >= stored.version or stored.version_forgotten(versions.version):
            return None
        log("order", what="configuration", verdict=CONFLICT, why="its base is older", index=stored.index)
        reason = f"built on version {versions.base_version}, current is {stored.version}"
        return 412, {"errorText": reason, "version": f"{stored.version:08x}"}

    async def change_configuration(self, body: bytes) -> Response:
        """Check a full configuration or a patch, and submit it."""
        if self.stopping:
            return 503, {"errorText": "stops"}
        for _ in range(MAX_CHECK_ATTEMPTS):
            try:
                command, faults = self.parse_command(body)
                if command.get("unchecked") and await self.store.confirm_read(STORE_TIMEOUT_S) is None:
                    return NO_QUORUM
                if command.get("unchecked"):
                    # The base version may have been applied here meanwhile.
                    command, faults = self.parse_command(body)
            except InvalidRequestError as error:
                return 400, {"errorText": str(error)}
            if faults:
                log("configuration-refused", why=faults[0], faults=len(faults))
                return 400, {"errorText": faults[0], "faults": faults[:MAX_REPORTED_FAULTS]}
            verdict = await self.store.submit(command, STORE_TIMEOUT_S)
            if verdict.kind != UNCHECKED:
                break
        return await self.respond(command, verdict)

    def parse_command(self, body: bytes) -> tuple[dict[str, Any], list[str]]:
        """The command for the replicated store, and the faults of the result. Raises InvalidRequestError.

        ``unchecked`` marks a patch whose base is not the version known here, so that its result could not be
        checked.
        """
        stored = self.store.state
        command, faults = parse_configuration(body, stored.document, stored.version)
        if command["do"] == "modify" and command["base"] != stored.version:
            command["unchecked"] = True
        return command, faults

    async def handle_read(self) -> Response:
        """The newest configuration; 503 without a quorum."""
        if await self.store.confirm_read(STORE_TIMEOUT_S) is None:
            return NO_QUORUM
        stored = self.store.state
        if stored.document is None:
            return 503, {"errorText": "there is no configuration yet"}
        return 200, stored.document
