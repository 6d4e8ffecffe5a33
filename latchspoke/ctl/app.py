"""The commands. Each returns its exit code; with ``--json`` it prints one object with ``ok`` and ``exit``."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import urlencode

from cyclopts import App, CycloptsError, Parameter
from returns.result import Failure, Result, Success

from latchspoke.configuration import Document, Fault
from latchspoke.ctl import client, file_checks, formatting, masks
from latchspoke.ctl.client import ControlPlaneClient, Reply
from latchspoke.pool.command import pool_app

DONE, NO_ANSWER, USAGE, INVALID, CONFLICT, OUTCOME_UNKNOWN, FINDINGS = range(7)
EXIT_CODES_HELP = """Exit codes: 0 success; 1 no answer, and no change was requested; 2 wrong usage or
unreadable file; 3 invalid, each fault with path and reason; 4 conflict: not based on the current version;
5 outcome unknown: the change may be in effect or not, send the same request again; 6 findings that need
attention (--strict), or a roll-out that was rolled back.
"""

app = App(
    name="ctl",
    help="latchspoke's system: start its programs, check its files, show its state and change it.",
    help_epilogue=" ".join(EXIT_CODES_HELP.split()),
    help_format="plaintext",
    result_action="return_value",
    version_flags=[],
)
check_app = App(name="check", help="Check a file and list every fault with its path and reason.")
config_app = App(name="config", help="The operator's configuration: read, change, compare.")
version_app = App(name="version", help="Roll out a new version of a service's servers.")
evacuate_app = App(name="evacuate", help="Evacuate a zone, or end its evacuation.")
store_app = App(name="store", help="The store of a control-plane node: check, copy, restore from a copy.")
caller_app = App(
    name="caller", help="Callers with shared session records: show a record, move a caller to another server."
)
rollout_app = App(
    name="rollout",
    help="Roll-outs: move a route to another service in steps, depending on failures and latency.",
)
for subcommand in (
    check_app,
    config_app,
    evacuate_app,
    store_app,
    pool_app,
    caller_app,
    rollout_app,
    version_app,
):
    app.command(subcommand)


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
REQUEST_SENDER: list[client.RequestSender] = [client.send_request]  # replaced in tests


def print_result(options: OutputOptions, text: str, result: dict[str, Any], code: int = DONE) -> int:
    """Print the text, or the result as JSON; returns the exit code."""
    if options.json:
        print(json.dumps({"ok": code == DONE, "exit": code, **result}, indent=2))
    elif text:
        print(text)
    return code


def control_plane_client(options: ControlPlaneOptions) -> ControlPlaneClient:
    """A client for the nodes named by the options; CommandError if there are none."""
    if not options.control:
        raise CommandError(USAGE, "no control-plane node is given: use --control or LATCHSPOKE_CONTROL")
    try:
        return ControlPlaneClient(
            client.parse_addresses(options.control), REQUEST_SENDER[0], retry_for_s=options.within
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


# Programs.

SettingsFile = Annotated[
    Path | None, Parameter(help="The settings file; by default the one that LATCHSPOKE_NODE_FILE names.")
]


@app.command
def dataplane(*, settings: SettingsFile = None) -> int:
    """Run a gateway until SIGTERM."""
    from latchspoke.dataplane.node import main as start

    return start(str(settings) if settings else None)


@app.command
def controlplane(*, settings: SettingsFile = None) -> int:
    """Run a control-plane node until SIGTERM."""
    from latchspoke.controlplane.node import main as start

    return start(str(settings) if settings else None)


# Checks.


@check_app.command(name="settings")
def check_settings(file: Path, *, said: OutputOptions = DEFAULT_OUTPUT) -> int:
    """Check the settings file of a process."""
    node_settings = value_or_fail(file_checks.settings(read_input(file), str(file)))
    result = {
        "file": str(file),
        "name": node_settings.name,
        "serves": list(node_settings.served_roles),
        "zone": node_settings.zone,
    }
    return print_result(
        said,
        f"{file}: {node_settings.name} serves {', '.join(node_settings.served_roles)}"
        f" in {node_settings.zone}",
        result,
    )


@check_app.command(name="configuration")
def check_configuration(file: Path, *, said: OutputOptions = DEFAULT_OUTPUT) -> int:
    """Check a complete configuration."""
    doc: Document = value_or_fail(file_checks.configuration(read_input(file)))
    counts = {
        "routes": len(masks.routes(doc)), "services": len(masks.services(doc)),
        "tenants": len(masks.tenants(doc)),
    }  # fmt: skip
    summary = ", ".join(f"{count} {name}" for name, count in counts.items())
    result = {"file": str(file), "version": doc["version"], **counts}
    return print_result(said, f"{file}: version {doc['version']}, {summary}", result)


@check_app.command(name="deploy")
def check_deploy(file: Path, *, said: OutputOptions = DEFAULT_OUTPUT) -> int:
    """Check a deploy file: what is built, and which program runs on which machines."""
    deployment = value_or_fail(file_checks.deploy(read_input(file)))
    roles = {name: fields["on"] for name, fields in deployment["roles"].items()}
    text = ", ".join(f"{name} on {on}" for name, on in roles.items())
    return print_result(said, f"{file}: {text}", {"file": str(file), "roles": roles})


# Status.


@app.command
def status(
    *,
    all: Annotated[bool, Parameter(negative="", help="Also query each gateway for its own view.")] = False,
    gateway: Annotated[str, Parameter(help="Show only this gateway, by its readiness address.")] = "",
    strict: Annotated[bool, Parameter(negative="", help="Exit with 6 if anything needs attention.")] = False,
    where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE,
) -> int:
    """Show the members, their configuration versions and leases, and findings that need attention."""
    if gateway:
        view = query_gateway(gateway)
        return print_result(where, formatting.format_gateway(view), {"gateway": view})
    control_view = query_control_plane(where, "/status").body
    gateway_views = query_gateways(control_view, "/status") if all else {}
    findings = formatting.findings(control_view, gateway_views)
    result = {"control": control_view, "gateways": gateway_views, "findings": findings}
    has_problems = any(finding["level"] != "info" for finding in findings)
    return print_result(
        where,
        formatting.format_fleet(control_view, gateway_views),
        result,
        FINDINGS if strict and has_problems else DONE,
    )


def query_gateway(address: str) -> Any:
    """The status of one gateway; CommandError if it does not answer."""
    (answer,) = client.query_all([address], "/status", REQUEST_SENDER[0])
    match answer:
        case Success(Reply(status=200) as reply):
            return reply.body
        case Success(Reply() as reply):
            raise CommandError(NO_ANSWER, f"{reply.source}: {reply.reason}")
        case Failure(error):
            raise CommandError(NO_ANSWER, str(error))
    raise AssertionError


@app.command
def reach(
    *,
    service: Annotated[str, Parameter(help="Only servers of this service.")] = "",
    server: Annotated[str, Parameter(help="Only this server, by its id.")] = "",
    zone: Annotated[str, Parameter(help="Only reports of gateways in this zone.")] = "",
    since: Annotated[float, Parameter(help="Length of the window in seconds, up to 120.")] = 60.0,
    changes: Annotated[
        bool, Parameter(negative="", help="Also show when servers were avoided, and why.")
    ] = False,
    strict: Annotated[bool, Parameter(negative="", help="Exit with 6 if anything needs attention.")] = False,
    where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE,
) -> int:
    """Show which servers requests reached, with failures and latencies, and which were avoided and why."""
    from latchspoke.ctl import reach as reach_report
    from latchspoke.reach.recorder import RETENTION_S

    if not 0 < since <= RETENTION_S:
        raise CommandError(USAGE, f"--since: must be a number of seconds above 0 and up to {RETENTION_S:g}")
    control_view = query_control_plane(where, "/status").body
    query = urlencode({"since": f"{since:g}"} | ({"server": server} if server else {}))
    views = query_gateways(control_view, f"/reach?{query}")
    if views and not any(view is not None for view in views.values()):
        raise CommandError(NO_ANSWER, f"none of {len(views)} gateways answered")
    report = reach_report.build_report(control_view, views, service, server, zone)
    if server and not report["servers"]:
        raise CommandError(USAGE, f"no gateway and no control-plane node knows a server {server!r:.60}")
    has_problems = strict and (report["findings"] or report["silent"])
    return print_result(
        where,
        reach_report.format_report(report, changes),
        reach_report.as_json(report),
        FINDINGS if has_problems else DONE,
    )


def query_gateways(control_view: Any, target: str) -> dict[str, Any]:
    """Query all known gateways; the answer of each by its name, or None."""
    addresses = {
        m["name"]: m["status"] for m in control_view["members"] if m["role"] == "edge" and m.get("status")
    }
    answers = client.query_all(list(addresses.values()), target, REQUEST_SENDER[0])
    views: dict[str, Any] = {}
    for name, answer in zip(addresses, answers, strict=True):
        reply = answer.value_or(None)
        views[name] = reply.body if reply is not None and reply.status == 200 else None
    return views


# Explain.


@app.command
def explain(
    host: str,
    path: str,
    *,
    tenant: Annotated[str, Parameter(help="Name of the tenant.")] = "",
    key_file: Annotated[
        Path | None, Parameter(help="File with the tenant's key, '-' for standard input.")
    ] = None,
    caller: Annotated[
        str, Parameter(help="The caller, if the route has affinity by a header or cookie.")
    ] = "",
    zone: Annotated[str, Parameter(help="Zone of the client.")] = "",
    gateway: Annotated[str, Parameter(help="Query this gateway, by its readiness address.")] = "",
    config: Annotated[Path | None, Parameter(help="Work offline with this configuration.")] = None,
    state: Annotated[
        Path | None,
        Parameter(help="With --config: servers from the output of `status --gateway ... --json`."),
    ] = None,
    where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE,
) -> int:
    """Explain where a request would be sent, and why. Nothing is sent to servers, and nothing is counted."""
    if tenant and key_file:
        raise CommandError(USAGE, "--tenant and --key-file exclude each other")
    key = ""
    if key_file is not None:
        key = sys.stdin.read().strip() if str(key_file) == "-" else read_input(key_file).decode().strip()
    if config is not None:
        result = explain_offline(host, path, tenant, key, caller, config, state) | {"asked_caller": caller}
        return print_result(where, formatting.format_explanation(result), result)
    question = {"host": host, "path": path, "tenant": tenant, "key": key, "caller": caller}
    extra: dict[str, Any] = {}
    if not gateway:
        gateway, extra = select_gateway(where, zone)
    address = parse_address(gateway)
    match REQUEST_SENDER[0](address, "POST", "/explain", json.dumps(question).encode()):
        case Success(Reply(status=200) as reply):
            result = {**reply.body, **extra, "by": reply.source, "asked_caller": caller}
            return print_result(where, formatting.format_explanation(result), result)
        case Success(Reply() as reply):
            raise CommandError(NO_ANSWER, f"{reply.source}: {reply.reason}")
        case Failure(error):
            raise CommandError(NO_ANSWER, str(error))
    raise AssertionError


def parse_address(text: str) -> client.Address:
    """One address host:port; CommandError if it is malformed."""
    try:
        return client.parse_addresses(text)[0]
    except client.AddressError as e:
        raise CommandError(USAGE, str(e)) from None


def select_gateway(options: ControlPlaneOptions, zone: str) -> tuple[str, dict[str, Any]]:
    """A gateway that resolution gives to clients of the zone, with the whole answer for the output."""
    control_view = query_control_plane(options, "/status").body
    gateways = [m for m in control_view["members"] if m["role"] == "edge" and m["ready"] and m.get("status")]
    if not gateways:
        raise CommandError(NO_ANSWER, "no gateway is ready")
    if not zone:
        return str(gateways[0]["status"]), {}
    region = next((m["region"] for m in control_view["members"] if m["zone"] == zone), "")
    resolved = query_control_plane(options, f"/resolution?zone={zone}&region={region}").body["addresses"]
    first = next((m for m in gateways if m["front"] in resolved), gateways[0])
    return str(first["status"]), {"zone": zone, "gateways": resolved}


def explain_offline(
    host: str, path: str, tenant: str, key: str, caller: str, config: Path, state: Path | None
) -> dict[str, Any]:
    """Explain a request by a configuration file and, if given, the saved state of a gateway."""
    from latchspoke.configuration import compile_table
    from latchspoke.ctl.offline import StateError, load_balancer
    from latchspoke.dataplane.explain import ExplainRequest, explain

    table = compile_table(value_or_fail(file_checks.configuration(read_input(config))))
    balancer = None
    if state is not None:
        try:
            balancer = load_balancer(read_input(state), table)
        except StateError as e:
            raise CommandError(USAGE, f"{state}: {e}") from None
    return explain(table, ExplainRequest(host, path, tenant, key, caller), 0.0, balancer)


# Shared session records.

RouteName = Annotated[str, Parameter(help="Name of the route.")]
TenantName = Annotated[str, Parameter(help="Name of the tenant.")]
GatewayAddress = Annotated[str, Parameter(help="Query only this gateway, by its readiness address.")]


def query_caller(address: str, question: dict[str, str]) -> Reply:
    """Query or move a caller's session record at one gateway; CommandError if there is no usable answer."""
    match REQUEST_SENDER[0](parse_address(address), "POST", "/caller", json.dumps(question).encode()):
        case Success(Reply(status=404) as reply):
            raise CommandError(NO_ANSWER, f"{reply.source}: no route there shares session records")
        case Success(Reply() as reply) if isinstance(reply.body, dict):
            return reply
        case Success(Reply() as reply):
            raise CommandError(NO_ANSWER, f"{reply.source}: {reply.reason}")
        case Failure(error):
            raise CommandError(NO_ANSWER, str(error))
    raise AssertionError


