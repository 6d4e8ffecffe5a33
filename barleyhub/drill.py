"""Adapter between the simulator's protocol of JSON lines and barleyhub.choice.

It hosts any number of gateways, reads messages into events and writes actions as messages.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from barleyhub import interface as api
from barleyhub.choice import Gateway

JsonObject = dict[str, Any]
NS_PER_S = 1_000_000_000

CODES = {
    "OK": api.Code.OK,
    "INTERNAL": api.Code.ERROR,
    "RESOURCE_EXHAUSTED": api.Code.FULL,
    "DEADLINE_EXCEEDED": api.Code.TIMEOUT,
    "UNAVAILABLE": api.Code.UNREACHABLE,
    "ABORTED": api.Code.RESET,
    "CANCELLED": api.Code.CANCELLED,
    "TOO_LATE": api.Code.MOOT,
}
LIST_FORMS = {
    "incr": api.ListForm.CHANGES,
    "total": api.ListForm.WHOLE,
    "warm_copy": api.ListForm.SAVED,
    "lost": api.ListForm.LOST,
}


class ProtocolError(Exception):
    """A message that the protocol doesn't allow."""


def seconds(ns: float | None) -> float:
    """Convert nanoseconds; a missing value is 0."""
    return (ns or 0) / NS_PER_S


def nanoseconds(value: float) -> int:
    """Convert seconds."""
    return round(value * NS_PER_S)


def read_class(category: JsonObject) -> api.ClassSettings:
    """Read a class of requests. Raises KeyError, ValueError."""
    return api.ClassSettings(
        name=category["Name"],
        aim=seconds(read_number(category["AimNs"])),
        give_up=seconds(read_number(category["GiveUpNs"])),
        repeat=api.Repeat(category["Repeat"]),
        group=api.Group(category.get("Group") or "all"),
        repeat_window=seconds(category.get("RepeatWindowNs")),
        worth=category.get("Worth", 1.0),
        late_worth=category.get("LateWorth", 0.0),
        stream=bool(category.get("Stream")),
    )


def read_plan(tariff: JsonObject) -> api.PlanSettings:
    """Read a plan. Raises KeyError, ValueError."""
    return api.PlanSettings(
        name=tariff["Name"],
        rate=tariff.get("Refill", 0.0),
        burst=tariff.get("MostAtOnce", 0.0),
        concurrency=tariff.get("Concurrency", 0),
        pays=tariff.get("Pays", 1.0),
        over_cost=tariff.get("OverCost", 0.0),
        extra_worth=tariff.get("ExtraWorth", 0.0),
        ceiling_rate=tariff.get("CapRate", 0.0),
        ceiling_burst=tariff.get("CapDepth", 0.0),
        ceiling_slack=tariff.get("CapSlack", 0.0),
    )


