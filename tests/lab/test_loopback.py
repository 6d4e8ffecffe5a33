"""Short replays and experiments on loopback sockets: counts, interrupts and injected faults."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from latchspoke.console import lab, trace
from latchspoke.lab.loopback.http import HttpServerConnection, PendingResponse, response
from latchspoke.traffic.trace import Header, Reader, Request, Writer

ROOT = Path(__file__).parents[2]


class FakeGateway(HttpServerConnection):
    """Responds with a status chosen by the customer number."""

    seen = 0
    statuses = {0: 200, 1: 200, 2: 429, 3: 200}  # noqa: RUF012

    def handle_request(self, place: PendingResponse) -> None:
        key = re.search(rb"key=([0-9a-f]+)", self.url)
        if key is None:
            place.answer(response(200, str(FakeGateway.seen).encode()))
            return
        FakeGateway.seen += 1
        status = self.statuses[int(key.group(1), 16) % 4]
        place.answer(response(status if status == 200 else 503, headers="Retry-After: 0.1\r\n"))


SERVER = """
import asyncio, sys
from tests.lab.test_loopback import FakeGateway
async def main():
    server = await asyncio.get_running_loop().create_server(FakeGateway, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()
asyncio.run(main())
"""


@pytest.fixture
def gateway_address() -> Iterator[str]:
    process = subprocess.Popen([sys.executable, "-c", SERVER], cwd=ROOT, stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout is not None
        yield f"127.0.0.1:{int(process.stdout.readline())}"
    finally:
        process.terminate()
        process.communicate(timeout=10)


def write_trace(path: Path, count: int, gap: float, retries: bool = False) -> Path:
    writer = Writer(path, Header(0.0, ["made here"]))
    number = 0
    for n in range(count):
        number += 1
        first, at = number, round(n * gap * 1e6)
        writer.add(
            Request(first, at, n % 8, "mala", "r", "GET", f"/r?key={n % 8:x}", f"g{n % 3}", 503, 1, first)
        )
        if retries:
            number += 1
            writer.add(
                Request(number, at, n % 8, "mala", "r", "GET", f"/r?key={n % 8:x}", "g0", 200, 1, first, 1)
            )
    writer.close()
    return path


def replay(*arguments: str) -> tuple[int, dict[str, object]]:
    completed = subprocess.run(
        [sys.executable, "-m", "latchspoke", "replay", *arguments, "--json"],
        cwd=ROOT, capture_output=True, text=True, timeout=60, check=False,
    )  # fmt: skip
    return completed.returncode, json.loads(completed.stdout) if completed.stdout else {
        "error": completed.stderr
    }


def test_a_replay_reproduces_arrivals_and_counts_retries_as_part_of_first_tries(
    tmp_path: Path, gateway_address: str
) -> None:
    path = write_trace(tmp_path / "t", 300, 0.005, retries=True)
    code, report = replay(
        "--to",
        f"{gateway_address},{gateway_address},{gateway_address}",
        "--processes",
        "2",
        "--out",
        str(tmp_path / "r"),
        str(path),
    )
    assert code in (0, 3), report
    arrivals = report["arrivals"]
    assert isinstance(arrivals, dict)
    for kind in ("customers", "gateways"):
        assert (arrivals[kind]["played"], arrivals[kind]["elsewhere"]) == (300, 0.0)
    tries = report["first_tries"]
    assert isinstance(tries, dict) and sum(tries["mala"].values()) == 300
    assert tries["mala"]["refused"] == 75
    assert report["retries"] == 150  # the client model retries each refused request twice
    page = (tmp_path / "r" / "report.html").read_text()
    assert "<svg" in page and "Replay of t" in page
    assert json.loads((tmp_path / "r" / "report.json").read_text())["runs"][0]["retries"] == 150


def test_verbatim_replays_recorded_retries(tmp_path: Path, gateway_address: str) -> None:
    path = write_trace(tmp_path / "t", 50, 0.01, retries=True)
    _, report = replay(
        "--to", f"g0={gateway_address},g1={gateway_address},g2={gateway_address}", "--verbatim", str(path)
    )
    tries, attempts = report["first_tries"], report["attempts"]
    assert isinstance(tries, dict) and isinstance(attempts, dict)
    assert sum(attempts["mala"].values()) == 100 and sum(tries["mala"].values()) == 50
    assert report["retries"] == 0


@pytest.mark.parametrize("count", [0, 1])
def test_an_empty_trace_and_one_of_a_single_request_are_played(
    tmp_path: Path, gateway_address: str, count: int
) -> None:
    path = write_trace(tmp_path / "t", count, 0.01)
    code, report = replay("--to", gateway_address, "--out", str(tmp_path / "r"), str(path))
    assert code == 0, report
    assert (tmp_path / "r" / "report.html").exists()


def test_ctrl_c_reports_exactly_what_was_played(tmp_path: Path, gateway_address: str) -> None:
    path = write_trace(tmp_path / "t", 6000, 0.01)
    process = subprocess.Popen(
        [sys.executable, "-m", "latchspoke", "replay",
         "--to", f"{gateway_address},{gateway_address},{gateway_address}", "--json",
         "--out", str(tmp_path / "r"), str(path)],
        cwd=ROOT, stdout=subprocess.PIPE, text=True, start_new_session=True,
    )  # fmt: skip
    end = time.monotonic() + 30
    while int(urllib.request.urlopen(f"http://{gateway_address}/seen", timeout=5).read()) < 100:
        assert time.monotonic() < end, "nothing was played"
        time.sleep(0.05)
    os.killpg(process.pid, signal.SIGINT)
    out, _ = process.communicate(timeout=20)
    report = json.loads(out)
    assert process.returncode == 130 and report["interrupted"]
    played = report["arrivals"]["customers"]["played"]
    assert 0 < played < 3000
    assert sum(report["first_tries"]["mala"].values()) == played
    assert "interrupted" in (tmp_path / "r" / "report.html").read_text()


def test_invalid_arguments_are_refused(tmp_path: Path, gateway_address: str) -> None:
    path = str(write_trace(tmp_path / "t", 10, 0.01))
    for arguments, expected in (
        (("--to", "g0=nowhere"), "--to takes"), (("--to", gateway_address), "recorded at g1, g2 too"),
        (("--to", f"{gateway_address},{gateway_address},{gateway_address}", "--speed", "0"), "--speed takes"),
    ):  # fmt: skip
        code, report = replay(*arguments, path)
        assert code == 2 and expected in str(report["error"])
    assert replay("--to", gateway_address, str(tmp_path / "none"))[0] == 1


EXPERIMENT = """
name: "Short"
duration: "3s"
repeats: 1
gateways: {count: 2, spread: 2}
nodes: {count: 4, work: "20ms"}
plans: p: {customers: 20, use: 0.5, rate: 5, burst: 10, ceilingRate: 10, ceilingBurst: 20}
"""


def run_lab(tmp_path: Path, more: str = "") -> Any:
    (tmp_path / "x.cue").write_text(EXPERIMENT + more)
    assert lab.main(["run", "--out", str(tmp_path / "out"), str(tmp_path / "x.cue")]) == 0
    return json.loads((tmp_path / "out" / "report.json").read_text())


def test_a_run_without_faults_serves_requests_within_quotas(tmp_path: Path) -> None:
    report = run_lab(tmp_path)
    run = report["runs"][0]
    assert run["figures"]["served worth"] > 0.9, run["figures"]
    assert run["use"]["p"]["over_ceiling"] == 0
    sent = run["use"]["p"]["inside"] + run["use"]["p"]["beyond"]
    served = sum(count for count, _ in run["nodes"].values())
    assert served == run["attempts_at_nodes"] >= sent > 80
    assert run["counter_calls"] > 0
    assert [g["ended"] for g in run["processes"]] == ["", ""]


def test_faults_reduce_the_served_worth(tmp_path: Path) -> None:
    report = run_lab(
        tmp_path,
        "variants: {calm: {}, troubled: set: faults: ["
        '{kind: "hang", at: "0.5s", for: "2.5s", nodes: 4}, {kind: "counter-gone", at: "1s", for: "2s"}]}',
    )
    rows = {r["figure"]: r["variants"] for r in report["compared"]}
    calm, troubled = (rows["served worth"][name][0] for name in ("calm", "troubled"))
    assert troubled < calm - 0.3
    assert "hang on s-0" in (tmp_path / "out" / "report.html").read_text()


def test_gateways_avoid_one_faulty_node_for_every_kind_of_fault(tmp_path: Path) -> None:
    kinds = ("vanish", "reset", "restart", "spoil", "fail-fast", "slow")
    faults = ", ".join(
        f'{{kind: "{k}", at: "{1 + n * 0.2}s", for: "1s", nodes: 1, amount: 0.5}}'
        for n, k in enumerate(kinds)
    )
    run = run_lab(tmp_path, f"faults: [{faults}]")["runs"][0]
    assert run["figures"]["served worth"] > 0.8, run["figures"]
    assert len(run["troubles"]) == len(kinds)


def test_a_gateway_killed_during_a_run_is_reported(tmp_path: Path) -> None:
    async def kill_one() -> None:
        from latchspoke.lab.experiment import read_experiment
        from latchspoke.lab.loopback.run import Run

        (tmp_path / "x.cue").write_text(EXPERIMENT)
        run = Run(read_experiment(tmp_path / "x.cue"), "x", 1, "", tmp_path / "runs")
        task = asyncio.get_running_loop().create_task(run.play())
        while len(run.gateways) < 2:
            await asyncio.sleep(0.02)
        while run.quota_auditor.attempts < 20:  # the run is under way
            await asyncio.sleep(0.02)
        run.gateways[1].process.kill()
        result = await task
        assert result.gateways[1].ended == "ended by itself, code -9"
        assert result.outcomes.gateways[1]["not connected"] > 0
        assert result.outcomes.gateways[0]["served"] > 50

    asyncio.run(kill_one())


def test_retries_of_an_imported_capture_count_as_one_first_attempt(
    tmp_path: Path, gateway_address: str
) -> None:
    entries = [
        {
            "startedDateTime": f"2026-11-10T12:00:0{at}+00:00", "time": 50,
            "request": {"method": "GET", "url": f"https://x/r?key={key}", "headers": [], "bodySize": 0},
            "response": {"status": status},
        }
        for at, key, status in (("1.0", 1, 503), ("1.5", 1, 503), ("2.0", 1, 200), ("2.5", 4, 200))
    ]  # fmt: skip
    (tmp_path / "c.har").write_text(json.dumps({"log": {"version": "1.2", "entries": entries}}))
    assert trace.main(["import", "--out", str(tmp_path / "t"), str(tmp_path / "c.har")]) == 0
    reader = Reader(tmp_path / "t")
    assert len(list(reader)) == 4 and reader.footer is not None and reader.footer.first_tries == 2
    code, report = replay("--to", gateway_address, "--out", str(tmp_path / "r"), str(tmp_path / "t"))
    assert code == 0 and report["first_tries"] == {"": {"served": 2}}
    assert json.loads((tmp_path / "r/report.json").read_text())["runs"][0]["first_tries"] == {
        "": {"served": 2}
    }
