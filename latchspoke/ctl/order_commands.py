"""Commands that give orders: rollouts of routes and of versions, evacuations."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from latchspoke.configuration import Document
from latchspoke.ctl import file_checks
from latchspoke.ctl.common import (
    CONFLICT,
    DEFAULT_CONTROL_PLANE,
    DONE,
    FINDINGS,
    INVALID,
    OUTCOME_UNKNOWN,
    CommandError,
    ControlPlaneOptions,
    control_plane_client,
    faults_as_json,
    print_result,
    query_control_plane,
    query_gateways,
    read_current,
    read_input,
    submit_command,
    submit_evacuation,
    value_or_fail,
)

rollout_app = App(
    name="rollout",
    help="Roll-outs: move a route to another service in steps, depending on failures and latency.",
)
version_app = App(name="version", help="Roll out a new version of a service's servers.")
evacuate_app = App(name="evacuate", help="Evacuate a zone, or end its evacuation.")

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
    return submit_evacuation(where, "begin", zone, f"{zone} gets nothing more")


@evacuate_app.command(name="finish")
def evacuate_finish(zone: str, *, where: ControlPlaneOptions = DEFAULT_CONTROL_PLANE) -> int:
    """End an evacuation of the zone."""
    return submit_evacuation(where, "finish", zone, f"{zone} is taken back")