def read_number(value: Any) -> float:
    """Read a number that must be given. Raises ValueError on any other type, including bool."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{value!r} is not a number")
    return float(value)


def read_attempt_limit(value: Any) -> int:
    """Read the largest number of attempts. Raises ValueError."""
    if read_number(value) != int(value):
        raise ValueError(f"attempts: {value!r} is not a whole number")
    return int(value)


def read_settings(options: JsonObject) -> api.Settings:
    """Read the settings of a gateway. Raises KeyError, ValueError."""
    allowed, domain, invariants = options["Allowed"], options["Domain"], options["Invariants"]
    prices, load_info = options.get("Prices") or {}, options.get("LoadInfo") or {}
    return api.Settings(
        index=options["Index"],
        gateways=options["NInstances"],
        zone=options["Zone"],
        classes=tuple(read_class(c) for c in options["Categories"]),
        plans=tuple(read_plan(p) for p in options["Tariffs"]),
        counter=bool(domain.get("SharedCounter")),
        counter_limit=seconds(domain.get("CountLimitNs")),
        counter_price=domain.get("CallPrice", 0.0),
        cost_after=bool(domain.get("CostAfter")),
        meter_period=seconds(domain.get("UsePeriodNs")),
        largest=domain.get("Largest", 1),
        try_limit=read_attempt_limit(allowed["TryLimit"]),
        retry_after=bool(allowed.get("RetryAfter")),
        max_retry_after=seconds(allowed.get("MaxRetryAfterNs")),
        cancelling=bool(allowed.get("Cancelling")),
        probes=bool(allowed.get("Probes")),
        probe_price=prices.get("Probe", 0.0),
        cross_zone_price=prices.get("CrossZone", 0.0),
        second_copies=bool(allowed.get("SecondCopies")),
        ask_discovery=options.get("Discovery") == "ask",
        ask_within=seconds(invariants.get("AskWithinNs")),
        drain_grace=seconds(invariants.get("DrainGraceNs")),
        start_capacity=invariants.get("StartCapacity", 1.0),
        cold_time=seconds(invariants.get("ColdNs")),
        fall_multiple=invariants.get("FallMultiple", 1.0),
        fall_time=seconds(invariants.get("FallNs")),
        reports=tuple(load_info.get("Fields") or ()),
        reports_in_answers=load_info.get("Via") == "answers",
        connect_limit=seconds(allowed.get("ConnectTimeoutNs")) or 0.25,
        conn_idle=seconds(allowed.get("ConnIdleNs")) or 15.0,
    )


def read_entry(element: JsonObject) -> api.ServerEntry:
    """Read a line of a server list. Raises KeyError, ValueError."""
    return api.ServerEntry(
        server=element["Server"],
        state=api.ServerState(element["Condition"]),
        zone=element.get("Area", ""),
        kind=element.get("FamilyType", ""),
        cell=element.get("Block", 0),
        size=element.get("CapacityHint", 1.0),
        launched=seconds(element.get("LaunchedNs")),
    )


def read_request(message: JsonObject) -> api.Request:
    """Read a client's request. Raises KeyError, ValueError."""
    return api.Request(
        request=message["Txn"],
        customer=message["Customer"],
        service=message["Service"],
        plan=message["Tier"],
        units=message["Units"],
        left=seconds(message["LeftNs"]),
        spread=int(message["Spread"]),
        set_from=int(message.get("SetFrom") or 0),
    )


def read_outcome(message: JsonObject) -> api.Outcome:
    """Read an attempt's outcome. Raises KeyError."""
    metered = message.get("Metered") or 0
    return api.Outcome(
        request=message["Txn"],
        attempt=message.get("RoundNo") or 0,
        server=message["Server"],
        code=CODES[message["Code"]],
        took=seconds(message.get("RttNs")),
        closed=bool(message.get("Closed")),
        meter=(metered - 1) / 100 if metered else None,
        cost=message.get("Cost") or 0,
        report=message.get("Feedback") or {},
    )


READERS: dict[str, Callable[[JsonObject], api.Event]] = {
    "Order": read_request,
    "AttemptEnd": read_outcome,
    "Withdrawn": lambda m: api.Withdrawn(m["Txn"]),
    "First": lambda m: api.StreamStarted(m["Txn"], m.get("RoundNo") or 0, m["Server"]),
    "Alarm": lambda m: api.TimerFired(m.get("Mark") or 0),
    "ProbeResult": lambda m: api.ProbeAnswer(
        m["Server"], CODES[m["Code"]], seconds(m.get("RttNs")), m.get("Feedback") or {}
    ),
    "CountResult": lambda m: api.CountAnswer(
        m["Counter"], CODES[m["Code"]], seconds(m.get("RttNs")), m.get("NowAt") or 0
    ),
}