def ready_gateways(options: ControlPlaneOptions) -> dict[str, str]:
    """Readiness addresses of the ready gateways, by name."""
    members = query_control_plane(options, "/status").body["members"]
    return {
        m["name"]: str(m["status"]) for m in members if m["role"] == "edge" and m["ready"] and m.get("status")
    }


@caller_app.command(name="show")
def caller_show(
    key: str,
    *,
    route: RouteName,
    tenant: TenantName = "",
    gateway: GatewayAddress = "",
    where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE,
) -> int:
    """Show the session record of a caller, as its owner and its replica have it."""
    question = {"route": route, "tenant": tenant, "caller": key}
    addresses = {} if gateway else ready_gateways(where)
    first = gateway or next(iter(addresses.values()), "")
    if not first:
        raise CommandError(NO_ANSWER, "no gateway is ready")
    result = query_caller(first, question).body
    if "key" not in result:
        raise CommandError(NO_ANSWER, f"{first}: {result.get('errorText') or 'it does not support callers'}")
    unanswered = {}
    for role in ("owner", "copy"):
        result[f"at_{role}"] = None
        address = addresses.get(result.get(role) or "")
        if address:
            try:
                result[f"at_{role}"] = query_caller(address, question).body.get("record")
            except CommandError as e:  # the other one may still answer
                unanswered[role] = str(e)
    result |= {"asked": first, "no_answer": unanswered}
    if not result["travels"] and not any(
        result.get(field) for field in ("at_owner", "at_copy", "record", "hand")
    ):
        raise CommandError(INVALID, f"no route {route!r} that shares session records")
    return print_result(where, formatting.format_caller(result), result)


