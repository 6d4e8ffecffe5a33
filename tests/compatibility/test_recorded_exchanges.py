"""What processes send each other, against texts of an earlier build; ``recorded`` tells which one.

Each scenario runs with the same times and seeds as when it was recorded, and must send the same texts. The
recorded texts are read as well, as those of a neighbour that has not been upgraded.
"""

from __future__ import annotations

import random
import zlib
from base64 import b64decode
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest

from barleyhub.line.dispatch import TotalsReceived
from barleyhub.line.quota import Account, QuotaTolerance
from latchspoke.configuration.patch import apply_patch, diff
from latchspoke.dataplane.usage_reports import UsageReports
from latchspoke.distribution.document_updates import DocumentUpdates
from latchspoke.distribution.published_state import CommittedState, Follower, PublishedState, Subscriber
from latchspoke.membership.compression import PRESET_DICTIONARY, compress_updates, decompress_updates
from latchspoke.membership.messages import Member, parse_message
from latchspoke.membership.parameters import ProtocolParameters
from latchspoke.membership.protocol import Membership
from latchspoke.registry.registry import STATE_BY_NAME, Entry, Registry, State, parse_heartbeat
from latchspoke.session_records.record import ExchangeOutcome, Peer, SessionRecord
from latchspoke.session_records.store import AttemptTarget, RecordStore, StoreOutput, StoreReply, parse_record
from latchspoke.transport.netstring import FrameDecoder, encode_frame
from tests.compatibility.documents import document
from tests.compatibility.recorded import json_text, recorded_bytes, recorded_texts

Texts = list[tuple[str, str]]
Message = dict[str, Any]


def test_frame_of_a_connection() -> None:
    [(_, data)] = recorded_bytes("frames")
    message = {"k": "heard", "n": [1, 2.5, None, "\u010d"]}
    assert encode_frame(message) == data
    assert FrameDecoder().feed(data) == [message]


def test_values_in_messages() -> None:
    recorded = dict(recorded_texts("enumerations"))
    assert json_text([outcome.value for outcome in ExchangeOutcome]) == recorded["exchange outcome"]
    assert json_text([state.value for state in State]) == recorded["server state"]
    states = {name: int(state) for name, state in STATE_BY_NAME.items()}
    assert json_text(states) == recorded["heartbeat state"]


# Cluster membership.

NAMES = ("core-1", "core-2", "edge-1", "edge-2")
STEPS, STEP_S = 240, 0.05
UPDATE_META_STEP, KILL_STEP, LEAVE_STEP = 60, 80, 200
CUT_STEPS, CUT_NAMES = range(140, 150), {"core-1", "edge-2"}


def start_process(name: str, now: float) -> Membership:
    number = NAMES.index(name)
    meta = {
        "role": name[:4],
        "zone": f"zone-{number % 2}",
        "region": "north",
        "link": f"10.1.0.{number}:7600",
        "ready": True,
        "packs": True,
    }
    member = Member(name, f"10.1.0.{number}", 7700, meta, 0, f"life-{number}")
    return Membership(member, [("10.1.0.0", 7700)], ProtocolParameters(), random.Random(name), now)