def write_action(action: api.Action) -> JsonObject:  # noqa: PLR0911 - one return per kind of action
    """The message for an action."""
    match action:
        case api.Send(request, server, timeout):
            message: JsonObject = {"t": "Issue", "Txn": request, "Server": server}
            if timeout is not None:
                # 0 would mean "no timeout".
                message["TryForNs"] = nanoseconds(timeout) or -1
            return message
        case api.Refuse(request, pause):
            message = {"t": "PushBack", "Txn": request}
            if pause is not None:
                message["PauseNs"] = nanoseconds(pause)
            return message
        case api.Fail(request):
            return {"t": "Surrender", "Txn": request}
        case api.Cancel(request, attempt):
            return {"t": "DropAttempt", "Txn": request, "RoundNo": attempt}
        case api.SetTimer(after, mark):
            return {"t": "WakeAt", "SleepForNs": nanoseconds(after), "Mark": mark}
        case api.AddCount(name, amount, forget_after):
            return {
                "t": "AddAndGet",
                "Counter": name,
                "N": amount,
                "ForgetAfterNs": nanoseconds(forget_after),
            }
        case api.Probe(server):
            return {"t": "Inspect", "Server": server}
        case api.Follow():
            return {"t": "Follow", "On": True}
        case api.Log(text):
            return {"t": "NoteDown", "BodyText": text}


class GatewayHost:
    """Several independent gateways behind one connection."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.gateways: dict[int, Gateway] = {}
        self.directory_pages: dict[int, tuple[api.ServerEntry, ...]] = {}
        self.now = 0.0
        self.batch = 0

    def handle_message(self, message: JsonObject) -> None:
        """Handle one message. Raises ProtocolError, KeyError, ValueError, TypeError, AttributeError."""
        kind = message["t"]
        if kind == "Clock":
            self.now, self.batch = seconds(message["TNs"]), message["frame"]
        elif kind == "Flush":
            self.out.write(f'{{"t":"End","frame":{self.batch}}}\n')
            self.out.flush()
        elif kind == "Directory":
            self.directory_pages[message["Page"]] = tuple(
                read_entry(e) for e in message.get("Elements") or ()
            )
        elif kind == "Up":
            gateway = Gateway(message["InitSeed"], read_settings(message["Options"]))
            self.gateways[message["I"]] = gateway
            self.write_actions(message["I"], gateway.start(self.now))
        elif kind == "Kill":
            self.gateways.pop(message["I"], None)
        elif kind == "Announce":
            form = LIST_FORMS[message["Form"]]
            entries = () if form is api.ListForm.LOST else self.directory_pages[message["Page"]]
            self.deliver(message["I"], api.ServerList(form, entries))
        elif kind in READERS:
            self.deliver(message["I"], READERS[kind](message))
        elif kind != "FromPeer":
            raise ProtocolError(f"unknown message type {kind!r}")

    def deliver(self, instance: int, event: api.Event) -> None:
        """Pass an event to a gateway and write its actions. Raises ProtocolError if it is not up."""
        gateway = self.gateways.get(instance)
        if gateway is None:
            raise ProtocolError(f"instance {instance} is not up")
        self.write_actions(instance, gateway.handle(event, self.now))

    def write_actions(self, instance: int, actions: Iterable[api.Action]) -> None:
        """Write a gateway's actions, one message per line."""
        for action in actions:
            message = write_action(action)
            message["I"] = instance
            self.out.write(json.dumps(message, separators=(",", ":")) + "\n")


def run(source: Iterable[str], out: TextIO, err: TextIO) -> int:
    """Handle messages until the input ends; returns 0 then, or 1 after a malformed message."""
    host = GatewayHost(out)
    for line in source:
        if not line.strip():
            continue
        try:
            host.handle_message(json.loads(line))
        except json.JSONDecodeError as e:
            err.write(f"batch {host.batch}: not JSON: {e}\n")
            return 1
        except KeyError as e:
            err.write(f"batch {host.batch}: missing field or unknown value {e} in: {line[:200].strip()}\n")
            return 1
        except (ProtocolError, ValueError, TypeError, AttributeError) as e:
            err.write(f"batch {host.batch}: {e} in: {line[:200].strip()}\n")
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.stdin, sys.stdout, sys.stderr))