@caller_app.command(name="move")
def caller_move(
    key: str, *, route: RouteName, to: Annotated[str, Parameter(help="Instance ID of the server.")],
    tenant: TenantName = "", gateway: GatewayAddress = "", where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE,
) -> int:  # fmt: skip
    """Move a caller to another server from its next request on; refused while an exchange of it is open."""
    first = gateway or next(iter(ready_gateways(where).values()), "")
    if not first:
        raise CommandError(NO_ANSWER, "no gateway is ready")
    reply = query_caller(first, {"route": route, "tenant": tenant, "caller": key, "to": to})
    if reply.status != 200:
        exit_codes = {400: INVALID, 409: CONFLICT, 503: OUTCOME_UNKNOWN}
        raise CommandError(exit_codes.get(reply.status, NO_ANSWER), f"{reply.source}: {reply.reason}")
    return print_result(where, f"the caller's next request goes to {to}", reply.body)


# The configuration.


@config_app.command(name="read")
def config_read(
    *,
    out: Annotated[Path | None, Parameter(help="Write it to this file, readable by its owner only.")] = None,
    keys: Annotated[bool, Parameter(negative="", help="Include the tenants' keys; needs --out.")] = False,
    where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE,
) -> int:
    """Read the current configuration; keys are hidden unless they are written to a file."""
    from latchspoke.ctl.stores import StoreError, write_private

    if keys and out is None:
        raise CommandError(USAGE, "--keys needs --out: keys are not shown")
    doc = read_current(where)
    shown: Any = doc if keys else masks.mask_keys(doc)
    text = json.dumps(shown, indent=2)
    if out is None:
        return print_result(where, text, {"configuration": shown})
    try:
        write_private(out, text.encode() + b"\n")
    except StoreError as e:
        raise CommandError(USAGE, str(e)) from None
    return print_result(
        where, f"version {doc['version']} in {out}", {"version": doc["version"], "file": str(out)}
    )


