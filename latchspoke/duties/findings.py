"""What the census of the fleet has found, on the log: raised once, whoever holds the census when it is.

A report is taken only under the token that the log itself knows as the duty's newest, so that a holder which
slept through its end can neither raise nor clear anything.
"""

from __future__ import annotations

import msgspec

from latchspoke.duties.machine import DutiesMachine

NAME = "findings"
MAX_PAST_FINDINGS = 100  # of those that are over


class Finding(msgspec.Struct, frozen=True):
    """``since`` and ``until``: the reporter's time of day, in s; 0 while it lasts."""

    key: str
    text: str
    since: float
    until: float = 0.0


class Report(msgspec.Struct, frozen=True):
    """What is new or other than before, and the keys of what is over."""

    duty: str
    token: int
    at: float
    found: dict[str, str] = {}
    over: tuple[str, ...] = ()


class Findings(msgspec.Struct, frozen=True):
    """All that is known."""

    open: dict[str, Finding] = {}
    past: tuple[Finding, ...] = ()
    at: float = 0.0  # of the last report


class FindingsMachine:
    """See the module. It reads the duties as they stand at the same place of the log."""

    def __init__(self, duties: DutiesMachine) -> None:
        self.duties = duties
        self.state = Findings()

    def apply(self, index: int, body: bytes) -> str:
        report: Report = msgspec.msgpack.decode(body, type=Report)
        duty = self.duties.duties.get(report.duty)
        if duty is None or not duty.held or duty.token != report.token:
            newest = duty.token if duty is not None else 0
            return f"token {report.token} does not hold {report.duty}, whose newest is {newest}"
        open_findings, past = dict(self.state.open), list(self.state.past)
        for key, text in report.found.items():
            since = open_findings[key].since if key in open_findings else report.at
            open_findings[key] = Finding(key, text, since)
        for key in report.over:
            if key in open_findings:
                past.append(msgspec.structs.replace(open_findings.pop(key), until=report.at))
        self.state = Findings(open_findings, tuple(past[-MAX_PAST_FINDINGS:]), report.at)
        return ""

    def look(self, question: bytes) -> bytes:
        return self.dump()

    def dump(self) -> bytes:
        return msgspec.msgpack.encode(self.state)

    def load(self, body: bytes) -> None:
        self.state = msgspec.msgpack.decode(body, type=Findings) if body else Findings()
