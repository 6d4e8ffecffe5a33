"""Replicated state machine of the census findings, so that each is raised once across changes of the holder.

A report is accepted only under the newest token of its duty, so that a holder whose lease has expired can
neither raise nor clear findings.
"""

from __future__ import annotations

import msgspec

from latchspoke.duties.machine import DutiesMachine

NAME = "findings"
MAX_PAST_FINDINGS = 100  # ended findings that are kept


class Finding(msgspec.Struct, frozen=True):
    """One finding; ``since`` and ``until`` are the reporter's Unix seconds; ``until`` is 0 while open."""

    key: str
    text: str
    since: float
    until: float = 0.0


class Report(msgspec.Struct, frozen=True):
    """New or changed findings, and the keys of those that have ended."""

    duty: str
    token: int
    at: float
    found: dict[str, str] = {}
    over: tuple[str, ...] = ()


class Findings(msgspec.Struct, frozen=True):
    """Open and past findings."""

    open: dict[str, Finding] = {}
    past: tuple[Finding, ...] = ()
    at: float = 0.0  # of the last report


class FindingsMachine:
    """Applies reports; validates their token against the duties' state at the same log index."""

    def __init__(self, duties: DutiesMachine) -> None:
        self.duties = duties
        self.state = Findings()

    def apply(self, index: int, body: bytes) -> str:
        """Returns '' if the report was applied, else the reason for its refusal."""
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

    def query(self, question: bytes) -> bytes:
        """Returns all findings; ``question`` is not used."""
        return self.dump()

    def dump(self) -> bytes:
        """Encodes the state for a snapshot."""
        return msgspec.msgpack.encode(self.state)

    def load(self, body: bytes) -> None:
        """Restores the state from a snapshot; an empty one clears it."""
        self.state = msgspec.msgpack.decode(body, type=Findings) if body else Findings()
