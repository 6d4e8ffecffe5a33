"""The agent of this host: starts, watches, drains and restarts the gateways that its file names.

Usage:
  latchspoke agent --config FILE
  latchspoke agent -h | --help

Options:
  --config FILE  Its settings, as a typed record; `latchspoke records vet --schema agent FILE` checks them.
  -h --help      Show this.

It runs in the foreground until SIGTERM or Ctrl-C. Its gateways go on without it, and it finds them again.
Exit codes: 0 done, 1 could not run, 2 wrong usage or settings.
"""

from __future__ import annotations

import sys

from latchspoke.agent.config import read_agent
from latchspoke.agent.serve import AgentError, serve
from latchspoke.console.usage import read_usage
from latchspoke.records import RecordError


def main(argv: list[str]) -> int:
    args = read_usage(__doc__, "agent", argv)
    if args is None:
        return 2
    try:
        config = read_agent(args["--config"])
    except RecordError as e:
        print(e, file=sys.stderr)
        return 2
    try:
        serve(config)
    except AgentError as e:
        print(f"latchspoke agent: {e}", file=sys.stderr)
        return 1
    return 0
