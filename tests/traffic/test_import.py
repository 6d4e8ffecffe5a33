"""From recorded files to a trace: every reader, every kind of bad time, retries, and what can't be read."""

from __future__ import annotations

import contextlib
import gzip
import json
import random
import tracemalloc
from pathlib import Path
from typing import Any

import pytest

from latchspoke.console import trace as command
from latchspoke.traffic import mapping
from latchspoke.traffic.importing import Import, SourceFile, Told
from latchspoke.traffic.mapping import Keys, read_mapping
from latchspoke.traffic.ordering import Counts, Placed, Settler, sort
from latchspoke.traffic.readers.accesslog import FormatError, LogFormat
from latchspoke.traffic.seen import Seen
from latchspoke.traffic.trace import ESTIMATED, SPREAD, STEPPED, Reader, Request, TraceError

NGINX = (
    '$remote_addr [$time_local] "$request" $status $body_bytes_sent $request_time'
    ' "$http_x_tier" "$http_req_retry"'
)
APACHE = '%h %l %u %t "%r" %>s %b %D "%{X-Tier}i"'


def nginx_line(
    second: str, key: int, status: int = 200, took: str = "0.100", tier: str = "mala", retry: str = "-"
) -> str:
    return (
        f'127.0.0.1 [10/Nov/2026:12:00:{second} +0100] "GET /balance-read?key={key:x} HTTP/1.1" '
        f'{status} 12 {took} "{tier}" "{retry}"'
    )


def made(
    tmp_path: Path, text: str | bytes, form: str, name: str = "g1.log", **more: Any
) -> tuple[list[Request], Told]:
    path = tmp_path / name
    path.write_bytes(text.encode() if isinstance(text, str) else text)
    work = Import([SourceFile(str(path), form, "g1")], read_mapping(None), **more)
    told = work.run(tmp_path / "out.trace")
    return list(Reader(tmp_path / "out.trace")), told


def har(*entries: dict[str, Any]) -> str:
    return json.dumps({"log": {"version": "1.2", "entries": list(entries)}})


def entry(
    second: float, key: int, status: int | None = 200, time: float = 100.0, **more: Any
) -> dict[str, Any]:
    made = {
        "startedDateTime": f"2026-11-10T12:00:{second:06.3f}+01:00", "time": time,
        "request": {
            "method": "GET", "url": f"https://bank.example.org/balance-read?key={key:x}",
            "headers": [{"name": "X-Tier", "value": "duza"}], "bodySize": 0,
        },
    }  # fmt: skip
    if status is not None:
        made["response"] = {"status": status}
    return made | more


# Readers.


def test_nginx_times_are_those_of_the_answer(tmp_path: Path) -> None:
    text = "\n".join([nginx_line("01", 1, took="0.500"), nginx_line("02", 2, 429)]) + "\n"
    requests, told = made(tmp_path, text, NGINX)
    assert [(r.customer, r.status, r.plan, r.took, r.kind) for r in requests] == [
        (1, 200, "mala", 500_000, "balance-read"), (2, 429, "mala", 100_000, "balance-read"),
    ]  # fmt: skip
    assert all(r.flags & SPREAD for r in requests) and not told.skipped
    assert requests[1].url == "/balance-read?key=2" and requests[1].gateway == "g1"


def test_apache_formats_with_and_without_fine_times(tmp_path: Path) -> None:
    line = '1.2.3.4 - - [10/Nov/2026:12:00:01 +0100] "GET /balance-read?key=a HTTP/1.1" 200 5 2500 "pelna"'
    requests, _ = made(tmp_path, line + "\n", APACHE)
    assert (requests[0].customer, requests[0].plan, requests[0].took) == (10, "pelna", 2500)
    fine = '%{msec}t "%r" %s'
    requests, _ = made(tmp_path, '1796128938291 "GET /x?key=1 HTTP/1.1" 500\n', fine)
    reader = Reader(tmp_path / "out.trace")
    assert reader.header.began == pytest.approx(1796128938.291) and reader.header.resolution == 0


@pytest.mark.parametrize(
    "form", ["%h %t", "$status $body_bytes_sent", "plain", "$a$b $request $time_local", "%Q %r"]
)
def test_a_format_that_can_t_be_used_is_said(form: str) -> None:
    with pytest.raises(FormatError):
        LogFormat(form)


