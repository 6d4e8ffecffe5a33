"""Import of recorded traffic: readers, timestamp repair, retry detection and invalid input."""

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
from latchspoke.traffic.importer import ImportReport, SourceFile, TraceImporter
from latchspoke.traffic.mapping import CustomerKeys, read_mapping
from latchspoke.traffic.ordering import (
    TimedExchange,
    TimestampCounts,
    TimestampNormalizer,
    sort_within_window,
)
from latchspoke.traffic.readers.accesslog import FormatError, LogFormat
from latchspoke.traffic.recorded import RecordedExchange
from latchspoke.traffic.trace import ESTIMATED, SPREAD, STEPPED, Reader, Request, TraceError

NGINX = (
    '$remote_addr [$time_local] "$request" $status $body_bytes_sent $request_time'
    ' "$http_x_tier" "$http_req_retry"'
)
APACHE = '%h %l %u %t "%r" %>s %b %D "%{X-Tier}i"'


def nginx_line(
    second: str,
    key: int,
    status: int = 200,
    duration_text: str = "0.100",
    tier: str = "mala",
    retry: str = "-",
) -> str:
    return (
        f'127.0.0.1 [10/Nov/2026:12:00:{second} +0100] "GET /balance-read?key={key:x} HTTP/1.1" '
        f'{status} 12 {duration_text} "{tier}" "{retry}"'
    )


def import_text(
    tmp_path: Path, text: str | bytes, format_text: str, name: str = "g1.log", **options: Any
) -> tuple[list[Request], ImportReport]:
    path = tmp_path / name
    path.write_bytes(text.encode() if isinstance(text, str) else text)
    importer = TraceImporter([SourceFile(str(path), format_text, "g1")], read_mapping(None), **options)
    report = importer.run(tmp_path / "out.trace")
    return list(Reader(tmp_path / "out.trace")), report


def har_text(*entries: dict[str, Any]) -> str:
    return json.dumps({"log": {"version": "1.2", "entries": list(entries)}})


def har_entry(
    second: float, key: int, status: int | None = 200, time: float = 100.0, **options: Any
) -> dict[str, Any]:
    value = {
        "startedDateTime": f"2026-11-10T12:00:{second:06.3f}+01:00", "time": time,
        "request": {
            "method": "GET", "url": f"https://bank.example.org/balance-read?key={key:x}",
            "headers": [{"name": "X-Tier", "value": "duza"}], "bodySize": 0,
        },
    }  # fmt: skip
    if status is not None:
        value["response"] = {"status": status}
    return value | options


# Readers.


def test_nginx_times_are_response_times(tmp_path: Path) -> None:
    text = "\n".join([nginx_line("01", 1, duration_text="0.500"), nginx_line("02", 2, 429)]) + "\n"
    requests, report = import_text(tmp_path, text, NGINX)
    assert [(r.customer, r.status, r.plan, r.took, r.kind) for r in requests] == [
        (1, 200, "mala", 500_000, "balance-read"), (2, 429, "mala", 100_000, "balance-read"),
    ]  # fmt: skip
    assert all(r.flags & SPREAD for r in requests) and not report.skipped
    assert requests[1].url == "/balance-read?key=2" and requests[1].gateway == "g1"


def test_apache_formats_with_second_and_millisecond_times(tmp_path: Path) -> None:
    line = '1.2.3.4 - - [10/Nov/2026:12:00:01 +0100] "GET /balance-read?key=a HTTP/1.1" 200 5 2500 "pelna"'
    requests, _ = import_text(tmp_path, line + "\n", APACHE)
    assert (requests[0].customer, requests[0].plan, requests[0].took) == (10, "pelna", 2500)
    fine = '%{msec}t "%r" %s'
    requests, _ = import_text(tmp_path, '1796128938291 "GET /x?key=1 HTTP/1.1" 500\n', fine)
    reader = Reader(tmp_path / "out.trace")
    assert reader.header.began == pytest.approx(1796128938.291) and reader.header.resolution == 0


@pytest.mark.parametrize(
    "format_text", ["%h %t", "$status $body_bytes_sent", "plain", "$a$b $request $time_local", "%Q %r"]
)
def test_unsupported_log_formats_are_rejected(format_text: str) -> None:
    with pytest.raises(FormatError):
        LogFormat(format_text)


