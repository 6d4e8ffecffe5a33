"""Gateway that admits requests by shared quotas and forwards them to a fleet of targets.

Usage:
  latchspoke serve [--config FILE] [--admin PATH]
  latchspoke check-config [--config FILE]
  latchspoke version
  latchspoke COMMAND [ARGS...]
  latchspoke -h | --help

Commands:
  serve         Run the gateway in the foreground until SIGTERM; SIGHUP reads the configuration again.
  check-config  Read the configuration, print a summary, and exit.
  version       Print the version.
  agent         Run the agent that manages this machine's gateways.       (extra: fleet)
  fleet         List, inspect, start, drain, roll and compare instances.  (extra: fleet)
  records       Check, export and format settings files.                  (extra: fleet)
  duty          Duties that have one holder at a time: list, move, run.   (extra: fleet)
  rules         Versioned rules that all gateways act on.                 (extra: fleet)
  members       Members of the replicated log: list, add, remove.         (extra: fleet)
  keys          Certificate authority and certificates of the fleet.      (extra: fleet)
  trace         Recorded traffic: import HAR files and logs, show, check. (extra: lab)
  replay        Replay a trace to gateways, and report the accuracy.      (extra: lab)
  lab           Experiments with simulated servers, with reports.         (extra: lab)
  system        The whole system: start, check, status, explain, change.  (extra: system)

Options:
  --config FILE  Configuration file; overrides GW_CONFIG.
  --admin PATH   Unix socket for the view of the gateway's state; disabled by default.
  -h --help      Show this help. `latchspoke COMMAND --help` shows that of a command.

Exit codes: 0 success, 1 failure to serve, 2 wrong usage or configuration.
"""

from __future__ import annotations

import importlib
import os
import sys
from typing import Any

from docopt import DocoptExit, docopt

from latchspoke import __version__
from latchspoke.config import Config, ConfigError, load, reload

# Commands with further dependencies, imported on demand.
EXTERNAL_COMMANDS = {
    "agent": "latchspoke.console.agent",
    "fleet": "latchspoke.console.fleet",
    "records": "latchspoke.console.records",
    "duty": "latchspoke.console.duty",
    "members": "latchspoke.console.members",
    "rules": "latchspoke.console.rules",
    "keys": "latchspoke.console.keys",
    "trace": "latchspoke.console.trace",
    "replay": "latchspoke.console.replay",
    "lab": "latchspoke.console.lab",
    "system": "latchspoke.ctl.app",
}


def run_external_command(name: str, argv: list[str]) -> int:
    """Run a command of another module. If a dependency is missing, print what to install and return 2."""
    try:
        module = importlib.import_module(EXTERNAL_COMMANDS[name])
    except ModuleNotFoundError as e:
        if (e.name or "").partition(".")[0] == "latchspoke":
            raise
        print(
            f"latchspoke: {name} needs the library {e.name}: pip install 'latchspoke[fleet,lab,system]'",
            file=sys.stderr,
        )
        return 2
    return int(module.main(argv))


def main(argv: list[str] | None = None) -> int:
    """Run the command line, by default that of this process, and return the exit code."""
    argv = sys.argv[1:] if argv is None else argv
    if argv and argv[0] in EXTERNAL_COMMANDS:
        return run_external_command(argv[0], argv[1:])
    try:
        args = docopt(__doc__, argv=argv)
        if args["COMMAND"]:
            raise DocoptExit(f"latchspoke: unknown command or wrong arguments: {args['COMMAND']}")
    except DocoptExit as e:
        print(str(e), file=sys.stderr)
        return 2
    if args["version"]:
        print(__version__)
        return 0
    try:
        config = load(os.environ, args["--config"])
    except ConfigError as e:
        print(f"latchspoke: {e}", file=sys.stderr)
        return 2
    return print_summary(config) if args["check-config"] else run_gateway(config, args)


def print_summary(config: Config) -> int:
    """Print a one-line summary of a valid configuration, and return the exit code."""
    settings = config.settings
    print(
        f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, gateway {settings.index} of "
        f"{settings.gateways}, {len(settings.classes)} classes, {len(settings.plans)} plans, "
        f"{len(config.known_targets.entries)} targets known, {config.max_sockets} sockets"
    )
    return 0


def run_gateway(config: Config, args: dict[str, Any]) -> int:
    """Serve until SIGTERM, and return the exit code: 1 if the addresses can't be used."""
    from latchspoke.net.serve import serve  # its dependencies are not needed by other commands

    try:
        serve(config, lambda: reload(os.environ, args["--config"]), args["--admin"])
    except OSError as e:
        print(f"latchspoke: can't serve on {config.listen[0]}:{config.listen[1]}: {e}", file=sys.stderr)
        return 1
    return 0