def read_current(options: ControlPlaneOptions) -> Document:
    """The current configuration, confirmed by a quorum."""
    doc: Document = value_or_fail(
        file_checks.configuration(query_control_plane(options, "/rpc?call=configuration.read", "POST").raw)
    )
    return doc


OnCurrent = Annotated[
    bool, Parameter(negative="", help="Base the change on the current version and give it the next number.")
]


@config_app.command(name="replace")
def config_replace(
    file: Path, *, on_current: OnCurrent = False, where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE
) -> int:
    """Replace the whole configuration; it is checked locally first."""
    data = read_input(file)
    if on_current:
        data = with_next_version(data, current_version(where))
    doc = value_or_fail(file_checks.configuration(data))
    return submit_command(where, "configuration.replace", data, f"version {doc['version']} is in force")


@config_app.command(name="modify")
def config_modify(
    file: Path, *, on_current: OnCurrent = False, where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE
) -> int:
    """Change items by name; if based on the current version, the result is checked locally first."""
    data = read_input(file)
    doc = read_current(where)
    if on_current:
        data = with_next_version(data, doc["version"])
    patch = value_or_fail(file_checks.parse_patch(data))
    if patch.get("baseVersion") == doc["version"]:
        value_or_fail(file_checks.apply_and_check(doc, data))
    return submit_command(where, "configuration.modify", data, f"version {patch['version']} is in force")


