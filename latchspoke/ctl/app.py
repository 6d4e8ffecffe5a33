"""The commands. Each returns its exit code; with ``--json`` it prints one object with ``ok`` and ``exit``."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import urlencode

from cyclopts import App, CycloptsError, Parameter
from returns.result import Failure, Success

from latchspoke.configuration import Document
from latchspoke.ctl import client, common, file_checks, formatting, masks
from latchspoke.ctl.client import Reply
from latchspoke.ctl.common import (
    CONFLICT,
    DEFAULT_CONTROL_PLANE,
    DEFAULT_OUTPUT,
    DONE,
    FINDINGS,
    INVALID,
    NO_ANSWER,
    OUTCOME_UNKNOWN,
    USAGE,
    CommandError,
    ControlPlaneOptions,
    OutputOptions,
    parse_address,
    print_result,
    query_control_plane,
    query_gateways,
    read_current,
    read_input,
    submit_command,
    value_or_fail,
)
from latchspoke.ctl.doctor_command import doctor
from latchspoke.ctl.order_commands import evacuate_app, rollout_app, version_app
from latchspoke.ctl.store_commands import store_app
from latchspoke.pool.command import pool_app

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
caller_app = App(
    name="caller", help="Callers with shared session records: show a record, move a caller to another server."
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
app.command(doctor)


# Programs.

SettingsFile = Annotated[
    Path | None, Parameter(help="The settings file; by default the one that LATCHSPOKE_NODE_FILE names.")
]


@app.command
def dataplane(*, settings: SettingsFile = None) -> int:
    """Run a gateway until SIGTERM."""
    from latchspoke.program import run_to_end

    return run_to_end("dataplane", str(settings) if settings else None)


@app.command
def controlplane(*, settings: SettingsFile = None) -> int:
    """Run a control-plane node until SIGTERM."""
    from latchspoke.program import run_to_end

    return run_to_end("controlplane", str(settings) if settings else None)


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
    (answer,) = client.query_all([address], "/status", common.request_sender)
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
    match common.request_sender(address, "POST", "/explain", json.dumps(question).encode()):
        case Success(Reply(status=200) as reply):
            result = {**reply.body, **extra, "by": reply.source, "asked_caller": caller}
            return print_result(where, formatting.format_explanation(result), result)
        case Success(Reply() as reply):
            raise CommandError(NO_ANSWER, f"{reply.source}: {reply.reason}")
        case Failure(error):
            raise CommandError(NO_ANSWER, str(error))
    raise AssertionError


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
    match common.request_sender(parse_address(address), "POST", "/caller", json.dumps(question).encode()):
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
