"""What the commands share: exit codes, options, errors, output, and calls of the control plane."""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter
from returns.result import Failure, Result, Success

from latchspoke.configuration import Document, Fault
from latchspoke.ctl import client, file_checks
from latchspoke.ctl.client import ControlPlaneClient, Reply

REPEAT_FRACTION = 0.9  # of ``ackS``
DEFAULT_REPEAT_LIMIT_S = 3.0
DONE, NO_ANSWER, USAGE, INVALID, CONFLICT, OUTCOME_UNKNOWN, FINDINGS = range(7)


class CommandError(Exception):
    """A command failed: its exit code, the error text, and further fields for ``--json``."""

    def __init__(self, code: int, message: str, **details: Any) -> None:
        super().__init__(message)
        self.code, self.details = code, details


@Parameter(name="*")
@dataclass(frozen=True)
class OutputOptions:
    """Options of all commands."""

    json: Annotated[bool, Parameter(negative="", help="Print one JSON object.")] = False


@Parameter(name="*")
@dataclass(frozen=True)
class ControlPlaneOptions(OutputOptions):
    """Options of commands that call the control plane."""

    control: Annotated[
        str, Parameter(env_var="LATCHSPOKE_CONTROL", help="Control-plane nodes, host:port,host:port.")
    ] = ""
    within: Annotated[float, Parameter(help="Seconds to keep retrying.")] = 6.0


DEFAULT_OUTPUT, DEFAULT_CONTROL_PLANE = OutputOptions(), ControlPlaneOptions()
request_sender: client.RequestSender = client.send_request  # replaced in tests


def print_result(options: OutputOptions, text: str, result: dict[str, Any], code: int = DONE) -> int:
    """Print the text, or the result as JSON; returns the exit code."""
    if options.json:
        print(json.dumps({"ok": code == DONE, "exit": code, **result}, indent=2))
    elif text:
        print(text)
    return code


def control_plane_client(
    options: ControlPlaneOptions, strict_limit_s: float | None = None
) -> ControlPlaneClient:
    """A client for the nodes named by the options; CommandError if there are none.

    ``strict_limit_s``: no attempt is begun later than this after the first one.
    """
    if not options.control:
        raise CommandError(USAGE, "no control-plane node is given: use --control or LATCHSPOKE_CONTROL")
    try:
        return ControlPlaneClient(
            client.parse_addresses(options.control),
            request_sender,
            retry_for_s=min(options.within, math.inf if strict_limit_s is None else strict_limit_s),
            strict=strict_limit_s is not None,
        )
    except client.AddressError as e:
        raise CommandError(USAGE, f"--control: {e}") from None


def query_control_plane(options: ControlPlaneOptions, target: str, method: str = "GET") -> Reply:
    """Send a read-only request; CommandError unless the answer has status 200."""
    match control_plane_client(options).call(method, target):
        case Success(Reply(status=200) as reply):
            return reply
        case Success(Reply() as reply):
            raise CommandError(NO_ANSWER, f"{reply.source}: {reply.reason}")
        case Failure(error):
            raise CommandError(NO_ANSWER, f"no control-plane node answers: {error}")
    raise AssertionError


def read_input(path: Path) -> bytes:
    """The content of an input file; CommandError if it can't be read."""
    data: bytes = value_or_fail(file_checks.read_file(path), USAGE)
    return data


def value_or_fail(result: Result[Any, list[Fault]], code: int = INVALID) -> Any:
    """The value of a successful result; CommandError with all faults otherwise."""
    match result:
        case Success(value):
            return value
        case Failure(faults):
            raise CommandError(code, "\n".join(map(str, faults)), faults=faults_as_json(faults))
    raise AssertionError


def faults_as_json(faults: Sequence[Fault]) -> list[dict[str, str]]:
    """The faults as they appear in the JSON output."""
    return [{"path": fault.path, "reason": fault.reason} for fault in faults]


def parse_address(text: str) -> client.Address:
    """One address host:port; CommandError if it is malformed."""
    try:
        return client.parse_addresses(text)[0]
    except client.AddressError as e:
        raise CommandError(USAGE, str(e)) from None


def query_gateways(control_view: Any, target: str) -> dict[str, Any]:
    """Query all known gateways; the answer of each by its name, or None."""
    addresses = {
        m["name"]: m["status"] for m in control_view["members"] if m["role"] == "edge" and m.get("status")
    }
    answers = client.query_all(list(addresses.values()), target, request_sender)
    views: dict[str, Any] = {}
    for name, answer in zip(addresses, answers, strict=True):
        reply = answer.value_or(None)
        views[name] = reply.body if reply is not None and reply.status == 200 else None
    return views


def read_current(options: ControlPlaneOptions) -> Document:
    """The current configuration, confirmed by a quorum."""
    doc: Document = value_or_fail(
        file_checks.configuration(query_control_plane(options, "/rpc?call=configuration.read", "POST").raw)
    )
    return doc


def submit_command(
    options: ControlPlaneOptions, command: str, body: bytes, message: str, subject: str = ""
) -> int:
    """Send a command, repeated unchanged until its outcome is known or the time is up; the exit code."""
    target = f"/rpc?call={command}" + (f"&of={subject}" if subject else "")
    match control_plane_client(options).call("POST", target, body):
        case Success(Reply(status=200) as reply):
            return print_result(options, message, {"by": reply.source})
        case Success(Reply() as reply):
            raise refusal(reply)
        case Failure(error):
            raise CommandError(
                OUTCOME_UNKNOWN,
                f"outcome unknown, the change may be in effect or not; send the same again: {error}",
            )
    raise AssertionError


def submit_evacuation(options: ControlPlaneOptions, what: str, zone: str, message: str) -> int:
    """As ``submit_command``, but not for longer than a call of an evacuation may be repeated."""
    client_of_nodes = control_plane_client(options, strict_limit_s=repeat_limit_s(options))
    match client_of_nodes.call("POST", f"/rpc?call=evacuation.{what}&of={zone}"):
        case Success(Reply(status=200) as reply):
            remaining = reply.body.get("standing") if isinstance(reply.body, dict) else None
            extra = {} if remaining is None else {"standing": remaining}
            if what == "finish" and remaining:
                message = f"one evacuation of {zone} is taken back; {remaining} more, by others, stands"
            return print_result(options, message, {"by": reply.source} | extra)
        case Success(Reply() as reply):
            raise refusal(reply)
        case Failure(error):
            raise CommandError(
                OUTCOME_UNKNOWN,
                f"outcome unknown, look at `status` before you send it again, as that counts anew: {error}",
            )
    raise AssertionError


def repeat_limit_s(options: ControlPlaneOptions) -> float:
    """How long a call may be repeated, by a node that answers; a short time if none does."""
    match control_plane_client(options, strict_limit_s=0.0).call("GET", "/status"):
        case Success(Reply(status=200, body={"ack_s": (int() | float()) as ack_s})):
            return ack_s * REPEAT_FRACTION
    return DEFAULT_REPEAT_LIMIT_S


def refusal(reply: Reply) -> CommandError:
    """The error for a command that was refused."""
    if reply.status == 412:
        return CommandError(CONFLICT, f"conflict: {reply.reason}", by=reply.source)
    faults = reply.body.get("faults", []) if isinstance(reply.body, dict) else []
    text = "\n".join(map(str, faults)) or reply.reason
    return CommandError(
        INVALID, text, by=reply.source, faults=[{"path": "", "reason": fault} for fault in faults]
    )