def current_version(options: ControlPlaneOptions) -> str:
    """Version of the current configuration."""
    return str(query_control_plane(options, "/status").body["version"])


def with_next_version(data: bytes, version: str) -> bytes:
    """The same message, based on the version and with the next number."""
    try:
        doc = json.loads(data)
    except ValueError as e:
        raise CommandError(INVALID, f"not valid JSON: {e}") from None
    if not isinstance(doc, dict):
        raise CommandError(INVALID, "the file must contain an object")
    base = "0" if version == "00000000" else version
    return json.dumps({**doc, "version": f"{int(version, 16) + 1:08x}", "baseVersion": base}).encode()


@config_app.command(name="diff")
def config_diff(
    file: Path, other: Path | None = None, *, where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE
) -> int:
    """Show what FILE would change in the current configuration, or what differs between FILE and OTHER."""
    new: Document = value_or_fail(file_checks.configuration(read_input(file)))
    if other is not None:
        old, new = new, value_or_fail(file_checks.configuration(read_input(other)))
    else:
        old = read_current(where)
    differences = list(masks.differences(old, new))
    text = "\n".join(map(formatting.format_difference, differences)) or "no difference"
    return print_result(
        where, text, {"from": old["version"], "to": new["version"], "differences": differences}
    )


@config_app.command(name="history")
def config_history(*, where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE) -> int:
    """List the accepted versions, newest first."""
    versions = query_control_plane(where, "/history").body["versions"]
    rows = [(v["version"], v["digest"], "current" if v["current"] else "") for v in versions]
    text = formatting.format_table(("version", "digest of the message", ""), rows) or "no version yet"
    return print_result(where, text, {"versions": versions})


def submit_command(
    options: ControlPlaneOptions, command: str, body: bytes, message: str, zone: str = ""
) -> int:
    """Send a command, repeated unchanged until its outcome is known or the time is up; the exit code."""
    target = f"/rpc?call={command}" + (f"&of={zone}" if zone else "")
    match control_plane_client(options).call("POST", target, body):
        case Success(Reply(status=200) as reply):
            remaining = reply.body.get("standing") if isinstance(reply.body, dict) else None
            extra = {} if remaining is None else {"standing": remaining}
            if command == "evacuation.finish" and remaining:
                message = f"one evacuation of {zone} is taken back; {remaining} more, by others, stands"
            return print_result(options, message, {"by": reply.source} | extra)
        case Success(Reply(status=412) as reply):
            raise CommandError(CONFLICT, f"conflict: {reply.reason}", by=reply.source)
        case Success(Reply() as reply):
            faults = reply.body.get("faults", []) if isinstance(reply.body, dict) else []
            text = "\n".join(map(str, faults)) or reply.reason
            raise CommandError(
                INVALID, text, by=reply.source, faults=[{"path": "", "reason": fault} for fault in faults]
            )
        case Failure(error):
            raise CommandError(
                OUTCOME_UNKNOWN,
                f"outcome unknown, the change may be in effect or not; send the same again: {error}",
            )
    raise AssertionError