class Processes:
    """A small cluster in which one process is killed, one leaves, and one path is cut for a while."""

    def __init__(self) -> None:
        self.up: dict[str, Membership] = {}
        self.in_flight: list[tuple[str, str, Message]] = []
        self.sent: Texts = []

    def run(self) -> Texts:
        for step in range(STEPS):
            now = round(step * STEP_S, 2)
            self.change(step, now)
            self.deliver(step, now)
            for name, process in self.up.items():
                if process.next_tick_at() <= now:
                    process.tick(now)
                self.send(name, process, now)
        return self.sent

    def change(self, step: int, now: float) -> None:
        if step % 4 == 0 and step // 4 < len(NAMES):
            self.up[NAMES[step // 4]] = start_process(NAMES[step // 4], now)
        if step == UPDATE_META_STEP:
            edge = self.up["edge-1"]
            edge.update_meta({**edge.local_member.meta, "ready": False}, now)
        if step == KILL_STEP:
            del self.up["core-2"]
        if step == LEAVE_STEP:
            self.up["edge-2"].leave(now)

    def deliver(self, step: int, now: float) -> None:
        arriving, self.in_flight = self.in_flight, []
        for sender, target, message in arriving:
            if target in self.up and not (step in CUT_STEPS and {sender, target} == CUT_NAMES):
                self.up[target].receive(message, (f"10.1.0.{NAMES.index(sender)}", 7700), now)

    def send(self, name: str, process: Membership, now: float) -> None:
        for (host, _), message in process.take_output().messages:
            target = NAMES[int(host.rpartition(".")[2])]
            self.in_flight.append((name, target, message))
            self.sent.append((f"{now} {name} {target}", json_text(message)))


def test_membership_sends_the_same() -> None:
    assert Processes().run() == recorded_texts("membership_messages")


def test_membership_messages_are_read() -> None:
    read = [parse_message(msgspec.json.decode(text)) for _, text in recorded_texts("membership_messages")]
    assert {message.k for message in read} == set("parxjsu")
    assert {update.state for message in read for update in message.u} == set("asgl")
    join = next(message for message in read if message.k == "j")
    assert join.f == ("core-2", "life-1", 0)
    alive = next(update for message in read for update in message.u if update.state == "a")
    assert alive.to_member() == start_process(alive.name, 0.0).local_member


def test_compressed_updates() -> None:
    plain = dict(recorded_texts("membership_messages"))
    assert [data for _, data in recorded_bytes("membership_dictionary")] == [PRESET_DICTIONARY]
    compressed = recorded_texts("membership_compressed")
    assert compressed
    for label, text in compressed:
        message = decompress_updates(msgspec.json.decode(text))
        assert message == msgspec.json.decode(plain[label])
        # Another zlib may choose other bytes for the stream, so only the fields are compared.
        assert list(compress_updates(message)) == list(msgspec.json.decode(text))


# Session records.

PEERS = {
    "g1": Peer("n-a", "north", "l1"),
    "g2": Peer("n-b", "north", "l2"),
    "g3": Peer("s-a", "south", "l3"),
}
PEERS_WITH_G4 = PEERS | {"g4": Peer("s-b", "south", "l4")}


def start_store(name: str, instance_id: str, now: float) -> RecordStore:
    return RecordStore(name, instance_id, 1.0, now, lambda: 1e9, max_records=3, lease_s=0.5)


class Gateways:
    """Record stores whose messages arrive at once, as JSON."""

    def __init__(self) -> None:
        self.now = 0.0
        self.sent: Texts = []
        self.replies: dict[str, StoreReply] = {}
        self.up = {name: start_store(name, peer.instance_id, 0.0) for name, peer in PEERS.items()}
        self.update_membership(PEERS)

    def update_membership(self, peers: dict[str, Peer]) -> None:
        for name in sorted(self.up):
            self.deliver(name, self.up[name].update_membership(peers, self.now))

    def deliver(self, name: str, outputs: list[StoreOutput]) -> None:
        queue = [(name, output) for output in outputs]
        while queue:
            sender, output = queue.pop(0)
            if isinstance(output, StoreReply):
                self.replies[output.reference] = output
                continue
            text = json_text(output.message)
            self.sent.append((f"{self.now} {sender} {output.target}", text))
            if output.target in self.up:
                store = self.up[output.target]
                more = store.receive(sender, msgspec.json.decode(text), self.now)
                queue += [(output.target, each) for each in more]

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds * 4)):
            self.now = round(self.now + 0.25, 2)
            for name in sorted(self.up):
                self.deliver(name, self.up[name].tick(self.now))

    def serve(self, name: str, key: str, home_regions: tuple[str, ...], outcome: ExchangeOutcome) -> None:
        """Acquire a caller's record, open an exchange and write its outcome."""
        store, reference = self.up[name], f"{name} {key} {len(self.sent)}"
        self.deliver(name, store.acquire(reference, key, home_regions, 6.0, self.now))
        record = self.replies[reference].record
        if record is None:
            return
        target = AttemptTarget(
            "shop", "s1-life", "10.2.0.1:9000", f"exchange-{reference}", f"attempt-{reference}"
        )
        opened, outputs = store.open_exchange(f"open {reference}", record, target, self.now)
        self.deliver(name, outputs)
        self.deliver(name, store.record_outcome(f"fate {reference}", opened, outcome, self.now))

    def run(self) -> Texts:
        answered = ExchangeOutcome.ANSWERED
        self.pass_time(3.0)
        self.serve("g1", "caller-a", (), answered)
        self.serve("g1", "caller-b", (), answered)
        self.serve("g3", "caller-a", (), ExchangeOutcome.NOT_RUN)
        self.serve("g2", "caller-c", ("north",), ExchangeOutcome.MAY_RUN)
        self.serve("g1", "caller-c", ("north",), answered)
        self.pass_time(0.5)
        self.up["g4"] = start_store("g4", "l4", self.now)
        self.update_membership(PEERS_WITH_G4)
        self.pass_time(0.5)
        self.serve("g2", "caller-a", (), answered)
        self.serve("g4", "caller-b", (), answered)
        self.pass_time(2.0)
        self.deliver("g3", self.up.pop("g3").leave(self.now))
        self.update_membership({name: peer for name, peer in PEERS_WITH_G4.items() if name != "g3"})
        self.pass_time(0.5)
        for number in range(6):
            self.serve("g1", f"caller-{number}", (), answered)
        self.pass_time(5.0)
        return self.sent


