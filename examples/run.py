"""The example world with three gateways under an agent: what ``make run-gateway`` starts.

It writes the gateways' configurations to ``.run/``, starts the toy world and the agent, sends some
requests through each gateway, shows ``latchspoke fleet list``, and goes on until Ctrl-C. Then it drains
the gateways. With ``--once`` it does all this once and ends.
"""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).parents[1]
RUN = ROOT / ".run"
FLEET = [sys.executable, "-m", "latchspoke", "fleet"]
SETTINGS = ["--fleet", str(ROOT / "examples" / "fleet" / "fleet.cue")]
GATEWAYS = {"n0": 7070, "n1": 7071, "n2": 7072}
UP_WITHIN = 30.0  # s


def write_configurations() -> None:
    """One for each gateway: the example's, with its number and how many there are."""
    RUN.mkdir(exist_ok=True)
    base = json.loads((ROOT / "examples" / "config.json").read_text())
    for index, (name, port) in enumerate(GATEWAYS.items()):
        settings = base["settings"] | {"Index": index, "NInstances": len(GATEWAYS)}
        told = base | {"name": name, "listen": f"127.0.0.1:{port}", "settings": settings}
        (RUN / f"{name}.json").write_text(json.dumps(told, indent=2))


def ask(port: int, number: int, plan: str) -> int:
    """One request through one gateway; its status."""
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}/balance-read?key={'7' if plan == 'small' else '8'}",
        headers={
            "Req-Id": f"{time.time_ns():x}-{number}", "Req-Kind": "balance-read", "X-Tier": plan,
            "Req-Deadline": "4", "X-Call-Terms": f"units=1,spread={len(GATEWAYS)},first=0",
        },
    )  # fmt: skip
    try:
        with urllib.request.urlopen(request, timeout=5) as answer:
            return int(answer.status)
    except urllib.error.HTTPError as e:
        return e.code
    except OSError:
        return 0


def ask_all(each: int) -> str:
    seen: Counter[str] = Counter()
    for number in range(each):
        for name, port in GATEWAYS.items():
            seen[f"{name} {ask(port, number, 'small' if number % 2 else 'large')}"] += 1
    return ", ".join(f"{key} x{count}" for key, count in sorted(seen.items()))


def fleet(*words: str) -> int:
    return subprocess.run([*FLEET, *words, *SETTINGS], check=False).returncode


def quietly(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([*FLEET, *words, "--json", *SETTINGS], capture_output=True, text=True, check=False)


def wait_ready(agent: subprocess.Popen[bytes]) -> bool:
    """Until the agent is heard; then start what an earlier run has stopped: agents keep what was asked."""
    end = time.monotonic() + UP_WITHIN
    while time.monotonic() < end and agent.poll() is None:
        if quietly("list").returncode == 0:
            return quietly("start", "--all").returncode == 0
        time.sleep(0.2)
    return False


def main() -> int:
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    once = "--once" in sys.argv
    write_configurations()
    # Their own session: Ctrl-C is for this program, which then ends them in order.
    world = subprocess.Popen([sys.executable, "examples/toy_server.py"], cwd=ROOT, start_new_session=True)
    agent = subprocess.Popen(
        [sys.executable, "-m", "latchspoke", "agent", "--config", "examples/fleet/agent.cue"],
        cwd=ROOT, start_new_session=True, stderr=(RUN / "agent.log").open("ab"),
    )  # fmt: skip
    try:
        if not wait_ready(agent):
            print(f"not up within {UP_WITHIN:g} s; see {RUN / 'agent.log'}", file=sys.stderr)
            return 1
        print(f"answers: {ask_all(6)}", flush=True)
        fleet("list")
        print(
            "\nrequests go on; try: .venv/bin/latchspoke fleet roll --all --fleet examples/fleet/fleet.cue\n"
            "Ctrl-C drains the gateways and ends it all",
            flush=True,
        )
        while not once:
            time.sleep(5)
            print(f"answers: {ask_all(2)}", flush=True)
    except KeyboardInterrupt:
        print()
    finally:
        if agent.poll() is None:
            fleet("stop", "--all")
        for process in (agent, world):
            process.terminate()
            process.wait(10)
    return 0


if __name__ == "__main__":
    sys.exit(main())
