"""Gateway that admits requests by shared quotas and forwards them to a fleet of targets.

Usage:
  latchspoke serve [--config FILE] [--admin PATH]
  latchspoke check-config [--config FILE]
  latchspoke version
  latchspoke COMMAND [ARGS...]
  latchspoke -h | --help

Commands:
  serve         Run the gateway in the foreground until SIGTERM; SIGHUP reads the configuration again.
  check-config  Read the configuration, say what it holds, and leave.
  version       Print the version.
  agent         Run the agent that manages this machine's gateways.       (extra: fleet)
  fleet         List, inspect, start, drain, roll and compare instances.  (extra: fleet)
  records       Check, export and format settings files.                  (extra: fleet)
  duty          Duties that one holder has at a time: list, move, run.    (extra: fleet)
  rules         Rules with versions on which the gateways agree.        (extra: fleet)
  members       The members of the replicated log: list, add, remove.     (extra: fleet)
  keys          The fleet's own authority and its certificates.           (extra: fleet)
  trace         Recorded traffic: import HAR files and logs, show, check. (extra: lab)
  replay        Play a trace against gateways, and say how true it was.   (extra: lab)
  lab           Experiments on stand-in servers, with reports.            (extra: lab)
  system        The whole system: start, check, status, explain, change.  (extra: system)

Options:
  --config FILE  Configuration file, in place of the one that GW_CONFIG names.
  --admin PATH   Unix socket on which the gateway shows its own view; off unless given.
  -h --help      Show this. `latchspoke COMMAND --help` tells of one command.

Exit codes: 0 done, 1 could not serve, 2 wrong usage or configuration.
"""

from __future__ import annotations

import importlib
import os
import sys
from typing import Any

from docopt import DocoptExit, docopt

from latchspoke import __version__
from latchspoke.config import Config, ConfigError, load, reload

# What needs more than the gateway's own requirements is loaded only when it is asked for.
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
    """A command of the console; one line says what to install where its libraries are missing."""
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
    argv = sys.argv[1:] if argv is None else argv
    if argv and argv[0] in EXTERNAL_COMMANDS:
        return run_external_command(argv[0], argv[1:])
    try:
        args = docopt(__doc__, argv=argv)
        if args["COMMAND"]:
            raise DocoptExit(f"latchspoke: no such command, or not with these words: {args['COMMAND']}")
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
    return describe(config) if args["check-config"] else run_gateway(config, args)


def describe(config: Config) -> int:
    settings = config.settings
    print(
        f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, gateway {settings.index} of "
        f"{settings.gateways}, {len(settings.classes)} classes, {len(settings.plans)} plans, "
        f"{len(config.known_targets.entries)} targets known, {config.max_sockets} sockets"
    )
    return 0


def run_gateway(config: Config, args: dict[str, Any]) -> int:
    from latchspoke.net.serve import serve  # the sockets' libraries are loaded only to serve

    try:
        serve(config, lambda: reload(os.environ, args["--config"]), args["--admin"])
    except OSError as e:
        print(f"latchspoke: can't serve on {config.listen[0]}:{config.listen[1]}: {e}", file=sys.stderr)
        return 1
    return 0