def test_session_records_send_the_same() -> None:
    assert Gateways().run() == recorded_texts("session_messages")


def test_every_kind_of_session_message_is_recorded() -> None:
    kinds = {msgspec.json.decode(text)["w"] for _, text in recorded_texts("session_messages")}
    assert kinds == {
        "take", "write", "fate", "copy", "kept", "done", "read", "had", "tell", "have", "blind", "bye",
        "left",
    }  # fmt: skip


def test_recorded_session_record_is_read() -> None:
    messages = [msgspec.json.decode(text) for _, text in recorded_texts("session_messages")]
    message = next(each for each in messages if each["w"] == "write")
    read = parse_record(message["b"])
    assert json_text(read) == json_text(message["b"])
    assert read == SessionRecord(
        key="caller-b", home_regions=(), epoch=0, move=1, step=0, gateway_instance="g1/l1",
        ttl_s=6.0, service="shop", instance_id="s1-life", address="10.2.0.1:9000",
        exchange_id="exchange-g1 caller-b 6", attempt_id="attempt-g1 caller-b 6",
        outcome=ExchangeOutcome.OPEN,
        opened_by="g1/l1", opening_id="g1/l1:2", write_number=2, past_exchanges=(),
    )  # fmt: skip


# Usage reports and the hand-over of quotas.


class Line:
    """One end of a connection: what is sent is kept, and handled at the other end."""

    def __init__(self, sent: Texts, label: str, handle: Callable[[Message], None]) -> None:
        self.sent, self.label, self.handle = sent, label, handle
        self.tag: Any = None

    def send(self, message: Message) -> None:
        text = json_text(message)
        self.sent.append((self.label, text))
        self.handle(msgspec.json.decode(text))

    def end(self, reason: str) -> None:
        """The owner has gone."""