def test_json_lines_with_times_in_any_unit(tmp_path: Path) -> None:
    lines = [
        {"time": 1796128938.5, "url": "/r?key=1", "status": 200, "duration_ms": 20},
        {"ts": 1796128939500, "url": "/r?key=2", "status": "503"},
        {"timestamp": "2026-12-01T12:42:21+00:00", "path": "/r?key=3", "headers": {"X-Tier": "mala"}},
    ]
    requests, _ = made(tmp_path, "".join(json.dumps(x) + "\n" for x in lines), "json")
    assert [r.at for r in requests] == [0, 1_000_000, 2_500_000]
    assert [(r.status, r.took, r.plan) for r in requests] == [
        (200, 20_000, ""),
        (503, -1, ""),
        (0, -1, "mala"),
    ]


def test_har_with_aborted_entries_overlaps_and_what_is_no_http(tmp_path: Path) -> None:
    text = har(
        entry(2.0, 1, connection="7"),
        entry(1.5, 2, connection="7"),  # overlaps the one before on its connection, and began earlier
        entry(3.0, 3, status=None, time=-1),  # aborted, without a response
        entry(4.0, 4, status=0),
        entry(4.5, 5, request={"method": "GET", "url": "data:text/plain,x"}),
        {"request": 7},
        entry(5.0, 6, status=200, startedDateTime="2026-11-10 noon"),
    )
    requests, told = made(tmp_path, text, "har")
    assert [r.customer for r in requests] == [2, 1, 3, 4, 6]
    assert [(r.status, r.took) for r in requests[2:4]] == [(0, -1), (0, 100_000)]
    assert requests[4].flags & ESTIMATED
    assert told.skipped == {"no HTTP request": 1, "entry can't be read": 1}
    assert "g1.log:6" in told.shown["entry can't be read"][0]


def test_a_log_rotated_in_the_middle_of_a_line(tmp_path: Path) -> None:
    text = nginx_line("01", 1) + "\n" + nginx_line("02", 2)[:50]
    requests, told = made(tmp_path, text, NGINX)
    assert len(requests) == 1 and told.skipped == {"line cut off at the end": 1}
    assert told.shown["line cut off at the end"][0].startswith(f"{tmp_path}/g1.log:2: 127.0.0.1")
    # The same line whole, without a line's end, is taken.
    requests, told = made(tmp_path, text[: text.index("\n")], NGINX)
    assert len(requests) == 1 and not told.skipped


def test_nothing_that_can_t_be_read_is_dropped_silently(tmp_path: Path) -> None:
    lines = [
        nginx_line("01", 1), "", "garbage", nginx_line("02", 2).replace("GET /", "\\x16\\x03"),
        nginx_line("03", 3).replace("key=", "kei="), "x" * 300_000, nginx_line("04", 4), "\xff\xfe",
    ]  # fmt: skip
    requests, told = made(tmp_path, ("\n".join(lines) + "\n").encode("latin-1"), NGINX)
    assert [r.customer for r in requests] == [1, 4]
    assert sum(told.skipped.values()) + len(requests) == len(lines)
    assert told.skipped["no customer"] == 1 and told.skipped["line too long"] == 1
    assert Reader(tmp_path / "out.trace").header.sources == [str(tmp_path / "g1.log")]


def test_packed_logs(tmp_path: Path) -> None:
    text = (nginx_line("01", 1) + "\n").encode()
    assert len(made(tmp_path, gzip.compress(text), NGINX)[0]) == 1


@pytest.mark.parametrize("form", ["har", "json", NGINX])
def test_a_trace_of_none_and_of_one(tmp_path: Path, form: str) -> None:
    requests, _ = made(tmp_path, har() if form == "har" else "", form)
    assert requests == [] and command.main(["check", str(tmp_path / "out.trace")]) == 0
    one = {"har": har(entry(1.0, 1)), "json": '{"time": 1.5, "url": "/x?key=1"}'}.get(
        form, nginx_line("01", 1)
    )
    requests, _ = made(tmp_path, one, form)
    assert [r.at for r in requests] == [0]
    assert command.main(["show", str(tmp_path / "out.trace"), "--json"]) == 0


# Times.


def settled(*entries: Seen, resolution: float = 0.0, window: float = 5.0) -> tuple[list[Placed], Settler]:
    settler = Settler(resolution, window, 0.0, random.Random(1))
    return list(settler.settle(entries)), settler


def at(time: float | None, line: int = 1, **more: Any) -> Seen:
    return Seen(line, time, "GET", "/", **more)


