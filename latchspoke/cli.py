"""Gateway that admits requests by shared quotas and forwards them to a fleet of targets.

Usage:
  latchspoke serve [--config FILE]
  latchspoke check-config [--config FILE]
  latchspoke version
  latchspoke -h | --help

Commands:
  serve         Run the gateway in the foreground until SIGTERM; SIGHUP reads the configuration again.
  check-config  Read the configuration, say what it holds, and leave.
  version       Print the version.

Options:
  --config FILE  Configuration file, in place of the one that GW_CONFIG names.
  -h --help      Show this.

Exit codes: 0 done, 1 could not serve, 2 wrong usage or configuration.
"""

from __future__ import annotations

import os
import sys

from docopt import DocoptExit, docopt

from latchspoke import __version__
from latchspoke.config import ConfigError, load, reload


def main(argv: list[str] | None = None) -> int:
    try:
        args = docopt(__doc__, argv=argv)
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
    if args["check-config"]:
        settings = config.settings
        print(
            f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, gateway {settings.index} of "
            f"{settings.gateways}, {len(settings.classes)} classes, {len(settings.plans)} plans, "
            f"{len(config.known.entries)} targets known, {config.sockets} sockets"
        )
        return 0
    from latchspoke.net.serve import serve  # the sockets' libraries are loaded only to serve

    try:
        serve(config, lambda: reload(os.environ, args["--config"]))
    except OSError as e:
        print(f"latchspoke: can't serve on {config.listen[0]}:{config.listen[1]}: {e}", file=sys.stderr)
        return 1
    return 0