# Roll-outs.

PlanFile = Annotated[Path, Parameter(help="The plan, in YAML or JSON (docs/operating-system.md).")]


@rollout_app.command(name="check")
def rollout_check(
    plan: PlanFile,
    *,
    config: Annotated[Path | None, Parameter(help="Work offline with this configuration.")] = None,
    where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE,
) -> int:
    """Check whether a plan fits the configuration, and show the current share. Changes nothing."""
    from latchspoke.ctl import rollouts
    from latchspoke.rollouts.engine import current_share

    parsed_plan = value_or_fail(rollouts.parse_plan(read_input(plan)))
    doc: Document = (
        value_or_fail(file_checks.configuration(read_input(config)))
        if config is not None
        else read_current(where)
    )
    if faults := rollouts.check_plan(parsed_plan, doc):
        raise CommandError(INVALID, "\n".join(map(str, faults)), faults=faults_as_json(faults))
    share = current_share(doc, parsed_plan)
    assert not isinstance(share, str)
    result = {
        "route": parsed_plan.route,
        "from": parsed_plan.old_service,
        "to": parsed_plan.new_service,
        "share": share,
        "steps": parsed_plan.steps,
    }
    return print_result(where, rollouts.describe_start(parsed_plan, share), result)


@rollout_app.command(name="run")
def rollout_run(plan: PlanFile, *, where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE) -> int:
    """Run a plan from the current share to its end. Ctrl-C stops it there; run it again to continue."""
    return run_rollout(plan, False, where)


@rollout_app.command(name="back")
def rollout_back(plan: PlanFile, *, where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE) -> int:
    """Roll back: give all requests to the old service at once."""
    return run_rollout(plan, True, where)


def run_rollout(file: Path, rollback: bool, options: ControlPlaneOptions) -> int:
    """Run a roll-out and print its events; the exit code."""
    from latchspoke.ctl import rollouts
    from latchspoke.rollouts.drive import drive
    from latchspoke.rollouts.engine import Event, Outcome, Rollout
    from latchspoke.rollouts.evidence import available_servers

    plan = value_or_fail(rollouts.parse_plan(read_input(file)))
    if not rollback and not available_servers(query_control_plane(options, "/status").body).get(
        plan.new_service
    ):
        raise CommandError(INVALID, f"to: no server of {plan.new_service!r:.60} is available")
    environment = rollouts.LiveEnvironment(plan, control_plane_client(options), query_gateways)

    def print_event(event: Event) -> None:
        if options.json:
            print(json.dumps({"event": event.code, "at": round(event.at, 3), **event.fields}), flush=True)
        else:
            print(rollouts.format_event(event), flush=True)

    result = drive(Rollout(plan, environment.now(), rollback), environment, print_event)
    exit_codes = {
        Outcome.COMPLETED: DONE, Outcome.ROLLED_BACK: DONE if rollback else FINDINGS,
        Outcome.INCONCLUSIVE: FINDINGS, Outcome.SUPERSEDED: CONFLICT, Outcome.REJECTED: INVALID,
        Outcome.UNKNOWN: OUTCOME_UNKNOWN,
    }  # fmt: skip
    return exit_codes[result.outcome]


# Versions of servers.


@version_app.command(name="begin")
def version_begin(
    service: str,
    target: Annotated[str, Parameter(help="The version, as its servers report it.")],
    *,
    duration_s: Annotated[float, Parameter(help="Time within which it is to serve all requests.")] = 300.0,
    where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE,
) -> int:
    """Move a service to the target version, judged by what its servers answer; bad ones are reverted."""
    order = {"service": service, "targetVersion": target, "durationS": duration_s}
    message = f"{target} of {service} is being rolled out"
    return submit_command(where, "rollouts.begin", json.dumps(order).encode(), message)