def test_missing_times_lie_between_their_neighbours() -> None:
    placed, settler = settled(at(None), at(10.0), at(None), at(None), at(13.0), at(None))
    assert [p.at for p in placed] == [10.0, 10.0, 11.0, 12.0, 13.0, 13.0]
    assert [bool(p.flags & ESTIMATED) for p in placed] == [True, False, True, True, False, True]
    assert settler.counts.estimated == 4


def test_a_second_s_entries_are_spread_within_it_in_their_order() -> None:
    placed, _ = settled(*(at(100.0) for _ in range(500)), at(101.0), resolution=1.0)
    times = [p.at for p in placed[:500]]
    assert times == sorted(times) and times[0] >= 100.0 and times[-1] < 101.0
    # Evenly on the whole: tenths of the second hold a tenth each, within chance.
    for tenth in range(10):
        assert 25 <= sum(1 for t in times if int((t - 100) * 10) == tenth) <= 80
    again, _ = settled(*(at(100.0) for _ in range(500)), at(101.0), resolution=1.0)
    assert [p.at for p in again] == [p.at for p in placed]


def test_a_clock_that_steps_back_goes_on_from_where_it_was() -> None:
    placed, settler = settled(at(100.0), at(101.0), at(41.0, 3), at(42.5), at(43.0))
    assert [p.at for p in placed] == [100.0, 101.0, 101.0, 102.5, 103.0]
    assert placed[2].flags & STEPPED and settler.counts.steps == 1 and settler.counts.stepped_at == [3]


def test_what_is_out_of_order_within_the_window_is_sorted_and_no_step() -> None:
    placed, settler = settled(at(100.0), at(103.0), at(101.0), at(104.0))
    assert settler.counts.steps == 0
    assert [p.at for p in sort(iter(placed), 5.0, Counts())] == [100.0, 101.0, 103.0, 104.0]


def test_durations_lead_back_to_the_request() -> None:
    placed, _ = settled(at(100.0, took=0.25, ends=True), at(100.0, took=0.25))
    assert [p.at for p in placed] == [99.75, 100.0]


def test_logs_of_gateways_with_skewed_clocks_are_merged(tmp_path: Path) -> None:
    for name, offset in (("a", 0.0), ("b", 30.0)):
        lines = [
            json.dumps({"time": 1000.0 + 2 * n + offset + (name == "b"), "url": f"/r?key={n}"})
            for n in range(5)
        ]
        (tmp_path / f"{name}.json").write_text("\n".join(lines))
    words = ["import", "--out", str(tmp_path / "t"), f"a={tmp_path / 'a.json'}", f"b={tmp_path / 'b.json'}"]
    assert command.main([*words, "--skew", "b=30"]) == 0
    requests = list(Reader(tmp_path / "t"))
    assert [r.gateway for r in requests] == ["a", "b"] * 5
    assert [r.at for r in requests] == [n * 1_000_000 for n in range(10)]
    assert command.main([*words, "--skew", "c=30"]) == 2


# Retries.


def tries(tmp_path: Path, *entries: dict[str, Any]) -> list[tuple[int, int]]:
    requests, _ = made(tmp_path, har(*entries), "har")
    assert command.main(["check", str(tmp_path / "out.trace")]) == 0
    return [(r.first, r.attempt) for r in requests]


def test_retries_belong_to_their_first_try(tmp_path: Path) -> None:
    told = tries(
        tmp_path,
        entry(1.0, 1, 503),
        entry(2.0, 1, 0),
        entry(3.0, 1, 200),
        entry(3.5, 1, 200),
        entry(4.0, 2, 200),
    )
    # Two retries; what follows a good answer is a try of its own.
    assert told == [(1, 0), (1, 1), (1, 2), (4, 0), (5, 0)]


def test_what_is_no_retry(tmp_path: Path) -> None:
    told = tries(
        tmp_path,
        entry(1.0, 1, 503, time=4000.0), entry(2.0, 1, 503),  # began before the first had ended
        entry(1.0, 2, 503), entry(9.0, 2, 200),  # too late
        entry(1.0, 3, 404), entry(2.0, 3, 200),  # the client's own fault
        entry(1.0, 4, 429), entry(2.0, 5, 200),  # another customer
    )  # fmt: skip
    assert [attempt for _, attempt in told] == [0] * 8


def test_a_try_has_only_so_many_attempts(tmp_path: Path) -> None:
    told = tries(tmp_path, *(entry(1.0 + n / 2, 1, 429) for n in range(7)))
    assert told == [(1, 0), (1, 1), (1, 2), (4, 0), (4, 1), (4, 2), (7, 0)]