class Quotas:
    """A gateway g1 that reports its usage to the owner g2, and later to g3, which takes over from g2."""

    def __init__(self) -> None:
        self.sent: Texts = []
        self.time: Any = SimpleNamespace(now=lambda: self.time.at, at=10.0)
        tenants = ("tenant-a", "tenant-b")
        self.accounts = {tenant: Account(tenant, 50.0, 100.0, 2, 10.0) for tenant in tenants}
        self.g1 = self.usage_reports("g1", "l1", self.accounts)
        self.g2, self.g3 = self.usage_reports("g2", "l2", {}), self.usage_reports("g3", "l3", {})

    def usage_reports(self, name: str, instance_id: str, accounts: dict[str, Account]) -> Any:
        dispatcher = cast(Any, SimpleNamespace(accounts=accounts, gateway_count=2))
        reports = UsageReports(name, instance_id, self.time, dispatcher, self.update_totals)
        # Wide enough that an owner begins with half of the burst, as the recorded build always did.
        reports.owned_quotas.tolerance = QuotaTolerance(excess=1.0)
        return reports

    def update_totals(self, totals: TotalsReceived) -> None:
        self.accounts[totals.tenant].update_totals(
            totals.remaining, totals.offered, totals.admitted, totals.included, totals.asked_at
        )

    def connect(self, owner_name: str, owner: Any) -> None:
        """Connect g1 to the only owner."""
        back = Line(self.sent, f"{owner_name} totals", lambda message: self.g1.handle_totals(None, message))
        line = Line(self.sent, "g1 report", lambda message: owner.handle_message(back, message))
        self.g1.connections[owner_name] = line
        line.send({"k": "counts", "name": "g1", "life": "l1"})
        for reports in (self.g1, owner):
            reports.gateways = reports.eligible_owners = {owner_name: ("10.1.0.2", 7700)}
        self.g1.owners.clear()

    def use(self, at: float, offered: float, admitted: float) -> None:
        self.time.at = at
        for account in self.accounts.values():
            account.record_offer(offered, at)
            account.admit(admitted)
        self.g1.send_due_reports(at)

    def run(self) -> Texts:
        self.connect("g2", self.g2)
        for step in range(4):
            self.use(10.0 + step, 12.0 + step, 9.0 + step)
        self.time.at = 13.2
        self.g2.connections["g3"] = Line(
            self.sent, "g2 handover", lambda message: self.g3.handle_message(None, message)
        )
        self.g2.update_gateways({"g3": ("10.1.0.3", 7700)})
        self.connect("g3", self.g3)
        self.use(14.0, 30.0, 20.0)
        return self.sent


def test_usage_reports_send_the_same() -> None:
    assert Quotas().run() == recorded_texts("usage_messages")


# Heartbeats of servers.


def test_heartbeat() -> None:
    texts = dict(recorded_texts("heartbeat"))
    entry = parse_heartbeat("s1#life", msgspec.json.decode(texts["heartbeat"]), 50.0)
    expected = Entry(
        "s1#life", "shop", "10.2.0.1:9000", "zone-a", 4, State.DRAINING, 31, 62.5, 50.0, version="v7"
    )
    assert entry == expected
    # The version is sent on since there are rollouts; earlier releases ignore unknown fields.
    assert entry.to_message(51.25).pop("v") == "v7"
    assert json_text(msgspec.structs.replace(entry, version="").to_message(51.25)) == texts["server"]
    read = Registry(1.0).parse_entry(msgspec.json.decode(texts["server"]), 51.25)
    assert read == msgspec.structs.replace(expected, version="")
    read = Registry(1.0).parse_entry(entry.to_message(51.25), 51.25)
    assert read == expected


# The publication to gateways.


def server_entry(number: int, now: float, sequence: int = 1, **fields: Any) -> Entry:
    body = {
        "service": "shop",
        "address": f"10.2.0.{number}:9000",
        "zone": f"zone-{number % 3}",
        "capacitySlots": 4,
        "callSequence": sequence,
    }
    return parse_heartbeat(f"server-{number:02}#life", body | fields, now)


def pool_versions(state: PublishedState) -> dict[str, str]:
    return {"shop": f"pool-{len(state.registry.entries)}"}


