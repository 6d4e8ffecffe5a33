"""Access logs in any format of Apache (``%h %l ...``, by apachelogs) or nginx (``$remote_addr ...``).

The format determines which fields hold the time and the duration. nginx logs a request when the response
has been sent, so its times are those of the end; so are Apache's with ``%{end:...}t``.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from datetime import datetime
from functools import lru_cache
from pathlib import Path
from typing import Any

import apachelogs  # type: ignore[import-untyped]

from latchspoke.traffic.readers import Entries, numbered_lines
from latchspoke.traffic.recorded import RecordedExchange, SkippedEntry, skip_entry

NAMED_FORMATS = {
    "common": apachelogs.COMMON,
    "combined": apachelogs.COMBINED,
    "vhost": apachelogs.VHOST_COMBINED,
    "nginx": '$remote_addr - $remote_user [$time_local] "$request" $status $body_bytes_sent'
    ' "$http_referer" "$http_user_agent"',
}
LOCAL_TIME_FORMAT = "%d/%b/%Y:%H:%M:%S %z"
VARIABLE = re.compile(r"\$(?:\{(\w+)\}|(\w+))")
EMPTY_VALUES = ("", "-")
MONTH_NUMBERS = {"JanFebMarAprMayJunJulAugSepOctNovDec"[3 * n : 3 * n + 3]: n + 1 for n in range(12)}
LOCAL_TIME_PATTERN = re.compile(r"(\d{2})/(\w{3})/(\d{4}):(\d{2}):(\d{2}):(\d{2}) ([+-])(\d{2})(\d{2})")


class FormatError(Exception):
    """The access log format is not supported; the message is one line."""


LineParser = Callable[[int, str], RecordedExchange | SkippedEntry]


class LogFormat:
    """A compiled access log format: ``parse`` reads a line, ``resolution`` is that of its times in s."""

    def __init__(self, text: str) -> None:
        text = NAMED_FORMATS.get(text, text)
        self.text, self.resolution = text, 1.0
        if "%" in text and "$" not in text:
            self.parse: LineParser = self.apache_parser(text)
        elif "$" in text:
            self.parse = self.nginx_parser(text)
        else:
            raise FormatError(f"not an Apache or nginx log format: {text!r}")

    def apache_parser(self, text: str) -> LineParser:
        try:
            parser = apachelogs.LogParser(text)
        except apachelogs.Error as e:
            raise FormatError(f"invalid Apache log format: {e}") from None
        if "%r" not in text and "%U" not in text:
            raise FormatError("the format has no request field (%r, or %m with %U and %q)")
        if re.search(r"%\{(begin:|end:)?(msec|usec|msec_frac|usec_frac)\}t", text):
            self.resolution = 0.0
        at_is_end = "%{end:" in text

        def parse(number: int, line: str) -> RecordedExchange | SkippedEntry:
            try:
                entry = parser.parse(line)
            except apachelogs.InvalidEntryError:
                return skip_entry(number, "line not in the format", line)
            except ValueError as e:
                return skip_entry(number, "value out of range", e)
            return from_apache(number, line, entry, at_is_end)

        return parse

    def nginx_parser(self, text: str) -> LineParser:
        pattern, names = nginx_pattern(text)
        if "request" not in names and not {"request_uri", "uri"} & set(names):
            raise FormatError(
                "the format has no request field ($request, or $request_method with $request_uri)"
            )
        if "msec" in names:
            self.resolution = 0.001
        elif "time_iso8601" not in names and "time_local" not in names:
            raise FormatError("the format has no time field ($time_local, $time_iso8601 or $msec)")

        def parse(number: int, line: str) -> RecordedExchange | SkippedEntry:
            match = pattern.fullmatch(line)
            if match is None:
                return skip_entry(number, "line not in the format", line)
            return from_nginx(number, line, match.groupdict())

        return parse


def nginx_pattern(text: str) -> tuple[re.Pattern[str], list[str]]:
    """Compile an nginx format: a variable matches up to the character that follows it in the format."""
    parts, names, position = [], list[str](), 0
    for match in VARIABLE.finditer(text):
        parts.append(re.escape(text[position : match.start()]))
        name, position = match.group(1) or match.group(2), match.end()
        following = text[position : position + 1]
        if following == "$":
            raise FormatError(f"no separator between ${name} and the variable that follows it")
        inner = f"[^{re.escape(following)}]*" if following else ".*"
        if name in names:
            parts.append(f"(?P={name})")
        else:
            names.append(name)
            # nginx writes " within a value as \x22, so a quote always ends one.
            parts.append(f"(?P<{name}>{inner})")
    parts.append(re.escape(text[position:]))
    return re.compile("".join(parts)), names


def request_line(text: str) -> tuple[str, str] | None:
    """Split a request line such as ``GET /x HTTP/1.1`` into method and target; None if it is malformed."""
    method, _, rest = text.partition(" ")
    target, _, version = rest.rpartition(" ")
    if not method.isalpha() or not version.startswith("HTTP/") or not target:
        return None
    return method.upper(), target


@lru_cache(4096)
def parse_local_time(text: str) -> float | None:
    """Parse a time like ``10/Oct/2000:13:55:36 -0700``; month names are English in any locale."""
    match = LOCAL_TIME_PATTERN.fullmatch(text)
    if match is None:
        return None
    day, month, year, hour, minute, second, sign, zone_h, zone_m = match.groups()
    if month not in MONTH_NUMBERS:
        return None
    try:
        moment = datetime.fromisoformat(
            f"{year}-{MONTH_NUMBERS[month]:02}-{day}T{hour}:{minute}:{second}{sign}{zone_h}:{zone_m}"
        )
    except ValueError:
        return None
    return moment.timestamp()


def from_nginx(number: int, line: str, variables: Mapping[str, str]) -> RecordedExchange | SkippedEntry:
    method_and_target = request_line(variables["request"]) if "request" in variables else None
    if "request" in variables and method_and_target is None:
        return skip_entry(number, "no request line", variables["request"])
    method, url = method_and_target or (
        variables.get("request_method", "GET").upper(),
        variables.get("request_uri")
        or variables["uri"] + (f"?{variables['args']}" if variables.get("args") else ""),
    )
    try:
        status = int(variables.get("status", "0") or 0)
        duration_text = variables.get("request_time", "")
        duration_s = float(duration_text) if duration_text not in EMPTY_VALUES else None
        body_bytes = int(variables.get("request_length", "0") or 0)
    except ValueError:
        return skip_entry(number, "value out of range", line)
    headers = {
        name.removeprefix("http_").replace("_", "-"): value
        for name, value in variables.items()
        if name.startswith("http_") and value not in EMPTY_VALUES
    }
    # nginx logs 499 when the client closed the connection before the response.
    status = 0 if status == 499 else status
    return RecordedExchange(
        number,
        nginx_time(variables),
        method,
        url,
        status,
        duration_s,
        True,
        headers,
        dict(variables),
        body_bytes,
    )


def nginx_time(variables: Mapping[str, str]) -> float | None:
    try:
        if "msec" in variables:
            return float(variables["msec"])
        if "time_iso8601" in variables:
            return datetime.fromisoformat(variables["time_iso8601"]).timestamp()
    except ValueError:
        return None
    return parse_local_time(variables["time_local"])


def from_apache(number: int, line: str, entry: Any, at_is_end: bool) -> RecordedExchange | SkippedEntry:
    directives = entry.directives
    text = directives.get("%r")
    if "%r" in directives:
        method_and_target = request_line(text or "")
        if method_and_target is None:
            return skip_entry(number, "no request line", text)
        method, url = method_and_target
    else:
        method = str(directives.get("%m") or "GET").upper()
        url = f"{directives.get('%U') or '/'}{directives.get('%q') or ''}"
    moment = getattr(entry, "request_time", None)
    at = moment.timestamp() if moment is not None and moment.tzinfo is not None else apache_epoch(directives)
    status = next((directives[d] for d in ("%>s", "%s", "%<s") if directives.get(d) is not None), 0)
    headers = {name.lower(): value for name, value in (entry.headers_in or {}).items() if value} if hasattr(
        entry, "headers_in"
    ) else {}  # fmt: skip
    fields = {name: value for name, value in directives.items() if isinstance(value, str | int | float)}
    return RecordedExchange(
        number, at, method, url, int(status), apache_duration(directives), at_is_end, headers, fields
    )


def apache_epoch(directives: Mapping[str, Any]) -> float | None:
    for directive, unit in (("usec", 1e-6), ("msec", 1e-3), ("sec", 1.0)):
        for prefix in ("", "begin:", "end:"):
            value = directives.get(f"%{{{prefix}{directive}}}t")
            if isinstance(value, int):
                return value * unit
    return None


def apache_duration(directives: Mapping[str, Any]) -> float | None:
    for directive, unit in (("%D", 1e-6), ("%{us}T", 1e-6), ("%{ms}T", 1e-3), ("%T", 1.0), ("%{s}T", 1.0)):
        value = directives.get(directive)
        if isinstance(value, int | float):
            return float(value) * unit
    return None


def read_log(path: str | Path, log_format: LogFormat) -> Entries:
    """Read all lines. Log rotation may have truncated the last one."""
    previous: tuple[int, bytes | None] | None = None
    for number, data in numbered_lines(path):
        if previous is not None:
            yield read_line(*previous, log_format)
        previous = number, data
    if previous is not None:
        result = read_line(*previous, log_format)
        if isinstance(result, SkippedEntry) and result.reason == "line not in the format":
            result = SkippedEntry(result.line, "line cut off at the end", result.detail)
        yield result


def read_line(number: int, data: bytes | None, log_format: LogFormat) -> RecordedExchange | SkippedEntry:
    if data is None:
        return skip_entry(number, "line too long")
    if not data.strip():
        return skip_entry(number, "empty line")
    try:
        return log_format.parse(number, data.decode())
    except UnicodeDecodeError:
        return log_format.parse(number, data.decode("latin-1"))