def test_a_mark_and_an_id_tell_more_than_guesses(tmp_path: Path) -> None:
    retry = entry(2.0, 1)
    retry["request"]["headers"].append({"name": "Req-Retry", "value": "1"})
    assert tries(tmp_path, entry(1.0, 1, 200), retry) == [(1, 0), (1, 1)]
    (tmp_path / "map.cue").write_text('tryId: field: "try"\n')
    lines = [
        {"time": 1.0, "url": "/r?key=1", "status": 200, "try": "x"},
        {"time": 2.0, "url": "/r?key=1", "status": 503, "try": "y"},
        {"time": 3.0, "url": "/r?key=1", "status": 200, "try": "x"},
    ]
    path = tmp_path / "g.json"
    path.write_text("\n".join(json.dumps(x) for x in lines))
    words = ["import", "--map", str(tmp_path / "map.cue"), "--out", str(tmp_path / "t"), str(path)]
    assert command.main(words) == 0
    assert [(r.first, r.attempt) for r in Reader(tmp_path / "t")] == [(1, 0), (2, 0), (1, 1)]


# Names.


def test_two_customers_whose_keys_collide_stay_two(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(mapping.Keys, "hash", lambda self, name, salt: 7 + salt)
    keys = Keys()
    assert [keys.key(name) for name in ("union one", "union two", "union one", "7")] == [7, 8, 7, 9]
    assert keys.collisions == 3


def test_names_that_are_keys_stay_and_others_become_keys() -> None:
    keys = Keys()
    assert keys.key("00000000b4d65521") == 0xB4D65521
    assert keys.key("ffffffffffffffff") < 1 << 33
    assert keys.key("Spółdzielnia Łódź") < 1 << 33


# The format.


def test_a_trace_that_is_cut_off_or_spoilt_is_told(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    made(
        tmp_path,
        "".join(json.dumps({"time": n, "url": f"/r?key={n}"}) + "\n" for n in range(1, 9000)),
        "json",
    )
    whole = (tmp_path / "out.trace").read_bytes()
    assert len(list(Reader(tmp_path / "out.trace"))) == 8999
    bad = tmp_path / "bad.trace"
    for cut in (5, 60, len(whole) // 2, len(whole) - 1):
        bad.write_bytes(whole[:cut])
        with pytest.raises(TraceError):
            list(Reader(bad))
        assert command.main(["check", str(bad)]) == 1
    for place in range(20, len(whole), 997):
        bad.write_bytes(whole[:place] + bytes([whole[place] ^ 0x55]) + whole[place + 1 :])
        with contextlib.suppress(TraceError):
            assert len(list(Reader(bad))) == 8999
    assert "cut off" in capsys.readouterr().err


def test_an_import_that_fails_leaves_nothing(tmp_path: Path) -> None:
    words = ["import", "--out", str(tmp_path / "t"), "--format", "json", str(tmp_path / "none")]
    assert command.main(words) == 1
    assert list(tmp_path.iterdir()) == []


def test_a_part_is_a_trace_of_its_own(tmp_path: Path) -> None:
    made(tmp_path, har(entry(1.0, 1, 503), entry(2.0, 1, 429), entry(3.0, 1, 200), entry(4.0, 2)), "har")
    words = [
        "convert",
        "--as",
        "trace",
        "--from",
        "1s",
        "--out",
        str(tmp_path / "p"),
        str(tmp_path / "out.trace"),
    ]
    assert command.main(words) == 0 and command.main(["check", str(tmp_path / "p")]) == 0
    assert [(r.number, r.at, r.first, r.attempt) for r in Reader(tmp_path / "p")] == [
        (1, 0, 1, 0), (2, 1_000_000, 1, 1), (3, 2_000_000, 3, 0),
    ]  # fmt: skip


def test_memory_does_not_grow_with_the_log(tmp_path: Path) -> None:
    peaks = []
    for count in (5_000, 40_000):
        path = tmp_path / f"{count}.json"
        with open(path, "w") as file:
            for n in range(count):
                file.write(
                    json.dumps({"time": 1000 + n / 50, "url": f"/r?key={n % 100:x}", "status": 200}) + "\n"
                )
        tracemalloc.start()
        Import([SourceFile(str(path), "json", "g")], read_mapping(None), window=2.0).run(tmp_path / "t")
        peaks.append(tracemalloc.get_traced_memory()[1])
        tracemalloc.stop()
    assert peaks[1] < 1.5 * peaks[0], peaks
