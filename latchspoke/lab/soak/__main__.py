"""``python -m latchspoke.lab.soak``: the real programs on loopback for some seconds, for one seed or several.

Exit codes: 0 nothing found, 1 something was, 2 a run that didn't come up or wrong usage.
"""

from __future__ import annotations

import json
import shutil
import sys
import tempfile
from pathlib import Path
from typing import Literal

import cyclopts

from latchspoke.lab.soak.deployments import DEPLOYMENTS
from latchspoke.lab.soak.fleet import claim_net
from latchspoke.lab.soak.run import NotUpError, Plan, play

DeploymentName = Literal["small", "kasa-brama", "zm-notify"]
app = cyclopts.App(name="soak", help=__doc__)
MAX_PRINTED_FINDINGS = 8  # findings of a run that are printed


@app.default
def soak(
    *, seed: int = 1, seeds: int = 1, seconds: float = 15.0, gateways: int | None = None,
    control: int | None = None, clients: int = 24, series: int = 3, keep: str = "",
    deployment: DeploymentName = "small", strange: bool = False, troubles: bool = False,
    hostile: bool = False,
) -> int:  # fmt: skip
    """Play so many seeds from --seed on; --keep FOLDER keeps all logs, else those of findings stay.

    --deployment gives machines, limits and bounds; --strange plays machines that nobody prepared; --troubles
    plays losses of many machines at once, cuts, clock steps, processor quotas, machines that join and go;
    --hostile adds crowds of clients that nobody controls, all the time.
    """
    site = DEPLOYMENTS[deployment]
    bad = 0
    for number in range(seed, seed + seeds):
        plan = Plan(
            number, seconds, gateways or site.gateways.count, control or site.control.count, clients,
            series=series, deployment=site, strange=strange, troubles=troubles, hostile=hostile,
        )  # fmt: skip
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{number}-", dir=keep or None))
        net, claim = claim_net()
        try:
            with claim:
                found, counts = play(plan, folder, net)
        except NotUpError as e:
            print(f"seed {number}: {e}; logs in {folder}", file=sys.stderr)
            return 2
        print(f"seed {number}: {len(found)} findings, {json.dumps(counts)}", flush=True)
        for finding in found[:MAX_PRINTED_FINDINGS]:
            print(f"    {finding}", flush=True)
        if found:
            bad += 1
            print(f"    logs in {folder}", flush=True)
        elif not keep:
            shutil.rmtree(folder, ignore_errors=True)
    print(f"{seeds} runs, {bad} with findings")
    return int(bad > 0)


if __name__ == "__main__":
    sys.exit(int(app(result_action="return_value") or 0))
