"""Replicated state machine of the duties: their holders and fencing tokens. Deterministic."""

from __future__ import annotations

from collections import deque

import msgspec

from latchspoke.duties.records import (
    Command,
    Define,
    DutyState,
    Grant,
    Move,
    Release,
    Remove,
    Rule,
    Tenure,
    TenureEnd,
)

NAME = "duties"
MAX_PAST_TENURES = 20  # kept for each duty
MAX_EVENTS = 1000


EVENT_CODES: dict[type, str] = {
    Define: "defined", Remove: "removed", Move: "asked-to-move", Grant: "granted", Release: "released",
}  # fmt: skip


class DutiesMachine:
    """Applies commands; a command whose preconditions no longer hold is refused with a reason."""

    def __init__(self) -> None:
        self.duties: dict[str, DutyState] = {}
        self.events: deque[tuple[str, str]] = deque(maxlen=MAX_EVENTS)  # code and detail, to be logged

    def apply(self, index: int, body: bytes) -> str:
        """Returns '' if the command was applied, else the reason for its refusal."""
        command: Command = msgspec.msgpack.decode(body, type=Command)
        reason = self.execute(command)
        code = f"not-{EVENT_CODES[type(command)]}" if reason else EVENT_CODES[type(command)]
        if isinstance(command, Release) and not reason:
            code = command.why.value
        self.events.append((code, f"{command.duty}: {reason or self.describe(command)}"))
        return reason

    def describe(self, command: Command) -> str:
        """Summarizes an applied command for the log."""
        state = self.duties[command.duty]
        match command:
            case Grant(_, holder, after, ended):
                return f"{holder} by token {state.token}" + (f", {after} ended" if ended and after else "")
            case Release(_, token, _):
                return f"token {token} of {state.tenure.holder if state.tenure else 'nobody'}"
            case Move(_, to):
                return f"to {to or 'anybody else'}"
            case Define(_, rule):
                return f"grants of {rule.length:g} s"
            case Remove():
                return "by an operator"
        raise AssertionError(command)

    def execute(self, command: Command) -> str:
        """Applies a command; returns '' or the reason for its refusal."""
        state = self.duties.get(command.duty)
        if isinstance(command, Define):
            self.duties[command.duty] = self.define(state or DutyState(command.rule), command.rule)
            return ""
        if state is None or (state.rule is None and not isinstance(command, Release)):
            return f"there is no duty {command.duty}"
        reason, state = self.transition(command, state)
        if not reason:
            self.duties[command.duty] = state
        return reason

    def transition(self, command: Command, state: DutyState) -> tuple[str, DutyState]:
        """Returns the reason for a refusal or '', and the new state of an existing duty."""
        match command:
            case Remove():
                return "", msgspec.structs.replace(state, rule=None)
            case Move(_, to):
                return "", msgspec.structs.replace(state, wanted=to)
            case Release(duty, token, reason):
                if not state.held or token != state.token:
                    return f"token {token} does not hold {duty}", state
                return "", self.end_tenure(state, reason)
            case Grant():
                return self.grant(command, state)
        raise AssertionError(command)

    @staticmethod
    def define(state: DutyState, rule: Rule) -> DutyState:
        """Sets the rule; ``longest`` never shrinks, as the holder may still rely on a longer lease."""
        tenure = state.tenure
        if tenure is not None and state.held:
            tenure = msgspec.structs.replace(tenure, longest=max(tenure.longest, rule.length))
        return msgspec.structs.replace(state, rule=rule, tenure=tenure)

    def grant(self, command: Grant, state: DutyState) -> tuple[str, DutyState]:
        """Ends the previous tenure and starts one with the next token, unless the command is stale."""
        if state.token != command.after:
            return f"the last token of {command.duty} is {state.token}, not {command.after}", state
        if state.held and not command.ended:
            return f"{command.duty} is held", state
        rule, state = state.rule, self.end_tenure(state, TenureEnd.EXPIRED)
        assert rule is not None  # a grant without a rule is refused in ``execute``
        token = state.token + 1
        tenure = Tenure(command.holder, token, rule.length)
        return "", msgspec.structs.replace(state, token=token, tenure=tenure, wanted=None)

    @staticmethod
    def end_tenure(state: DutyState, reason: TenureEnd) -> DutyState:
        """Moves a tenure that has not ended to the past ones."""
        if state.tenure is None or not state.held:
            return state
        tenure = msgspec.structs.replace(state.tenure, why=reason)
        past = (*state.past, tenure)[-MAX_PAST_TENURES:]
        return msgspec.structs.replace(state, tenure=tenure, past=past)

    def query(self, question: bytes) -> bytes:
        """Returns all duties; ``question`` is not used."""
        return self.dump()

    def dump(self) -> bytes:
        """Encodes the state for a snapshot."""
        return msgspec.msgpack.encode(self.duties)

    def load(self, body: bytes) -> None:
        """Restores the state from a snapshot; an empty one clears it."""
        self.duties = msgspec.msgpack.decode(body, type=dict[str, DutyState]) if body else {}