class Publication:
    """A publisher with servers and configurations that change, and three subscribers."""

    def __init__(self) -> None:
        self.sent: Texts = []
        self.state = PublishedState(Registry(1.0), DocumentUpdates(cast(Any, diff)), pool_versions)

    def subscribe(self, name: str, now: float, **fields: Any) -> None:
        subscriber = Subscriber(name, lambda message: self.sent.append((name, json_text(message))), **fields)
        self.state.add_subscriber(subscriber, now)

    def commit(self, index: int, version: int, now: float, zones: tuple[str, ...], rules: int = 6) -> None:
        committed = CommittedState(index, version, document(version, rules), frozenset(zones))
        self.state.update_committed(committed, now)

    def update(self, new: Entry, now: float) -> Entry:
        return self.state.registry.update(new, now)[0]

    def run(self) -> Texts:
        self.commit(3, 1, 100.0, ("zone-a",))
        self.update(server_entry(1, 100.0, coldRemainingS=8.0), 100.0)
        self.subscribe("plain", 100.5)
        self.subscribe("packing", 100.5, supports_compression=True)
        self.state.publish_entries([self.update(server_entry(2, 101.0), 101.0)], 101.1)
        more = [self.update(server_entry(number, 102.0), 102.0) for number in range(3, 60)]
        self.state.publish_entries(more, 102.0)
        self.commit(5, 2, 103.0, ("zone-a", "zone-b"))
        self.commit(6, 2, 104.0, ())
        self.commit(8, 3, 105.0, (), rules=60)
        self.commit(9, 4, 106.0, (), rules=60)
        gone, _ = self.state.registry.mark_gone("server-02#life", 107.0, expired=True)
        self.state.publish_entries([gone], 107.0)
        self.state.registry.sweep(110.0)
        draining = self.update(server_entry(1, 110.0, 2, state="draining"), 110.0)
        self.state.publish_entries([draining], 110.0)
        self.subscribe("latecomer", 110.5, supports_compression=True, version=3)
        return self.sent


def inflated(text: str) -> list[tuple[str, str]]:
    """The fields of a message, with compressed ones as their content: another zlib may pack it otherwise."""
    return [
        (
            name,
            zlib.decompress(b64decode(value)).decode()
            if name in ("ez", "docz", "patchz")
            else json_text(value),
        )
        for name, value in msgspec.json.decode(text).items()
    ]


def test_publication_sends_the_same() -> None:
    sent, recorded = Publication().run(), recorded_texts("publication")
    assert [(name, inflated(text)) for name, text in sent] == [
        (name, inflated(text)) for name, text in recorded
    ]


def test_recorded_publication_covers_all_forms() -> None:
    messages = [msgspec.json.decode(text) for _, text in recorded_texts("publication")]
    assert {message["k"] for message in messages} == {"whole", "orders", "servers"}
    assert {"doc", "patch", "patchz", "from", "e", "ez", "evac", "pools"} <= {
        field for message in messages for field in message
    }


@pytest.mark.parametrize("name", ["plain", "packing"])
def test_recorded_publication_is_followed(name: str) -> None:
    follower = Follower(PublishedState(Registry(1.0)), cast(Any, apply_patch))
    texts = [text for subscriber, text in recorded_texts("publication") if subscriber == name]
    versions, zones = [], []
    for text in texts:
        follower.apply(msgspec.json.decode(text), 110.0)
        versions.append(follower.published_state.committed.version)
        zones.append(sorted(follower.published_state.committed.evacuated))
    assert versions == [1, 1, 1, 2, 2, 3, 4, 4, 4]
    assert zones[:5] == [["zone-a"], ["zone-a"], ["zone-a"], ["zone-a", "zone-b"], []]
    committed, entries = follower.published_state.committed, follower.published_state.registry.entries
    expected = document(4, 60)
    rules = expected["listenerList"][0]["ruleSet"]
    # A patch leaves rules in their places, and appends new ones.
    expected["listenerList"][0]["ruleSet"] = [*rules[:6], rules[60], *rules[6:60]]
    assert committed.index == 9 and committed.document == expected
    assert len(entries) == 59
    assert entries["server-01#life"].state is State.DRAINING
    assert entries["server-02#life"].state is State.GONE and entries["server-02#life"].expired
    assert entries["server-05#life"].address == "10.2.0.5:9000" and entries["server-05#life"].slots == 4