@version_app.command(name="show")
def version_show(service: str = "", *, where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE) -> int:
    """State, share, samples and reason of the newest rollout of a service, or of all."""
    from latchspoke.version_rollouts.formatting import format_rollout

    views = query_control_plane(where, "/status").body["rollouts"]
    chosen = {name: view for name, view in views.items() if service in ("", name)}
    if service and not chosen:
        raise CommandError(INVALID, f"there was no rollout of {service!r:.60}")
    text = "\n".join(format_rollout(name, view) for name, view in sorted(chosen.items()))
    return print_result(where, text or "there was no rollout", {"rollouts": chosen})


@version_app.command(name="revert")
def version_revert(service: str, *, where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE) -> int:
    """Revert the unfinished rollout of a service: its target version gets nothing more."""
    return submit_command(where, "rollouts.revert", b"", f"{service} is back at its old version", service)


# Zones.


@evacuate_app.command(name="begin")
def evacuate_begin(zone: str, *, where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE) -> int:
    """Stop sending requests to the zone's servers."""
    return submit_command(where, "evacuation.begin", b"", f"{zone} gets nothing more", zone)


@evacuate_app.command(name="finish")
def evacuate_finish(zone: str, *, where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE) -> int:
    """End an evacuation of the zone."""
    return submit_command(where, "evacuation.finish", b"", f"{zone} is taken back", zone)


# Stores.


@store_app.command(name="check")
def store_check(file: Path, *, said: OutputOptions = DEFAULT_OUTPUT) -> int:
    """Check a copy, or register.db of a stopped node, and show a summary of its content."""
    from latchspoke.ctl.stores import StoreError, describe

    try:
        description = describe(file)
    except StoreError as e:
        raise CommandError(INVALID, str(e)) from None
    text = "\n".join(f"{name}: {value}" for name, value in description.items())
    return print_result(said, text, description)


@store_app.command(name="copy")
def store_copy(
    source: Annotated[
        str, Parameter(help="A control-plane node, host:port, or register.db of a stopped one.")
    ],
    to: Path,
    *,
    said: OutputOptions = DEFAULT_OUTPUT,
) -> int:
    """Copy the replicated state from a running control-plane node, or from the disk of a stopped one."""
    from latchspoke.ctl import stores

    try:
        if Path(source).exists():
            data = stores.export_copy(Path(source))
        else:
            data = query_control_plane(ControlPlaneOptions(control=source), "/register/copy").raw
        stores.write_private(to, data)
        description = stores.describe(to)
    except stores.StoreError as e:
        raise CommandError(INVALID, str(e)) from None
    text = (
        f"{to}: version {description['version']}, index {description['applied']};"
        " it contains keys, keep it safe"
    )
    return print_result(said, text, description)


@store_app.command(name="restore")
def store_restore(
    copy: Path,
    home: Annotated[Path, Parameter(help="The node's empty dataDirectory.")],
    *,
    me: Annotated[str, Parameter(help="This node's internal address, host:port.")],
    founders: Annotated[str, Parameter(help="Internal addresses of all founding nodes, including this one.")],
    said: OutputOptions = DEFAULT_OUTPUT,
) -> int:
    """Create the store of one founding node of a system restored from a copy. Run it on each of them."""
    from latchspoke.ctl import stores

    names = [name.strip() for name in founders.split(",") if name.strip()]
    for name in names:
        parse_address(name)
    try:
        snapshot = stores.restore(copy, home, me, names)
    except stores.StoreError as e:
        raise CommandError(INVALID, str(e)) from None
    result = {"home": str(home), "place": snapshot.index, "voters": list(snapshot.members.voters)}
    return print_result(said, f"{home}: starts at index {snapshot.index} with {', '.join(names)}", result)


def main(argv: Sequence[str]) -> int:
    """Run the command line; returns the exit code."""
    tokens = list(argv)
    try:
        code = app(tokens, exit_on_error=False, print_error=False)
    except CycloptsError as e:
        print(f"ctl: {e}".splitlines()[0], file=sys.stderr)
        return USAGE
    except CommandError as e:
        if "--json" in tokens:
            print(json.dumps({"ok": False, "exit": e.code, "error": str(e), **e.details}, indent=2))
        else:
            for line in str(e).splitlines():
                print(f"ctl: {line}", file=sys.stderr)
        return e.code
    except KeyboardInterrupt:
        return 130
    return code if isinstance(code, int) else DONE
