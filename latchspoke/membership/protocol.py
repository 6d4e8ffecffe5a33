"""Membership and failure detection after SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar et al. 2017).

A state machine without I/O: the caller passes in messages and monotonic time in seconds, and collects
messages to send and events with ``take_output``.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import inf
from random import Random
from typing import Any, ClassVar, Literal
from zlib import crc32

import msgspec

from latchspoke.membership import messages
from latchspoke.membership.messages import Address, Member, MemberUpdate, Message
from latchspoke.membership.parameters import ProtocolParameters
from latchspoke.transport.json_size import decoded_size

CHANGE_BATCH_WINDOW_S = 0.05  # remote changes within this time are forwarded together
SAMPLING_THRESHOLD = 64  # from this many members on, random members are drawn without listing all of them
MAX_PARTIAL_VIEW_MEMBERS = 24  # in the reply of a seed that does not send its full view to a joining member
FULL_VIEW_INTERVAL_S = 0.5  # between two full views to the same joining member
DRAWS_PER_SAMPLED_MEMBER = 32  # attempts; a region may hold few of the members

__all__ = ["Member", "Membership", "MembershipEvent", "Output", "ProtocolParameters"]

EventKind = Literal["joined", "changed", "suspected", "cleared", "gone"]


class MembershipEvent(msgspec.Struct, frozen=True):
    """A change of the view. A restart under a known name is reported as ``gone``, then ``joined``."""

    kind: EventKind
    member: Member


class Output(msgspec.Struct):
    """Messages to send and events since the last ``take_output``."""

    messages: list[tuple[Address, dict[str, Any]]] = msgspec.field(default_factory=list)
    events: list[MembershipEvent] = msgspec.field(default_factory=list)


class Suspicion(msgspec.Struct):
    incarnation: int
    expires_at: float
    deadline: float  # first half-way, to notify the suspect again in case its refutation was lost


class Probe(msgspec.Struct):
    target_name: str
    deadline: float
    helper_count: int = -1  # members asked for an indirect probe; -1 before any is asked
    nack_count: int = 0


class IndirectProbe(msgspec.Struct):
    """A probe that this process makes on behalf of another member."""

    target_name: str
    requester: Address
    requester_sequence_number: int
    deadline: float


class PendingUpdate(msgspec.Struct):
    """An update that still has to be piggybacked on messages."""

    update: list[Any]
    encoded_size: int
    remaining_sends: int


class Membership:
    """The membership view of one process.

    ``alive`` includes this process and suspected members; ``removed`` maps names to members and removal time.
    Raises ValueError if the local member's update does not fit into a datagram.
    """

    def __init__(
        self,
        local_member: Member,
        seeds: Sequence[Address],
        parameters: ProtocolParameters,
        rng: Random,
        now: float,
    ) -> None:
        self.local_member = local_member
        self.parameters = parameters
        self.rng = rng
        self.alive: dict[str, Member] = {local_member.name: local_member}
        self.suspects: dict[str, Suspicion] = {}
        self.removed: dict[str, tuple[Member, float]] = {}
        self.health_score = 0  # Lifeguard's local health: 0 (healthy) to max_health_score
        self.dropped = 0  # invalid messages
        self.has_left = False
        self.output = Output()
        self.ended_instances: dict[tuple[str, str], float] = {}  # (name, instance ID) -> time
        self.candidate_names: list[str] = []  # for random choice; may include removed members
        self.candidate_set: set[str] = set()  # the same names
        self.batched_changes: dict[str, list[Any]] = {}  # of other members, by name
        self.last_forwarded_at = -inf
        self.probe_order: list[str] = []  # remaining names of this probe round, taken from the end
        self.probes: dict[int, Probe] = {}
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self.pending_updates: dict[str, PendingUpdate] = {}
        self.reply_updates: list[list[Any]] = []  # for the sender of the current message
        self.last_join_at: dict[Address, float] = {}
        self.sequence_number = 0
        self.view_digest_cache: int | None = None
        self.bucket_digests_cache = ""  # empty: to be computed
        self.view_changed_at = now
        # Until then, views are requested from seeds repeatedly.
        self.startup_ends_at = now + parameters.startup_duration_s
        self.next_probe_at = now
        self.next_seed_contact_at = now
        self.startup_joins = 0  # joins sent to a random seed during startup
        self.next_view_exchange_at = now
        self.next_removed_probe_at = now + parameters.removed_probe_interval_s
        self.seeds: list[Address] = []
        self.configured_seeds: list[Address] = []  # including this process, if listed
        self.full_views_sent_at: dict[tuple[str, str], float] = {}  # by (name, instance ID)
        self.set_seeds(seeds)
        self._set_local_member(local_member)

    # Public interface

    def receive(self, raw_message: dict[str, Any], source: Address, now: float) -> None:
        """Handles a message; invalid ones are counted and dropped."""
        try:
            message = messages.parse_message(raw_message)
        except ValueError:
            self.dropped += 1
            return
        name, instance_id, _ = message.f
        if self.has_left or name == self.local_member.name or (name, instance_id) in self.ended_instances:
            return
        self._compensate_pause(now)
        self.reply_updates = []
        for update in message.u:
            from_member_itself = (
                update.name == name
                and update.instance_id == instance_id
                and (update.host, update.port) == source
            )
            self._apply_update(update, from_member_itself, message.k == messages.JOIN_REPLY, source, now)
        if message.k not in (messages.UPDATES, messages.JOIN_REPLY, messages.NACK):
            self._check_sender(message, source, now)
        handler = self.HANDLERS.get(message.k)
        if handler:
            handler(self, message, source, now)
        if message.d is not None:
            self._compare_digest(message.d, source, now)

    def tick(self, now: float) -> None:
        """Handles expired timers and starts the periodic probes."""
        if self.has_left:
            return
        self._compensate_pause(now)
        for sequence_number, indirect_probe in list(self.indirect_probes.items()):
            if indirect_probe.deadline <= now:
                del self.indirect_probes[sequence_number]
                self._send(indirect_probe.requester, messages.NACK, indirect_probe.requester_sequence_number)
        for sequence_number, probe in list(self.probes.items()):
            if probe.deadline <= now:
                self._on_probe_timeout(sequence_number, probe, now)
        for name, suspicion in list(self.suspects.items()):
            if suspicion.expires_at <= now:
                self._remove(self.alive[name], now)
            elif suspicion.deadline <= now:
                suspicion.deadline = suspicion.expires_at
                suspect = self.alive[name]
                update = messages.encode_update(messages.SUSPECT, suspect, suspicion.incarnation)
                self._send(suspect.address, messages.UPDATES, required=[update])
        if self.batched_changes and now >= self.last_forwarded_at + CHANGE_BATCH_WINDOW_S:
            self._forward_batch(now)
        if self.next_probe_at <= now:
            self.next_probe_at = max(
                self.next_probe_at + self.parameters.probe_interval_s,
                now + self.parameters.probe_interval_s / 2,
            )
            self._expire_records(now)
            self._probe_next(now)
            self._probe_removed(now)
            self._contact_seeds(now)
        elif self.next_seed_contact_at <= now and self._is_joining(now):
            self._contact_seeds(now)

    def next_tick_at(self) -> float:
        """Time at which ``tick`` must be called next."""
        if self.has_left:
            return inf
        soonest = self.next_probe_at
        if self.batched_changes:
            soonest = min(soonest, self.last_forwarded_at + CHANGE_BATCH_WINDOW_S)
        if self._is_joining(self.next_seed_contact_at):
            soonest = min(soonest, self.next_seed_contact_at)
        for group in (self.probes, self.indirect_probes, self.suspects):
            for pending in group.values():
                soonest = min(soonest, pending.deadline)
        return soonest

    def update_meta(self, meta: dict[str, Any], now: float) -> None:
        """Replaces the local member's metadata and disseminates it. Raises ValueError if it is too large."""
        if meta != self.local_member.meta and not self.has_left:
            self._set_local_member(
                msgspec.structs.replace(
                    self.local_member, meta=meta, incarnation=self.local_member.incarnation + 1
                )
            )
            self._send_to_random(
                messages.encode_update(messages.ALIVE, self.local_member), self.parameters.own_change_fanout
            )

    def set_seeds(self, seeds: Sequence[Address]) -> None:
        """Replaces the seed addresses, with effect from the next contact with a seed."""
        self.configured_seeds = list(dict.fromkeys((host, port) for host, port in seeds))
        self.seeds = [
            seed
            for seed in dict.fromkeys((host, port) for host, port in seeds)
            if seed != self.local_member.address
        ]

    def leave(self, now: float) -> None:
        """Announces an orderly leave to a few members; no further message is sent."""
        if not self.has_left:
            self.has_left = True
            self.pending_updates.clear()
            self._send_to_random(
                messages.encode_update(messages.LEFT, self.local_member), self.parameters.leave_fanout
            )

    def take_output(self) -> Output:
        """Returns and clears the pending output."""
        output, self.output = self.output, Output()
        return output

    # Updates about members

    def _apply_update(
        self, update: MemberUpdate, from_member_itself: bool, in_full_view: bool, source: Address, now: float
    ) -> None:
        """Applies one received update.

        ``from_member_itself``: sent by the member from its address; ``in_full_view``: part of a join reply.
        """
        if update.name == self.local_member.name:
            self._refute(update, source)
        elif (update.name, update.instance_id) in self.ended_instances:
            return
        elif update.state == messages.ALIVE:
            member = update.to_member()
            if self._has_room(member):
                self._apply_alive(member, from_member_itself, in_full_view, now)
            else:
                self.dropped += 1
        else:
            known = self.alive.get(update.name)
            if known is None or known.instance_id != update.instance_id:
                return
            if update.state == messages.LEFT:
                self._remove(known, now, voluntary=True)
            elif update.incarnation >= known.incarnation:
                # A remote removal counts only as a suspicion: after a network partition each side considers
                # the other dead, and must not make the other remove its live members.
                suspicion = self.suspects.get(update.name)
                if suspicion is None:
                    self._suspect(known, update.incarnation, now)
                else:
                    suspicion.incarnation = max(suspicion.incarnation, update.incarnation)

    def _has_room(self, member: Member) -> bool:
        """Whether a member, or what is new of one, may be kept: anybody can name ever new ones."""
        known = self.alive.get(member.name)
        if known is None and len(self.alive) >= self.parameters.max_members:
            return False
        if known is not None and known.meta == member.meta:
            return True
        return decoded_size(messages.encode_meta(member)) <= self.parameters.max_meta_bytes

    def _apply_alive(self, member: Member, from_member_itself: bool, in_full_view: bool, now: float) -> None:
        name = member.name
        known = self.alive.get(name)
        removed_record = None if known else self.removed.get(name)
        latest = known or (removed_record[0] if removed_record else None)
        if latest and member.instance_id == latest.instance_id:
            if member.incarnation <= latest.incarnation:
                if in_full_view and (removed_record or member.incarnation < latest.incarnation):
                    self.reply_updates.append(
                        messages.encode_update(messages.DEAD if removed_record else messages.ALIVE, latest)
                    )
                return
        elif latest:
            if member.incarnation <= latest.incarnation:
                # The member refutes this with a higher incarnation.
                self.reply_updates.append(messages.encode_update(messages.DEAD, latest))
                if not from_member_itself:
                    return
            self.ended_instances[name, latest.instance_id] = now
            if known:
                self._discard(known)
                known = None
        self.removed.pop(name, None)
        self.alive[name] = member
        self._add_candidate(name)
        self._invalidate_view(now)
        update = messages.encode_update(messages.ALIVE, member)
        if known is None:
            self.probe_order.insert(self.rng.randint(0, len(self.probe_order)), name)
            self._emit("joined", member)
            return
        suspicion = self.suspects.get(name)
        if suspicion and member.incarnation > suspicion.incarnation:
            del self.suspects[name]
            self._emit("cleared", member)
        changed = (known.address, known.meta) != (member.address, member.meta)
        if changed:
            self._emit("changed", member)
        if suspicion:
            self._queue_update(update)
            self._forward_updates([update])
        elif changed:
            self._batch_change(update, now)

    def _refute(self, update: MemberUpdate, source: Address) -> None:
        """Refutes a false update about this process with a higher incarnation, sent to its source at once."""
        same_instance = update.instance_id == self.local_member.instance_id
        if same_instance and update.state in (messages.ALIVE, messages.LEFT):
            return
        outdated = update.incarnation < self.local_member.incarnation
        if not outdated:
            if same_instance:
                self._raise_health_score(1)
            self._set_local_member(
                msgspec.structs.replace(self.local_member, incarnation=update.incarnation + 1)
            )
        refutation = messages.encode_update(messages.ALIVE, self.local_member)
        self._send(source, messages.UPDATES, required=[refutation])
        if not outdated:
            self._send_to_random(refutation, self.parameters.own_change_fanout)

    def _suspect(self, member: Member, incarnation: int, now: float) -> None:
        timeout_s = self.parameters.suspicion_timeout_for(
            len(self.alive)
        ) * self.parameters.timeout_multiplier(self.health_score)
        self.suspects[member.name] = Suspicion(incarnation, now + timeout_s, now + timeout_s / 2)
        update = messages.encode_update(messages.SUSPECT, member, incarnation)
        self._queue_update(update)
        self._emit("suspected", member)
        if len(self.suspects) <= self.parameters.max_forwarded_suspects:
            self._forward_updates([update])

    def _remove(self, member: Member, now: float, voluntary: bool = False) -> None:
        suspicion = self.suspects.get(member.name)
        if suspicion:
            member = msgspec.structs.replace(
                member, incarnation=max(member.incarnation, suspicion.incarnation)
            )
        self._discard(member)
        self.removed[member.name] = (member, now)
        self._invalidate_view(now)
        update = messages.encode_update(messages.LEFT if voluntary else messages.DEAD, member)
        self._queue_update(update)
        if voluntary:
            self.ended_instances[member.name, member.instance_id] = now
            self._forward_updates([update])

    def _discard(self, member: Member) -> None:
        self.alive.pop(member.name, None)
        self.suspects.pop(member.name, None)
        if member.name in self.probe_order:
            self.probe_order.remove(member.name)
        self._emit("gone", member)

    # Message handlers

    def _check_sender(self, message: Message, source: Address, now: float) -> None:
        """Tells the sender if it is suspected or removed here; sends a join to an unknown one."""
        name, instance_id, incarnation = message.f
        known = self.alive.get(name)
        removed_record = self.removed.get(name)
        latest = known or (removed_record[0] if removed_record else None)
        if (
            latest is None
            or latest.instance_id != instance_id
            or (removed_record and incarnation > latest.incarnation)
        ):
            self._send_join(source, now)
        elif removed_record:
            self.reply_updates.append(messages.encode_update(messages.DEAD, latest))
        elif name in self.suspects:
            self.reply_updates.append(
                messages.encode_update(messages.SUSPECT, latest, self.suspects[name].incarnation)
            )

    def _on_probe(self, message: Message, source: Address, now: float) -> None:
        if message.t[0] in ("", self.local_member.name):
            self._send(
                source,
                messages.ACK,
                message.n,
                required=self.reply_updates,
                with_bucket_digests=message.d not in (None, self._view_digest()),
            )

    def _on_ack(self, message: Message, source: Address, now: float) -> None:
        self._send_reply_updates(source)
        self._exchange_differences(message, source, request_reply=True)
        name = message.t[0] or message.f[0]
        probe = self.probes.get(message.n)
        indirect_probe = self.indirect_probes.get(message.n)
        if probe and probe.target_name == name:
            del self.probes[message.n]
            self.health_score = max(0, self.health_score - 1)
        elif indirect_probe and indirect_probe.target_name == name:
            del self.indirect_probes[message.n]
            self._send(
                indirect_probe.requester,
                messages.ACK,
                indirect_probe.requester_sequence_number,
                about=message.t if message.t[0] else (name, "", 0),
            )

    def _on_indirect_probe(self, message: Message, source: Address, now: float) -> None:
        self._send_reply_updates(source)
        name, host, port = message.t
        if not (name and host and port) or name == self.local_member.name:
            return
        self.sequence_number += 1
        # Shorter than the requester's timeout, so that the nack arrives in time.
        self.indirect_probes[self.sequence_number] = IndirectProbe(
            name, source, message.n, now + 0.6 * self.parameters.indirect_probe_timeout_s
        )
        self._send((host, port), messages.PROBE, self.sequence_number, about=(name, "", 0))

    def _on_updates(self, message: Message, source: Address, now: float) -> None:
        self._exchange_differences(message, source, request_reply=False)

    def _exchange_differences(self, message: Message, source: Address, request_reply: bool) -> None:
        """Sends alive members from buckets in which the sender's view differs, up to one datagram.

        Because of this anti-entropy exchange, alive members need not be piggybacked: equal views cost only
        their digest. ``request_reply``: the receiver answers with its own members.
        """
        if not message.v or message.v == self._bucket_digests():
            return
        buckets = messages.differing_buckets(message.v, self._bucket_digests())
        bucket_members = [
            member for member in self.alive.values() if messages.bucket_of(member.name) in buckets
        ]
        self.rng.shuffle(bucket_members)
        updates, available_bytes = [], self.parameters.max_update_bytes
        for update in (
            messages.encode_update(messages.ALIVE, member)
            for member in bucket_members[: self.parameters.max_updates]
        ):
            available_bytes -= messages.encoded_size(update)
            if available_bytes < 0:
                break
            updates.append(update)
        if updates or request_reply:
            self._send(source, messages.UPDATES, required=updates, with_bucket_digests=request_reply)

    def _on_nack(self, message: Message, source: Address, now: float) -> None:
        probe = self.probes.get(message.n)
        if probe:
            probe.nack_count += 1

    def _on_join(self, message: Message, source: Address, now: float) -> None:
        """Sends the buckets that differ, in as many datagrams as needed, and always the local member."""
        view = [messages.encode_update(messages.ALIVE, self.local_member)]
        if message.d != self._view_digest():
            buckets = messages.differing_buckets(message.v, self._bucket_digests()) or set(
                range(messages.BUCKET_COUNT)
            )
            members = [
                member
                for member in self.alive.values()
                if member is not self.local_member and messages.bucket_of(member.name) in buckets
            ]
            removed = [
                member for member, _ in self.removed.values() if messages.bucket_of(member.name) in buckets
            ]
            if (
                not message.v
                and len(members) > MAX_PARTIAL_VIEW_MEMBERS
                and not self._sends_full_view(message, now)
            ):
                members, removed = self.rng.sample(members, MAX_PARTIAL_VIEW_MEMBERS), []
            view += [messages.encode_update(messages.ALIVE, member) for member in members]
            view += [messages.encode_update(messages.DEAD, member) for member in removed]
        self._send(source, messages.JOIN_REPLY, required=self.reply_updates + view)

    def _sends_full_view(self, message: Message, now: float) -> bool:
        """Whether this process sends its full view to a member that joins without knowing any other.

        One seed, designated by the hash of the joining member's name, does so at a limited rate; the others
        send a random part. This bounds the load on the seeds when hundreds of processes start at once.
        """
        name, instance_id, _ = message.f
        if self.local_member.address in self.configured_seeds:
            designated_seed = self.configured_seeds[crc32(name.encode()) % len(self.configured_seeds)]
            if designated_seed != self.local_member.address:
                return False
        self.full_views_sent_at = {
            member_key: sent_at
            for member_key, sent_at in self.full_views_sent_at.items()
            if now - sent_at < FULL_VIEW_INTERVAL_S
        }
        recently_sent = (name, instance_id) in self.full_views_sent_at
        self.full_views_sent_at.setdefault((name, instance_id), now)
        return not recently_sent

    def _on_join_reply(self, message: Message, source: Address, now: float) -> None:
        self._send_reply_updates(source)

    def _send_reply_updates(self, source: Address) -> None:
        if self.reply_updates:
            self._send(source, messages.UPDATES, required=self.reply_updates)

    def _compare_digest(self, sender_digest: int, source: Address, now: float) -> None:
        """Requests the sender's view if the views still differ some time after the last local change."""
        if sender_digest == self._view_digest() or now < self.next_view_exchange_at:
            return
        if now - self.view_changed_at > 2 * self.parameters.probe_interval_s:
            interval_s = self.parameters.view_exchange_interval_s * max(1.0, len(self.alive) / 16)
            self.next_view_exchange_at = now + interval_s * self.rng.uniform(1, 1.5)
            self._send_join(source, now)

    # Timers

    def _on_probe_timeout(self, sequence_number: int, probe: Probe, now: float) -> None:
        target = self.alive.get(probe.target_name)
        if target is None:
            del self.probes[sequence_number]
        elif probe.helper_count < 0:
            helpers = self._random_members(self.parameters.indirect_probe_count, excluded=probe.target_name)
            for helper in helpers:
                self._send(
                    helper.address,
                    messages.INDIRECT_PROBE,
                    sequence_number,
                    about=(target.name, target.host, target.port),
                )
            probe.helper_count = len(helpers)
            probe.deadline = (
                now
                + self.parameters.indirect_probe_timeout_s
                * self.parameters.timeout_multiplier(self.health_score)
            )
        else:
            del self.probes[sequence_number]
            if probe.helper_count and not probe.nack_count:
                self._raise_health_score(1)  # no answer from any helper: the fault may be local
            if probe.target_name not in self.suspects:
                self._suspect(target, target.incarnation, now)
                self._send(
                    target.address,
                    messages.UPDATES,
                    required=[messages.encode_update(messages.SUSPECT, target)],
                )

    def _probe_next(self, now: float) -> None:
        """Probes the next member; each round covers all members in a new random order."""
        if not self.probe_order:
            self.probe_order = [name for name in self.alive if name != self.local_member.name]
            self.rng.shuffle(self.probe_order)
        if self.probe_order:
            target = self.alive[self.probe_order.pop()]
            suspicion = self.suspects.get(target.name)
            updates = (
                [messages.encode_update(messages.SUSPECT, target, suspicion.incarnation)] if suspicion else []
            )
            self.sequence_number += 1
            timeout_s = self.parameters.probe_timeout_s * self.parameters.timeout_multiplier(
                self.health_score
            )
            self.probes[self.sequence_number] = Probe(target.name, now + timeout_s)
            self._send(
                target.address,
                messages.PROBE,
                self.sequence_number,
                required=updates,
                about=(target.name, "", 0),
            )

    def _probe_removed(self, now: float) -> None:
        """Probes a random removed member, which refutes its removal if it was only partitioned."""
        candidates = [
            member
            for member, _ in self.removed.values()
            if (member.name, member.instance_id) not in self.ended_instances
        ]
        if candidates and now >= self.next_removed_probe_at:
            self.next_removed_probe_at = now + self.parameters.removed_probe_interval_s * self.rng.uniform(
                0.75, 1.25
            )
            target = self.rng.choice(candidates)
            update = messages.encode_update(messages.DEAD, target)
            self._send(target.address, messages.PROBE, required=[update], about=(target.name, "", 0))

    def _is_joining(self, now: float) -> bool:
        """Whether seeds are contacted at the startup rate: until another member is known, and once after."""
        return (
            now < self.startup_ends_at
            and bool(self.seeds)
            and (len(self.alive) == 1 or not self.startup_joins)
        )

    def _contact_seeds(self, now: float) -> None:
        """Sends joins to seeds not known to be alive.

        All of them are contacted while few members or no seeds are known, otherwise a random one.
        """
        if now < self.next_seed_contact_at:
            return
        if self._is_joining(now) and len(self.alive) == 1:
            self.next_seed_contact_at = now + self.parameters.startup_join_interval_s
            for seed in self.seeds:
                self._send_join(seed, now, self.parameters.startup_join_interval_s / 2)
            return
        alive_addresses = {member.address for member in self.alive.values()}
        missing_seeds = [seed for seed in self.seeds if seed not in alive_addresses]
        if now < self.startup_ends_at and self.seeds and len(self.alive) > 1:
            self.next_seed_contact_at = now + self.parameters.probe_interval_s * 2**self.startup_joins
            self.startup_joins += 1
            # Fetches the members that have joined since the first reply.
            self._send_join(self.rng.choice(self.seeds), now, self.parameters.startup_join_interval_s / 2)
            return
        if not missing_seeds:
            return
        few_members = len(self.alive) < 3
        self.next_seed_contact_at = now + (
            self.parameters.seed_contact_interval_s
            if few_members
            else self.parameters.missing_seed_interval_s
        ) * self.rng.uniform(0.8, 1.2)
        for seed in (
            missing_seeds
            if few_members or len(missing_seeds) == len(self.seeds)
            else [self.rng.choice(missing_seeds)]
        ):
            self._send_join(seed, now)

    def _expire_records(self, now: float) -> None:
        cutoff = now - self.parameters.removed_retention_s
        if self.removed:
            self.removed = {
                name: (member, recorded_at)
                for name, (member, recorded_at) in self.removed.items()
                if recorded_at > cutoff
            }
        if self.ended_instances:
            self.ended_instances = {
                key: recorded_at for key, recorded_at in self.ended_instances.items() if recorded_at > cutoff
            }
        if self.last_join_at:
            self.last_join_at = {
                address: joined_at
                for address, joined_at in self.last_join_at.items()
                if joined_at > now - self.parameters.seed_contact_interval_s
            }

    def _compensate_pause(self, now: float) -> None:
        """Extends all deadlines by the time in which this process was not running."""
        paused_s = now - self.next_tick_at()
        if paused_s > self.parameters.pause_threshold_s:
            self._raise_health_score(1)
            self.next_probe_at += paused_s
            for group in (self.probes, self.indirect_probes, self.suspects):
                for pending in group.values():
                    pending.deadline += paused_s
            for suspicion in self.suspects.values():
                suspicion.expires_at += paused_s

    # Helpers

    def _raise_health_score(self, points: int) -> None:
        self.health_score = min(self.parameters.max_health_score, self.health_score + points)

    def _set_local_member(self, member: Member) -> None:
        update = messages.encode_update(messages.ALIVE, member)
        if messages.encoded_size(update) > self.parameters.max_update_bytes:
            raise ValueError(f"{member.name}: metadata does not fit into a datagram")
        self.local_member = self.alive[member.name] = member
        self.view_digest_cache, self.bucket_digests_cache = None, ""
        self._queue_update(update)

    def _invalidate_view(self, now: float) -> None:
        self.view_digest_cache, self.bucket_digests_cache = None, ""
        self.view_changed_at = now

    def _view_digest(self) -> int:
        if self.view_digest_cache is None:
            self.view_digest_cache = messages.view_digest(self.alive.values())
        return self.view_digest_cache

    def _bucket_digests(self) -> str:
        if not self.bucket_digests_cache:
            self.bucket_digests_cache = messages.bucket_digests(self.alive.values())
        return self.bucket_digests_cache

    def _emit(self, kind: EventKind, member: Member) -> None:
        self.output.events.append(MembershipEvent(kind, member))

    def _queue_update(self, update: list[Any]) -> None:
        self.pending_updates[update[1]] = PendingUpdate(
            update, messages.encoded_size(update), self.parameters.transmissions(len(self.alive))
        )

    def _random_members(self, count: int, excluded: str = "", region: object = None) -> list[Member]:
        """Random members that are not suspected, only from ``region`` unless it is None."""
        if len(self.candidate_names) >= SAMPLING_THRESHOLD:
            sampled = self._sample_candidates(count, excluded, region)
            if len(sampled) == count:
                return sampled
        other_members = [
            member
            for name, member in self.alive.items()
            if name not in (self.local_member.name, excluded) and name not in self.suspects
        ]
        if region is not None:
            other_members = [member for member in other_members if member.meta.get("region") == region]
        return self.rng.sample(other_members, min(count, len(other_members)))

    def _add_candidate(self, name: str) -> None:
        """Makes a member available to ``_sample_candidates``."""
        if name not in self.candidate_set:
            self.candidate_set.add(name)
            self.candidate_names.append(name)

    def _sample_candidates(self, count: int, excluded: str, region: object) -> list[Member]:
        """Like ``_random_members``, at a cost independent of the number of members; may return fewer."""
        sampled: dict[str, Member] = {}
        for _ in range(count * DRAWS_PER_SAMPLED_MEMBER):
            if len(sampled) == count or not self.candidate_names:
                break
            position = int(self.rng.random() * len(self.candidate_names))
            name = self.candidate_names[position]
            member = self.alive.get(name)
            if member is None:
                # Removed: replace it by the last name.
                self.candidate_names[position] = self.candidate_names[-1]
                self.candidate_names.pop()
                self.candidate_set.discard(name)
                continue
            if name in (self.local_member.name, excluded) or name in self.suspects:
                continue
            if region is None or member.meta.get("region") == region:
                sampled[name] = member
        return list(sampled.values())

    def _send_to_random(self, update: list[Any], count: int) -> None:
        for member in self._random_members(count, excluded=update[1]):
            self._send(member.address, messages.UPDATES, required=[update])

    def _batch_change(self, update: list[Any], now: float) -> None:
        """Forwards the first change at once and batches those that follow within the batch window."""
        self.batched_changes[update[1]] = update
        if now >= self.last_forwarded_at + CHANGE_BATCH_WINDOW_S:
            self._forward_batch(now)

    def _forward_batch(self, now: float) -> None:
        updates, self.batched_changes = list(self.batched_changes.values()), {}
        self.last_forwarded_at = now
        self._forward_updates(updates)

    def _forward_updates(self, updates: list[list[Any]]) -> None:
        """Sends remote changes at once, mostly within the region: traffic between regions is billed."""
        excluded = updates[0][1] if len(updates) == 1 else ""
        cross_region_count = sum(
            self.rng.random() < self.parameters.cross_region_share
            for _ in range(self.parameters.forward_fanout)
        )
        region = self.local_member.meta.get("region")
        same_region = self._random_members(
            self.parameters.forward_fanout - cross_region_count, excluded=excluded, region=region
        )
        for member in [*same_region, *self._random_members(cross_region_count, excluded=excluded)]:
            self._send(member.address, messages.UPDATES, required=updates)

    def _send_join(self, to: Address, now: float, min_interval_s: float = inf) -> None:
        """Requests the view of another process, at a limited rate for each address."""
        if now - self.last_join_at.get(to, -inf) >= min(self.parameters.probe_interval_s, min_interval_s):
            self.last_join_at[to] = now
            has_peers = len(self.alive) > 1
            self._send(
                to,
                messages.JOIN,
                required=[messages.encode_update(messages.ALIVE, self.local_member)],
                with_bucket_digests=has_peers,
            )

    def _send(
        self,
        to: Address,
        kind: str,
        sequence_number: int = 0,
        required: Sequence[list[Any]] = (),
        about: tuple[str, str, int] = ("", "", 0),
        with_bucket_digests: bool = False,
    ) -> None:
        """Sends the required updates, split into several messages if needed, and piggybacks pending ones."""
        batch: list[list[Any]] = []
        available_bytes = self.parameters.max_update_bytes
        for update in required:
            update_bytes = messages.encoded_size(update)
            if batch and update_bytes > available_bytes:
                self._enqueue_message(to, kind, sequence_number, about, batch)
                batch, available_bytes = [], self.parameters.max_update_bytes
            batch.append(update)
            available_bytes -= update_bytes
        required_names = {update[1] for update in required}
        for name in sorted(self.pending_updates, key=lambda n: -self.pending_updates[n].remaining_sends):
            pending = self.pending_updates[name]
            if len(batch) >= self.parameters.max_updates:
                break
            if pending.encoded_size > available_bytes or name in required_names:
                continue
            batch.append(pending.update)
            available_bytes -= pending.encoded_size
            pending.remaining_sends -= 1
            if pending.remaining_sends <= 0:
                del self.pending_updates[name]
        self._enqueue_message(to, kind, sequence_number, about, batch, with_bucket_digests)

    def _enqueue_message(
        self,
        to: Address,
        kind: str,
        sequence_number: int,
        about: tuple[str, str, int],
        updates: list[list[Any]],
        with_bucket_digests: bool = False,
    ) -> None:
        message: dict[str, Any] = {
            "k": kind,
            "f": [self.local_member.name, self.local_member.instance_id, self.local_member.incarnation],
        }
        if sequence_number:
            message["n"] = sequence_number
        if about[0]:
            message["t"] = list(about)
        if kind in (messages.PROBE, messages.ACK, messages.JOIN):
            message["d"] = self._view_digest()
        if with_bucket_digests:
            message["v"] = self._bucket_digests()
        if updates:
            message["u"] = updates
        self.output.messages.append((to, message))

    HANDLERS: ClassVar[dict[str, Callable[[Membership, Message, Address, float], None]]] = {
        messages.PROBE: _on_probe,
        messages.ACK: _on_ack,
        messages.INDIRECT_PROBE: _on_indirect_probe,
        messages.NACK: _on_nack,
        messages.JOIN: _on_join,
        messages.JOIN_REPLY: _on_join_reply,
        messages.UPDATES: _on_updates,
    }