def test_json_lines_accept_times_in_any_unit(tmp_path: Path) -> None:
    lines = [
        {"time": 1796128938.5, "url": "/r?key=1", "status": 200, "duration_ms": 20},
        {"ts": 1796128939500, "url": "/r?key=2", "status": "503"},
        {"timestamp": "2026-12-01T12:42:21+00:00", "path": "/r?key=3", "headers": {"X-Tier": "mala"}},
    ]
    requests, _ = import_text(
        tmp_path, "".join(json.dumps(line_object) + "\n" for line_object in lines), "json"
    )
    assert [r.at for r in requests] == [0, 1_000_000, 2_500_000]
    assert [(r.status, r.took, r.plan) for r in requests] == [
        (200, 20_000, ""),
        (503, -1, ""),
        (0, -1, "mala"),
    ]


def test_har_with_aborted_overlapping_and_non_http_entries(tmp_path: Path) -> None:
    text = har_text(
        har_entry(2.0, 1, connection="7"),
        har_entry(1.5, 2, connection="7"),  # overlaps the previous entry on its connection and began earlier
        har_entry(3.0, 3, status=None, time=-1),  # aborted, without a response
        har_entry(4.0, 4, status=0),
        har_entry(4.5, 5, request={"method": "GET", "url": "data:text/plain,x"}),
        {"request": 7},
        har_entry(5.0, 6, status=200, startedDateTime="2026-11-10 noon"),
    )
    requests, report = import_text(tmp_path, text, "har")
    assert [r.customer for r in requests] == [2, 1, 3, 4, 6]
    assert [(r.status, r.took) for r in requests[2:4]] == [(0, -1), (0, 100_000)]
    assert requests[4].flags & ESTIMATED
    assert report.skipped == {"no HTTP request": 1, "entry can't be read": 1}
    assert "g1.log:6" in report.examples["entry can't be read"][0]


def test_last_line_truncated_by_log_rotation_is_skipped(tmp_path: Path) -> None:
    text = nginx_line("01", 1) + "\n" + nginx_line("02", 2)[:50]
    requests, report = import_text(tmp_path, text, NGINX)
    assert len(requests) == 1 and report.skipped == {"line cut off at the end": 1}
    assert report.examples["line cut off at the end"][0].startswith(f"{tmp_path}/g1.log:2: 127.0.0.1")
    # A complete last line without a line end is imported.
    requests, report = import_text(tmp_path, text[: text.index("\n")], NGINX)
    assert len(requests) == 1 and not report.skipped


def test_every_unreadable_line_is_counted(tmp_path: Path) -> None:
    lines = [
        nginx_line("01", 1), "", "garbage", nginx_line("02", 2).replace("GET /", "\\x16\\x03"),
        nginx_line("03", 3).replace("key=", "kei="), "x" * 300_000, nginx_line("04", 4), "\xff\xfe",
    ]  # fmt: skip
    requests, report = import_text(tmp_path, ("\n".join(lines) + "\n").encode("latin-1"), NGINX)
    assert [r.customer for r in requests] == [1, 4]
    assert sum(report.skipped.values()) + len(requests) == len(lines)
    assert report.skipped["no customer"] == 1 and report.skipped["line too long"] == 1
    assert Reader(tmp_path / "out.trace").header.sources == [str(tmp_path / "g1.log")]


def test_compressed_logs(tmp_path: Path) -> None:
    text = (nginx_line("01", 1) + "\n").encode()
    assert len(import_text(tmp_path, gzip.compress(text), NGINX)[0]) == 1


@pytest.mark.parametrize("format_text", ["har", "json", NGINX])
def test_traces_of_zero_and_one_request(tmp_path: Path, format_text: str) -> None:
    requests, _ = import_text(tmp_path, har_text() if format_text == "har" else "", format_text)
    assert requests == [] and command.main(["check", str(tmp_path / "out.trace")]) == 0
    single = {"har": har_text(har_entry(1.0, 1)), "json": '{"time": 1.5, "url": "/x?key=1"}'}.get(
        format_text, nginx_line("01", 1)
    )
    requests, _ = import_text(tmp_path, single, format_text)
    assert [r.at for r in requests] == [0]
    assert command.main(["show", str(tmp_path / "out.trace"), "--json"]) == 0


# Timestamps.


def normalize_entries(
    *entries: RecordedExchange, resolution: float = 0.0, window: float = 5.0
) -> tuple[list[TimedExchange], TimestampNormalizer]:
    normalizer = TimestampNormalizer(resolution, window, 0.0, random.Random(1))
    return list(normalizer.normalize(entries)), normalizer


def exchange_at(time: float | None, line: int = 1, **options: Any) -> RecordedExchange:
    return RecordedExchange(line, time, "GET", "/", **options)


