"""Puts the control plane's parts together, and runs them from start to SIGTERM."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from latchspoke import node_process
from latchspoke.agent.raft_store import RaftStoreError
from latchspoke.configstore.orders import UNCHECKED, Verdict
from latchspoke.configstore.orders import Orders as Kept
from latchspoke.configstore.replica import Replica
from latchspoke.configstore.voters import CATCH_UP, Place
from latchspoke.configuration.patch import apply_patch
from latchspoke.consensus.records import name_of
from latchspoke.controlplane.calls import (
    Asked,
    InvalidError,
    heartbeat_target,
    locate,
    read_call,
    read_configuration,
)
from latchspoke.controlplane.evacuations import EvacuationCalls, Kind
from latchspoke.controlplane.fanout import PASS_ON, WANTED_MOST, Regions, roster
from latchspoke.controlplane.news import ServerNews
from latchspoke.controlplane.peers import Peers
from latchspoke.controlplane.relays import Relays
from latchspoke.distribution.board import Orders, Reader, unpack_entries
from latchspoke.membership.post import PACKS
from latchspoke.membership.watch import News
from latchspoke.node_process import CONTROL_PORT_OFFSET, NodeProcess
from latchspoke.outliers.ledger import Ledger
from latchspoke.registry.registry import BeatError, Entry, State, read_beat
from latchspoke.transport.connection import Message, MessageConnection
from latchspoke.transport.http_server import LOCAL_CALLER, Caller, HttpServerConnection, Response
from latchspoke.transport.log import log
from latchspoke.transport.request_ids import first_request_id

SWEEP = 0.25  # s
GOSSIP = 1.0  # s between words to the other control machines on who has beaten here
PROVE = 0.4  # s between proofs, at least; those who ask meanwhile share the next
COPIED = 0.8  # s that a server's word to leave waits for a majority of the core
TOLD = 0.35  # s that an acknowledged order waits for the gateways that follow here
LIMIT = 0.85  # s for the register
ALONE = 3.5  # s without others until silence of servers may be this machine's own
EVIDENCE = 0.1  # s that what gateways saw of servers is gathered before it is told on
EVIDENCE_AGAIN = 0.3  # s until what has changed too little to be told is looked at again
ACK = 6.0  # s; so long after its first sending an evacuation may be sent again, if no bound tells
TTL = 1.0  # s; how long a client holds the locator's answer
CHECKS = 3  # tries to check a change against a base that moves meanwhile
HEARD: Message = {"k": "heard"}  # the answer to what needs none: the way to its sender is sound
STATUS = {"taken": 200, "repeated": 200, "conflict": 412, "invalid": 400}


@dataclass(slots=True)
class Copies:
    """Other control machines that were told of a server, and how many of them must still say so."""

    asked: set[str]
    lacking: int
    whole: asyncio.Future[None]

    def got(self, name: str) -> None:
        """This control machine has said that it knows."""
        if name in self.asked:
            self.asked.discard(name)
            self.lacking -= 1
            if not self.lacking and not self.whole.done():
                self.whole.set_result(None)


class Node(NodeProcess):
    """One control machine on its sockets."""

    PORT_OFFSET = CONTROL_PORT_OFFSET

    def build(self) -> None:
        """Raises RaftStoreError."""
        s = self.settings
        self.me = self.internal_endpoint
        founders = tuple(f"{host}:{port}" for host, port in self.seed_addresses())
        self.ledger, self.telling = Ledger(), False
        self.relays = Relays(self.me, self.rng)
        regions = Regions(self.me, s.region, self.rng)
        self.peers = Peers(self.me, self.peer_joined, self.peer_answers, self.relays, regions, self.clock.now)
        assert s.data is not None
        self.replica = Replica(
            self.me, founders, s.first, Path(s.data), self.to_register, apply_patch,  # type: ignore[arg-type]
            self.applied, self.clock.now, lambda event, fields: log(event, **fields),
            catch_up=s.bound("catchUpS", CATCH_UP),
        )  # fmt: skip
        meta = {
            "role": "core",
            "zone": s.zone,
            "region": s.region,
            "link": self.internal_endpoint,
            "ready": True,
            PACKS: True,
        }
        self.membership_transport = self.create_membership_transport(meta)
        self.to_gateways = ServerNews(self.clock, self.published_state.servers)
        self.to_peers = ServerNews(self.clock, self.tell_peers)
        self.beaten: dict[str, Entry] = {}  # heard here since the last word to the others
        self.copies: dict[int, Copies] = {}
        self.number = first_request_id(self.instance_id)
        self.asking: list[
            tuple[MessageConnection, int, float]
        ] = []  # gateways that wait for a proof, and since when
        self.proving = False
        self.together_at = self.begun_at = self.clock.now()
        self.evacuations = EvacuationCalls(self.begun_at)
        self.calls: dict[str, Callable[[Asked, bytes, Caller], Response | Awaitable[Response]]] = {
            "instances.heartbeat": lambda asked, body, caller: self.beat(asked.of, body),
            "instances.deregister": lambda asked, body, caller: self.leave(asked.of),
            "configuration.replace": lambda asked, body, caller: self.configure(body),
            "configuration.modify": lambda asked, body, caller: self.configure(body),
            "configuration.read": lambda asked, body, caller: self.read(),
            "evacuation.begin": lambda asked, body, caller: self.evacuate(asked, caller),
            "evacuation.finish": lambda asked, body, caller: self.evacuate(asked, caller),
            "GET /resolution": lambda asked, body, caller: self.resolve(asked),
            "GET /status": lambda asked, body, caller: self.show("status"),
            "GET /metrics": lambda asked, body, caller: self.show("metrics"),
            "GET /history": lambda asked, body, caller: self.show("history"),
            "GET /register/copy": lambda asked, body, caller: self.copy(),
        }
        self.stopping = False

    # The register.

    def to_register(self, name: str, message: Message) -> None:
        """Send a message of the replicated store to another control machine."""
        self.peers.send(name, {"k": "reg", "m": message})

    def applied(self, kept: Kept) -> None:
        """The operator's word as committed: the only one that is ever told."""
        self.evacuations.applied(kept, self.clock.now(), self.replica.proven)
        if self.replica.proven:
            self.tell_orders()

    def tell_orders(self) -> None:
        """Tell gateways the newest orders, if they are news."""
        kept = self.replica.orders
        orders = Orders(kept.index, kept.version, kept.document, kept.evacuated)
        if self.published_state.order(orders, self.clock.now()):
            log(
                "orders",
                version=f"{orders.version:08x}",
                index=orders.index,
                evacuated=",".join(sorted(orders.evacuated)),
            )

    def handle_proof_request(self, wire: MessageConnection, tag: int) -> None:
        """A gateway asks whether what it knows is the newest. Those who ask at one time share a proof."""
        self.asking.append((wire, tag, self.clock.now()))
        if not self.proving:
            self.proving = True
            self.spawn(self.proofs())

    async def proofs(self) -> None:
        """Rounds of a majority, as long as somebody asks. What a round proves holds as of its beginning, so
        that it serves those too who have asked since, with its age."""
        while self.asking:
            begun, first = self.clock.now(), len(self.asking)
            index = await self.confirmed()
            asking, self.asking = self.asking, []
            if index is None:
                asking, self.asking = asking[:first], asking[first:]
                for wire, tag, _ in asking:
                    wire.send({"k": "proven", "t": tag})
            else:
                self.tell_orders()
                # By what this machine has applied: a gateway that knows all of it knows the newest.
                known = self.published_state.orders.index
                for wire, tag, at in asking:
                    age = max(at - begun, 0.0)
                    proof = {"k": "proven", "t": tag, "index": known}
                    wire.send(proof | {"age": round(age + 0.001, 4)} if age else proof)
            if self.asking:
                await asyncio.sleep(max(begun + PROVE - self.clock.now(), 0.01))
        self.proving = False

    async def confirmed(self) -> int | None:
        """Up to which index this machine surely knows all; None where that can't be proven now."""
        try:
            return await self.replica.confirm(LIMIT, patient=self.published_state.orders.index > 0)
        except Exception as e:  # one round that fails must not be the last
            log("proof-failed", why=repr(e))
            return None

    # Other control machines.

    def peer_joined(self, wire: MessageConnection) -> None:
        """A new connection to one: it is told all that is known of servers."""
        now = self.clock.now()
        if self.peers.regions.tells_whole(str(wire.tag), self.peers.alive):
            packs = str(wire.tag) in self.peers.regions.capable
            wire.send(roster(self.registry.whole(now), packs))
        # It may have begun anew, and know neither when evacuations were ordered nor who has an answer.
        if told := self.evacuations.wire(now):
            wire.send(told)

    def peer_answers(self, wire: MessageConnection, message: Message) -> None:
        """What another control machine says on a connection opened from here."""
        self.peers.heard(str(wire.tag))
        if message.get("k") == "got":
            self.got(str(wire.tag), message)

    def got(self, name: str, message: Message) -> None:
        """Another control machine knows what it was told of a server."""
        copies = self.copies.get(int(message["n"]))
        if copies is not None:
            copies.got(name)

    def relayed(self, wire: MessageConnection, message: Message, now: float) -> None:
        """From another control machine, by way of a gateway."""
        name, said = str(message["from"]), message["m"]
        self.relays.heard(name, wire, now)
        if said["k"] == "got":
            self.got(name, said)
        else:
            self.from_peer(name, said, now, lambda answer: self.relays.send(name, answer, now))

    def from_peer(self, name: str, message: Message, now: float, answer: Callable[[Message], object]) -> bool:
        """From another control machine, whichever way it came; whether it is such a message."""
        match message.get("k"):
            case "reg":
                self.replica.heard(name, message["m"])
            case "roster":
                answer({"k": "got", "n": message["n"]} if "n" in message else HEARD)
                self.learn(message, now)
            case "beats":
                answer(HEARD)
                self.refresh(name, message, now)
            case "want":
                self.tell_wanted(name, message, now)
            case "moved":
                self.evacuations.learn(message, now)
            case _:
                return False
        return True

    def handle_message(self, wire: MessageConnection, message: Message) -> None:
        """What comes on connections that others have opened: control machines and gateways."""
        now = self.clock.now()
        if isinstance(wire.tag, str):
            self.peers.heard(wire.tag)
        match message.get("k"):
            case "relayed":
                self.relayed(wire, message, now)
            case "peer":
                wire.tag = str(message["name"])
                if message.get("fans"):
                    self.peers.regions.capable.add(wire.tag)
            case "hot":
                self.evidence(wire, message, now)
            case "hello":
                self.publisher.heard(wire, message)
                self.relays.joined(wire)
                if known := self.ledger.whole(now, wire.tag.zone):
                    wire.send({"k": "hot", "e": known})
            case _:
                if not self.from_peer(str(wire.tag), message, now, wire.send):
                    self.publisher.heard(wire, message)

    def inbound_closed(self, wire: MessageConnection, reason: str) -> None:
        """A connection that another process had opened has ended."""
        super().inbound_closed(wire, reason)
        self.relays.left(wire)
        if isinstance(wire.tag, Reader):
            self.ledger.left(wire.tag.name)

    def evidence(self, wire: MessageConnection, message: Message, now: float) -> None:
        """What gateways that follow here, or another control machine's, saw of servers."""
        if isinstance(wire.tag, Reader):
            self.ledger.heard(wire.tag.name, wire.tag.zone, message["w"], now)
        else:
            self.ledger.merge(str(wire.tag), message["e"], now)
        self.gather(now + EVIDENCE)

    def gather(self, at: float) -> None:
        """Tell evidence on servers at this time, with all that comes until then."""
        if not self.telling:
            self.telling = True
            self.clock.schedule(at, self.tell_evidence)

    def tell_evidence(self, now: float) -> None:
        """Tell other control machines and gateways what gateways saw of servers."""
        self.telling = False
        if entries := self.ledger.to_peers(now):
            self.peers.all({"k": "hot", "e": entries})
        news = self.ledger.to_gateways(now, {reader.zone for reader in self.published_state.readers})
        for reader in list(self.published_state.readers):
            if told := news.get(reader.zone):
                reader.send({"k": "hot", "e": told})
        if self.ledger.waiting():
            self.gather(now + EVIDENCE_AGAIN)

    def learn(self, message: Message, now: float) -> None:
        """Servers, as another control machine knows them."""
        self.to_gateways.tell(self.registry.merge(unpack_entries(message), now), now)
        if PASS_ON in message:
            self.peers.pass_on(message)

    def refresh(self, sender: str, message: Message, now: float) -> None:
        """Another control machine has heard these again, and nothing else is new of them."""
        news, unknown = [], []
        for ident, sequence, age in message["b"]:
            if self.registry.heard_again(ident, sequence, now - age):
                continue
            old = self.registry.entries.get(ident)
            if old is None:
                unknown.append(ident)
            elif old.state is not State.GONE:
                new = Entry(
                    ident, old.service, old.address, old.zone, old.slots, old.state, sequence, old.cold_until,
                    now - age,
                )  # fmt: skip
                entry, changed = self.registry.heard(new, now)
                if changed:
                    news.append(entry)
        self.to_gateways.tell(news, now)
        if PASS_ON in message:
            self.peers.pass_on(message)
        if unknown:
            self.peers.send(sender, {"k": "want", "i": unknown[:WANTED_MOST]})

    def tell_wanted(self, asker: str, message: Message, now: float) -> None:
        """Another control machine has heard that these live, and knows nothing else of them."""
        entries = self.registry.entries
        known = [entries[ident].wire(now) for ident in message["i"] if ident in entries]
        if known:
            self.peers.send(asker, roster(known, asker in self.peers.regions.capable))

    def gossip(self, now: float) -> None:
        """Tell the other control machines whose heartbeats have come here."""
        beaten, self.beaten = self.beaten, {}
        if beaten:
            beats = [[e.ident, e.sequence, round(now - e.heard_at, 2)] for e in beaten.values()]
            self.peers.fan_out({"k": "beats", "b": beats})

    def tell_peers(self, entries: list[Entry], now: float) -> None:
        """News of servers, to the other control machines."""
        self.peers.fan_out(roster([entry.wire(now) for entry in entries], self.peers.inflates()))

    async def copied(self, entry: Entry) -> bool:
        """Whether a majority of the core knows of it, this machine among them.

        A second machine may be cut off from the others together with this one.
        """
        self.number += 1
        number, voters = self.number, self.replica.voters
        now = self.clock.now()
        told = self.peers.all({"k": "roster", "e": [entry.wire(now)], "n": number})
        lacking = len(voters) // 2 + 1 - (self.me in voters)
        copies = self.copies[number] = Copies(voters.intersection(told), lacking, self.loop.create_future())
        try:
            if len(copies.asked) < lacking:
                return False
            if lacking > 0:
                await asyncio.wait_for(copies.whole, COPIED)
        except TimeoutError:
            return False
        finally:
            self.copies.pop(number, None)
        return True

    # Calls.

    def control(
        self, method: str, target: str, body: bytes, caller: Caller = LOCAL_CALLER
    ) -> Response | Awaitable[Response]:
        """Answer a call of an operator, a server or a client."""
        asked = read_call(method, target)
        call = self.calls.get(asked.name)
        if call is None:
            return 404, {"errorText": f"no such call: {method} {target[:100]}"}
        return call(asked, body, caller)

    def resolve(self, asked: Asked) -> Response:
        """Answer a client's look-up with gateways."""
        membership, query = self.membership_transport.membership, asked.query
        members = list(membership.alive.values())
        found = locate(members, membership.suspects, query.get("zone", ""), query.get("region", ""), self.rng)
        if not found:
            return 503, {"errorText": "no gateway is ready"}
        ttl = min(TTL, self.settings.bound("ttl_max_s", TTL))
        return 200, {"addresses": found, "ttlS": ttl}

    def beat(self, ident: str, body: bytes) -> Response | Awaitable[Response]:
        """Take a server's heartbeat."""
        import msgspec

        now = self.clock.now()
        try:
            new = read_beat(ident, msgspec.json.decode(body), now)
        except (BeatError, msgspec.DecodeError) as e:
            return 400, {"errorText": str(e)}
        known = self.registry.entries.get(ident)
        until = known.cold_until if known is not None else math.inf
        entry, news = self.registry.heard(new, now)
        if news and (entry.cold_until > max(until, now) or (known and entry.state is not State.READY)):
            self.cast(entry, now)
        if news:
            self.to_gateways.tell([entry], now)
            # With the number of this beat, the word on an earlier one would hide what is new.
            self.beaten.pop(ident, None)
        else:
            self.beaten[ident] = entry
        if entry.state is not State.READY or (news and entry.cold_until > now):
            # Also that it is cold: a machine that is cut off must not be the only one told.
            return self.held(entry)
        if news:
            self.to_peers.tell([entry], now)
        return 200, self.near_target(entry)

    def near_target(self, entry: Entry) -> dict[str, str]:
        """What the answer to a server's heartbeat says of where its later ones are to go."""
        membership, settings = self.membership_transport.membership, self.settings
        region = settings.zones.get(entry.zone, "")
        members = list(membership.alive.values())
        host = heartbeat_target(members, membership.suspects, region, settings.region, self.rng)
        if not host:
            return {}
        port = settings.listen["controlPlane"][1]  # alike on all machines
        return {"heartbeatTarget": f"{host}:{port}"}

    def cast(self, entry: Entry, now: float) -> None:
        """Straight to all gateways: some follow one who is cut off, dark, or not reached from here."""
        edges = [
            m for m in self.membership_transport.membership.alive.values() if m.meta.get("role") == "edge"
        ]
        self.membership_transport.cast({"e": [entry.wire(now)]}, [m.address for m in edges])

    async def held(self, entry: Entry) -> Response:
        """A server's word that it leaves: acknowledged once a majority of the core would tell it too."""
        if await self.copied(entry):
            return 200, {}
        return 503, {"errorText": "no majority of the control machines knows of it yet"}

    def leave(self, ident: str) -> Awaitable[Response]:
        """Take the word of a server that it has ended."""
        now = self.clock.now()
        entry, news = self.registry.leave(ident, now)
        if news:
            self.to_gateways.tell([entry], now)
            self.cast(entry, now)
        return self.held(entry)

    async def configure(self, body: bytes) -> Response:
        """Take a configuration or a change of one."""
        if self.stopping:
            return 503, {"errorText": "stops"}
        for _ in range(CHECKS):
            try:
                command, faults = self.read_order(body)
                if command.get("unchecked") and await self.replica.confirm(LIMIT) is None:
                    return 503, {"errorText": "no majority can be reached"}
                if command.get("unchecked"):
                    # What it builds on may not have come here before.
                    command, faults = self.read_order(body)
            except InvalidError as e:
                return 400, {"errorText": str(e)}
            if faults:
                log("configuration-refused", why=faults[0], faults=len(faults))
                return 400, {"errorText": faults[0], "faults": faults[:50]}
            verdict = await self.replica.submit(command, LIMIT)
            if verdict.kind != UNCHECKED:
                break
        return await self.acknowledge(command, verdict)

    def read_order(self, body: bytes) -> tuple[dict[str, Any], list[str]]:
        """The command for the store, and the faults of what it makes. Raises InvalidError.

        ``unchecked`` marks a change that builds on another version than the one that is known here, so that
        nobody has checked yet what comes of it.
        """
        orders = self.replica.orders
        command, faults = read_configuration(body, orders.document, orders.version)
        if command["do"] == "modify" and command["base"] != orders.version:
            command["unchecked"] = True
        return command, faults

    async def put(self, command: dict[str, Any]) -> Response:
        """Submit a command, and the answer to its caller."""
        return await self.acknowledge(command, await self.replica.submit(command, LIMIT))

    async def acknowledge(self, command: dict[str, Any], verdict: Verdict) -> Response:
        """The answer to a command's caller; an order that was taken waits shortly for the gateways."""
        log("order", what=command["do"], verdict=verdict.kind, why=verdict.reason, index=verdict.index)
        if not verdict.ok:
            return STATUS.get(verdict.kind, 503), {
                "errorText": verdict.reason,
                "version": f"{verdict.version:08x}",
            }
        until = self.clock.now() + TOLD
        index = min(verdict.index, self.published_state.orders.index)
        while self.published_state.behind(index) and self.clock.now() < until:
            await asyncio.sleep(0.01)
        return 200, {"version": f"{verdict.version:08x}"}

    async def read(self) -> Response:
        """The newest configuration, whole; 503 without a majority."""
        if await self.replica.confirm(LIMIT) is None:
            return 503, {"errorText": "no majority can be reached"}
        kept = self.replica.orders
        if kept.document is None:
            return 503, {"errorText": "there is no configuration yet"}
        return 200, kept.document

    async def copy(self) -> Response:
        """The operator's word as a file may hold it, at least as new as all that was acknowledged."""
        if await self.replica.confirm(LIMIT) is None:
            return 503, {"errorText": "no majority can be reached"}
        return self.show("copy")

    def show(self, what: str) -> Response:
        """One of the views for operators."""
        from latchspoke.controlplane import view  # loaded only when people ask

        return 200, view.answer(self, what)

    async def evacuate(self, asked: Asked, caller: Caller) -> Response:
        """Begin or finish one; ``evacuations`` tells which calls repeat an earlier one.

        First a majority confirms what stands. That also takes time in which the end of the connection arrives
        here, if the caller has given this call up and sent it elsewhere: a machine that was frozen or slow
        must not carry out later what has been taken back meanwhile.
        """
        zone, begins = asked.of, asked.name.endswith("begin")
        if zone not in self.settings.zones:
            return 400, {"errorText": f"zone {zone[:60]!r} is not known"}
        if await self.replica.confirm(LIMIT) is None:
            return 503, {"errorText": "no majority can be reached"}
        if caller.gone:
            return 503, {"errorText": "the caller has left"}
        orders, ack = self.replica.orders, self.settings.bound("ackS", ACK)
        kind = self.evacuations.judge(zone, begins, orders, ack, self.clock.now())
        if kind is Kind.UNCLEAR:
            return 503, {"errorText": "another evacuation of it was taken back a moment ago: send it again"}
        command: dict[str, Any] = {"do": "evacuate" if begins else "restore", "zone": zone}
        if kind is Kind.ANOTHER:
            command["stand"] = orders.standing(zone)
        status, told = await self.put(command)
        if status == 200 and begins:
            self.evacuations.acknowledged(zone, self.clock.now())
            self.peers.all({"k": "moved", "z": {}, "a": {}, "c": {zone: 0.0}})
        return status, told | {"standing": self.replica.orders.standing(zone)}

    # Who there is.

    def membership_changed(self, news: News) -> None:
        """A change of the membership."""
        if news.kind != "changed":
            log("membership", what=news.kind, who=news.member.name)
        if news.member.meta.get("role") == "core" and news.kind in ("joined", "gone"):
            self.core_changed()

    def core_changed(self) -> None:
        """Tell the replicated store and the connections which control machines are alive."""
        alive = {
            f"{m.host}:{m.port}": Place(str(m.meta.get("zone", "")), str(m.meta.get("region", "")))
            for m in self.membership_transport.membership.alive.values()
            if m.meta.get("role") == "core"
        }
        named = {name_of(identity) for identity in self.replica.register.member.members.all}
        self.peers.known(alive, named)
        self.replica.peers(alive)

    # Life.

    async def start(self) -> None:
        """Listen, and begin the periodic work. Raises OSError."""
        s = self.settings
        create = self.loop.create_server
        self.replica.start()  # before anybody can ask
        await self.listen_internal(self.membership_transport)
        for name in ("controlPlane", "directoryService"):
            if name in s.listen:
                self.listeners.append(
                    await create(lambda: HttpServerConnection(self.control), *s.listen[name], backlog=512)
                )
        self.core_changed()
        now = self.clock.now()
        self.clock.schedule(now + SWEEP, self.sweep)
        self.clock.schedule(now + GOSSIP, self.regossip)
        self.serving_started(control=str(s.listen.get("controlPlane")))

    def sweep(self, now: float) -> None:
        """Periodic: judge silent servers, drop old evidence, look at the settings file."""
        self.clock.schedule(now + SWEEP, self.sweep)
        if not self.peers.connected and len(self.peers.links):
            self.together_at = now
        news = self.registry.sweep(now, judge=now - self.together_at > ALONE)
        self.to_gateways.tell(news, now)
        self.ledger.sweep(now)
        if self.replica.proven and self.published_state.orders.index < self.replica.orders.index:
            self.tell_orders()
        self.core_changed()
        self.settings_watch.look(now)

    def regossip(self, now: float) -> None:
        """Periodic: ``gossip``."""
        self.clock.schedule(now + GOSSIP, self.regossip)
        self.gossip(now)

    def stop(self) -> None:
        """SIGTERM: end in order."""
        if not self.stopping:
            self.stopping = True
            log("stops")
            self.spawn(self.end())

    async def end(self) -> None:
        """Hand over, leave the membership and close."""
        await self.replica.stop()
        await asyncio.sleep(0.1)
        self.membership_transport.leave()
        for server in self.listeners:
            server.close()
        self.peers.stop()
        self.membership_transport.stop()
        self.stopped.set()


def main(path: str | None = None) -> int:
    """Exit codes: 0 ended in order, 1 the register's store can't be used, 2 settings that can't be used."""
    return node_process.main("controlplane", Node, path, RaftStoreError)