def test_missing_times_are_interpolated() -> None:
    timed, normalizer = normalize_entries(
        exchange_at(None),
        exchange_at(10.0),
        exchange_at(None),
        exchange_at(None),
        exchange_at(13.0),
        exchange_at(None),
    )
    assert [p.at for p in timed] == [10.0, 10.0, 11.0, 12.0, 13.0, 13.0]
    assert [bool(p.flags & ESTIMATED) for p in timed] == [True, False, True, True, False, True]
    assert normalizer.counts.estimated == 4


def test_equal_times_are_spread_within_the_second_in_order() -> None:
    timed, _ = normalize_entries(
        *(exchange_at(100.0) for _ in range(500)), exchange_at(101.0), resolution=1.0
    )
    times = [p.at for p in timed[:500]]
    assert times == sorted(times) and times[0] >= 100.0 and times[-1] < 101.0
    # Roughly uniform: each tenth of the second holds about a tenth of the entries.
    for tenth in range(10):
        assert 25 <= sum(1 for t in times if int((t - 100) * 10) == tenth) <= 80
    again, _ = normalize_entries(
        *(exchange_at(100.0) for _ in range(500)), exchange_at(101.0), resolution=1.0
    )
    assert [p.at for p in again] == [p.at for p in timed]


def test_backward_clock_steps_are_compensated() -> None:
    timed, normalizer = normalize_entries(
        exchange_at(100.0), exchange_at(101.0), exchange_at(41.0, 3), exchange_at(42.5), exchange_at(43.0)
    )
    assert [p.at for p in timed] == [100.0, 101.0, 101.0, 102.5, 103.0]
    assert (
        timed[2].flags & STEPPED
        and normalizer.counts.clock_steps == 1
        and normalizer.counts.stepped_lines == [3]
    )


def test_entries_out_of_order_within_the_window_are_sorted() -> None:
    timed, normalizer = normalize_entries(
        exchange_at(100.0), exchange_at(103.0), exchange_at(101.0), exchange_at(104.0)
    )
    assert normalizer.counts.clock_steps == 0
    assert [p.at for p in sort_within_window(iter(timed), 5.0, TimestampCounts())] == [
        100.0,
        101.0,
        103.0,
        104.0,
    ]


def test_response_times_are_converted_to_request_times() -> None:
    timed, _ = normalize_entries(
        exchange_at(100.0, duration_s=0.25, at_is_end=True), exchange_at(100.0, duration_s=0.25)
    )
    assert [p.at for p in timed] == [99.75, 100.0]


def test_logs_of_gateways_with_skewed_clocks_are_merged(tmp_path: Path) -> None:
    for name, offset in (("a", 0.0), ("b", 30.0)):
        lines = [
            json.dumps({"time": 1000.0 + 2 * n + offset + (name == "b"), "url": f"/r?key={n}"})
            for n in range(5)
        ]
        (tmp_path / f"{name}.json").write_text("\n".join(lines))
    arguments = [
        "import",
        "--out",
        str(tmp_path / "t"),
        f"a={tmp_path / 'a.json'}",
        f"b={tmp_path / 'b.json'}",
    ]
    assert command.main([*arguments, "--skew", "b=30"]) == 0
    requests = list(Reader(tmp_path / "t"))
    assert [r.gateway for r in requests] == ["a", "b"] * 5
    assert [r.at for r in requests] == [n * 1_000_000 for n in range(10)]
    assert command.main([*arguments, "--skew", "c=30"]) == 2


# Retries.


def import_attempts(tmp_path: Path, *entries: dict[str, Any]) -> list[tuple[int, int]]:
    requests, _ = import_text(tmp_path, har_text(*entries), "har")
    assert command.main(["check", str(tmp_path / "out.trace")]) == 0
    return [(r.first, r.attempt) for r in requests]


def test_retries_refer_to_their_first_attempt(tmp_path: Path) -> None:
    attempts = import_attempts(
        tmp_path,
        har_entry(1.0, 1, 503),
        har_entry(2.0, 1, 0),
        har_entry(3.0, 1, 200),
        har_entry(3.5, 1, 200),
        har_entry(4.0, 2, 200),
    )
    # Two retries; a request after a success is a new first attempt.
    assert attempts == [(1, 0), (1, 1), (1, 2), (4, 0), (5, 0)]


def test_requests_that_are_not_retries(tmp_path: Path) -> None:
    attempts = import_attempts(
        tmp_path,
        har_entry(1.0, 1, 503, time=4000.0), har_entry(2.0, 1, 503),  # began before the first had ended
        har_entry(1.0, 2, 503), har_entry(9.0, 2, 200),  # too late
        har_entry(1.0, 3, 404), har_entry(2.0, 3, 200),  # client error, not retried
        har_entry(1.0, 4, 429), har_entry(2.0, 5, 200),  # another customer
    )  # fmt: skip
    assert [attempt for _, attempt in attempts] == [0] * 8


def test_retries_are_limited(tmp_path: Path) -> None:
    attempts = import_attempts(tmp_path, *(har_entry(1.0 + n / 2, 1, 429) for n in range(7)))
    assert attempts == [(1, 0), (1, 1), (1, 2), (4, 0), (4, 1), (4, 2), (7, 0)]


def test_retry_marks_and_try_ids_take_precedence(tmp_path: Path) -> None:
    retry = har_entry(2.0, 1)
    retry["request"]["headers"].append({"name": "Req-Retry", "value": "1"})
    assert import_attempts(tmp_path, har_entry(1.0, 1, 200), retry) == [(1, 0), (1, 1)]
    (tmp_path / "map.cue").write_text('tryId: field: "try"\n')
    lines = [
        {"time": 1.0, "url": "/r?key=1", "status": 200, "try": "x"},
        {"time": 2.0, "url": "/r?key=1", "status": 503, "try": "y"},
        {"time": 3.0, "url": "/r?key=1", "status": 200, "try": "x"},
    ]
    path = tmp_path / "g.json"
    path.write_text("\n".join(json.dumps(line_object) for line_object in lines))
    arguments = ["import", "--map", str(tmp_path / "map.cue"), "--out", str(tmp_path / "t"), str(path)]
    assert command.main(arguments) == 0
    assert [(r.first, r.attempt) for r in Reader(tmp_path / "t")] == [(1, 0), (2, 0), (1, 1)]


# Customer keys.


def test_customers_with_colliding_hashes_get_distinct_keys(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(mapping.CustomerKeys, "hash_name", lambda self, name, salt: 7 + salt)
    keys = CustomerKeys()
    assert [keys.key_for(name) for name in ("union one", "union two", "union one", "7")] == [7, 8, 7, 9]
    assert keys.collisions == 3


def test_hexadecimal_keys_are_kept_and_other_names_hashed() -> None:
    keys = CustomerKeys()
    assert keys.key_for("00000000b4d65521") == 0xB4D65521
    assert keys.key_for("ffffffffffffffff") < 1 << 33
    assert keys.key_for("Spółdzielnia Łódź") < 1 << 33


# The trace format.


def test_truncated_or_corrupt_traces_are_detected(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    import_text(
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


def test_failed_import_leaves_no_file(tmp_path: Path) -> None:
    arguments = ["import", "--out", str(tmp_path / "t"), "--format", "json", str(tmp_path / "none")]
    assert command.main(arguments) == 1
    assert list(tmp_path.iterdir()) == []


def test_converted_time_range_is_a_valid_trace(tmp_path: Path) -> None:
    import_text(
        tmp_path,
        har_text(har_entry(1.0, 1, 503), har_entry(2.0, 1, 429), har_entry(3.0, 1, 200), har_entry(4.0, 2)),
        "har",
    )
    arguments = [
        "convert",
        "--as",
        "trace",
        "--from",
        "1s",
        "--out",
        str(tmp_path / "p"),
        str(tmp_path / "out.trace"),
    ]
    assert command.main(arguments) == 0 and command.main(["check", str(tmp_path / "p")]) == 0
    assert [(r.number, r.at, r.first, r.attempt) for r in Reader(tmp_path / "p")] == [
        (1, 0, 1, 0), (2, 1_000_000, 1, 1), (3, 2_000_000, 3, 0),
    ]  # fmt: skip


def test_memory_is_bounded_for_long_logs(tmp_path: Path) -> None:
    peak_bytes = []
    for count in (5_000, 40_000):
        path = tmp_path / f"{count}.json"
        with open(path, "w") as file:
            for n in range(count):
                file.write(
                    json.dumps({"time": 1000 + n / 50, "url": f"/r?key={n % 100:x}", "status": 200}) + "\n"
                )
        tracemalloc.start()
        TraceImporter([SourceFile(str(path), "json", "g")], read_mapping(None), window_s=2.0).run(
            tmp_path / "t"
        )
        peak_bytes.append(tracemalloc.get_traced_memory()[1])
        tracemalloc.stop()
    assert peak_bytes[1] < 1.5 * peak_bytes[0], peak_bytes
