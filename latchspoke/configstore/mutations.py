"""Mutations: guards removed from the config store on purpose, to verify that the fault schedules detect it.

``python -m latchspoke.configstore.mutations`` prints for each the first seed that detects it. For tests and
invariant checks only; no production process imports this module.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any
from unittest import mock

import msgspec

from latchspoke.configstore import voters
from latchspoke.configstore.config_state import TAKEN, Command, ConfigState, Verdict
from latchspoke.configstore.fault_schedules import Schedule
from latchspoke.configstore.messages import CommandReply, ReadIndexReply
from latchspoke.configstore.simulation import Cluster, Disk, merge_patch
from latchspoke.configstore.store_node import StoreNode, WaitingReads, founding_snapshot
from latchspoke.consensus.member import HANDLERS, Member, Output
from latchspoke.consensus.records import Entry, Members, Snapshot

Replacement = tuple[Any, str, Any]  # class or module, attribute, replacement


@dataclass(frozen=True, slots=True)
class Mutation:
    """A removed guard, and the scenario that exposes it ('': random schedules alone do)."""

    replacements: tuple[Replacement, ...]
    scenario: str = ""
    covered_by: str = ""  # the guard that also covers this one, so that its removal alone goes undetected


SAVE, CHANGE_CONFIGURATION, CREATE_DISK, ON_COMMAND_REQUEST = (
    Disk.save,
    ConfigState.change_configuration,
    Cluster.create_disk,
    StoreNode.on_command_request,
)
START, APPLY_ENTRY, REQUEST_READ_INDEX, START_ELECTION = (
    Cluster.start,
    StoreNode.apply_entry,
    StoreNode.request_read_index,
    Member.start_election,
)
NODE_INIT, MEMBER_INIT, ON_STORED = StoreNode.__init__, Member.__init__, StoreNode.on_stored


def votes_not_synced(disk: Disk, output: Output) -> None:
    """Does not store term and vote."""
    output.hard_state = None
    SAVE(disk, output)


def any_base(state: ConfigState, index: int, command: Command) -> str:
    """Accepts a change on any base version."""
    return CHANGE_CONFIGURATION(state, index, {**command, "base": state.version})


def forget_history(state: ConfigState, index: int, command: Command) -> str:
    """Forgets accepted versions, so that retries are not recognized."""
    state.history.clear()
    return CHANGE_CONFIGURATION(state, index, command)


def forget_refusals(state: ConfigState, index: int, command: Command) -> str:
    """Forgets rejected digests, so that a rejected change may be accepted later."""
    state.refused.clear()
    return CHANGE_CONFIGURATION(state, index, command)


def any_version(state: ConfigState, index: int, command: Command) -> str:
    """Accepts a version that is not higher than the current one."""
    version = state.version
    if command["base"] != version or command["version"] > version:
        return CHANGE_CONFIGURATION(state, index, command)
    state.version = -1
    try:
        return CHANGE_CONFIGURATION(state, index, {**command, "base": -1})
    finally:
        if state.version == -1:
            state.version = version


def ignores_after(state: ConfigState, index: int, command: Command, evacuate: bool) -> str:
    """Accepts a delayed zone command despite a later one."""
    return SET_ZONE_EVACUATED(state, index, {**command, "after": index}, evacuate)


SET_ZONE_EVACUATED = ConfigState.set_zone_evacuated


def read_without_round(node: StoreNode, name: str, request_id: int, deferrable: bool = False) -> None:
    """Answers a read-index request without confirming the leadership."""
    index = node.member.commit_index if node.is_leader else -1
    node.send_to(name, ReadIndexReply(request_id, index))


def same_identity(cluster: Cluster, name: str, first_start: bool = False) -> None:
    """A wiped node keeps its identity."""
    CREATE_DISK(cluster, name, first_start)
    if not first_start:
        cluster.disks[name] = Disk(
            f"{name}#first", founding_snapshot(cluster.seeds, ConfigState(merge_patch))
        )


def entries_not_synced(disk: Disk, output: Output) -> None:
    """Does not store log entries."""
    output.first_index = 0
    SAVE(disk, output)


def commit_below_majority(member: Member, now: float) -> None:
    """Commits with one acknowledgement less than a majority."""
    commit_by_count(member, now, 2, own_term_only=True)


def commit_earlier_term(member: Member, now: float) -> None:
    """Commits entries of earlier terms by counting replicas."""
    commit_by_count(member, now, 1, own_term_only=False)


def commit_by_count(member: Member, now: float, shortfall: int, own_term_only: bool) -> None:
    """Variant of ``Member.advance_commit_index``; ``shortfall`` 1 is a majority."""
    match_indexes = {name: peer.match_index for name, peer in member.peers.items()} | {
        member.identity: member.log.last_index
    }
    descending = sorted((match_indexes.get(name, 0) for name in member.members.voters), reverse=True)
    index = descending[max(member.members.majority - shortfall, 0)] if descending else 0
    if index > member.commit_index and (not own_term_only or member.log.term_at(index) == member.term):
        member.commit_index = index
        member.confirm_reads()
        member.broadcast(now)


def restore_without_state(node: StoreNode, snapshot: Snapshot) -> None:
    """Installs a snapshot without loading its state."""
    node.applied_index = snapshot.index


def replies_before_commit(node: StoreNode, name: str, request_id: int, command: Command) -> None:
    """Replies to a command as soon as it is proposed."""
    ON_COMMAND_REQUEST(node, name, request_id, command)
    if (name, request_id) in node.in_progress:
        node.send_to(name, CommandReply(request_id, Verdict(TAKEN)))


def proposes_duplicates(node: StoreNode, name: str, request_id: int, command: Command) -> None:
    """Proposes a retried command again while it is in progress."""
    node.in_progress.discard((name, request_id))
    ON_COMMAND_REQUEST(node, name, request_id, command)


def ignores_entry_term(node: StoreNode, entry: Entry) -> None:
    """Takes any entry at the index of a proposal for the proposed one."""
    proposal = node.proposals.get(entry.index)
    if proposal is not None:
        proposal.term = entry.term
    APPLY_ENTRY(node, entry)


def replies_before_applied(node: StoreNode) -> None:
    """Answers reads before their read index is applied."""
    waiting_reads, node.waiting_reads = node.waiting_reads, []
    for read_id in [read_id for waiting in waiting_reads for read_id in waiting.read_ids]:
        node.finish_read(read_id, node.applied_index)


def accepts_late_read_reply(node: StoreNode, request_id: int, index: int) -> None:
    """Accepts a reply to an earlier read-index request."""
    if node.read_batch is None:
        return
    read_ids, node.read_batch = node.read_batch.read_ids, None
    if index < 0:
        node.queued_reads, node.read_request_at = read_ids + node.queued_reads, node.now + 0.05
        return
    node.waiting_reads.append(WaitingReads(index, read_ids))
    node.release_reads()


def joins_sent_batch(node: StoreNode, leader: str) -> None:
    """Reads that arrive later join a request that was already sent."""
    if node.read_batch is not None and node.read_batch.sent_to == leader:
        node.read_batch.read_ids += node.queued_reads
        node.queued_reads = []
    REQUEST_READ_INDEX(node, leader)


def stale_is_final(node: StoreNode, request_id: int, verdict: Verdict) -> None:
    """Passes the internal verdict ``stale`` on to the caller."""
    if node.pending_commands.pop(request_id, None) is not None:
        node.answers.append((request_id, verdict))


def reuses_request_ids(node: StoreNode, *given: Any, **named: Any) -> None:
    """Starts with the same request IDs after each restart."""
    NODE_INIT(node, *given, **named)
    node.last_request_id = 0


def newcomers_vote_at_once(current: Members, newcomers: Iterable[voters.JoinCandidate]) -> Members | None:
    """A new member votes before it has caught up."""
    members = ADMIT(current, list(newcomers)[:1])
    if members is None:
        return None
    return msgspec.structs.replace(
        members, voters=members.voters + members.non_voters[-1:], non_voters=members.non_voters[:-1]
    )


ADMIT = voters.admit


def votes_for_stale_log(member: Member, message: Any, now: float) -> None:
    """Grants votes regardless of the candidate's log."""
    last = message.last_index, message.last_term
    ON_VOTE_REQUEST(member, msgspec.structs.replace(message, last_term=1 << 40, last_index=last[0]), now)


ON_VOTE_REQUEST = Member.on_vote_request


def votes_twice(member: Member, message: Any, now: float) -> None:
    """Forgets its vote of the current term."""
    member.hard_state = msgspec.structs.replace(member.hard_state, vote="")
    ON_VOTE_REQUEST(member, message, now)


def reads_before_term_commit(member: Member) -> None:
    """Confirms reads before an entry of the leader's term is committed."""
    for round_number in sorted(member.reads_by_round):
        acked = {name for name, peer in member.peers.items() if peer.acked_round >= round_number}
        if not member.members.has_quorum(acked | {member.identity}):
            break
        member.output.confirmed_reads += [
            (read.read_id, read.read_index) for read in member.reads_by_round.pop(round_number)
        ]


def reads_own_commit_index(member: Member, read_id: int, now: float, deferrable: bool = False) -> None:
    """Reads at the commit index known at the election."""
    term_start, member.term_start_index = member.term_start_index, 0
    REQUEST_READ(member, read_id, now, deferrable)
    member.term_start_index = term_start


REQUEST_READ = Member.request_read


def commits_beyond_sent_entries(member: Member, message: Any, now: float) -> None:
    """Commits entries that the leader's message did not cover."""
    ON_APPEND(member, message, now)
    member.commit_index = max(member.commit_index, min(message.commit, member.log.last_index))


ON_APPEND = Member.on_append


def votes_without_boot_check(member: Member, *given: Any, **named: Any) -> None:
    """Votes without checking whether its disk is an old copy."""
    MEMBER_INIT(member, *given, **named)
    member.boot_unverified = False


def accepts_earlier_boots(member: Member, message: Any, now: float) -> None:
    """Accepts messages from an earlier boot of the sender."""
    member.known_boots.pop(message.source, None)
    RECEIVE(member, message, now)


RECEIVE = Member.receive


def promotes_at_once(node: StoreNode, identity: str, now: float) -> bool:
    """Promotes non-voters that have not caught up."""
    return True


def keeps_proposals_after_term(node: StoreNode, output: Output, now: float) -> None:
    """A former leader keeps its uncommitted proposals instead of rejecting them."""
    proposals = dict(node.proposals)
    ON_STORED(node, output, now)
    if not node.is_leader:
        for index, proposal in proposals.items():
            if index > node.applied_index:
                node.proposals[index] = proposal


def keeps_match_over_restart(member: Member, message: Any, now: float) -> None:
    """A member's acknowledgements still count after its restart."""
    peer = member.peers.get(message.source)
    if peer is not None and peer.boot:
        peer.boot = message.boot
    ON_APPEND_REPLY(member, message, now)


ON_APPEND_REPLY = Member.on_append_reply

MUTATIONS: dict[str, Mutation] = {
    "votes-synced": Mutation(((Disk, "save", votes_not_synced),)),
    "entries-synced": Mutation(((Disk, "save", entries_not_synced),)),
    "base": Mutation(((ConfigState, "change_configuration", any_base),)),
    "history": Mutation(((ConfigState, "change_configuration", forget_history),)),
    "refusals": Mutation(((ConfigState, "change_configuration", forget_refusals),), "change_before_its_base"),
    "version": Mutation(((ConfigState, "change_configuration", any_version),), "version_not_increasing"),
    "after": Mutation(((ConfigState, "set_zone_evacuated", ignores_after),), "delayed_evacuation"),
    "turn": Mutation(((StoreNode, "on_read_index_request", read_without_round),)),
    "told-once-applied": Mutation(((StoreNode, "on_command_request", replies_before_commit),)),
    "at-work": Mutation(
        ((StoreNode, "on_command_request", proposes_duplicates),),
        "delayed_evacuation",
        "history, refusals and after: a second entry",
    ),
    "own-entry": Mutation(((StoreNode, "apply_entry", ignores_entry_term),), "superseded_leader", "let-go"),
    "let-go": Mutation(
        ((StoreNode, "on_stored", keeps_proposals_after_term),), "superseded_leader", "own-entry"
    ),
    "own-entry and let-go": Mutation(
        (
            (StoreNode, "apply_entry", ignores_entry_term),
            (StoreNode, "on_stored", keeps_proposals_after_term),
        ),
        "superseded_leader",
    ),
    "applied": Mutation(((StoreNode, "release_reads", replies_before_applied),)),
    "proof-number": Mutation(
        ((StoreNode, "on_read_index_reply", accepts_late_read_reply),), "late_read_reply"
    ),
    "later-callers": Mutation(((StoreNode, "request_read_index", joins_sent_batch),), "late_read_reply"),
    "stale": Mutation(((StoreNode, "on_command_reply", stale_is_final),), "zone_order_from_lagging_node"),
    "numbers": Mutation(((StoreNode, "__init__", reuses_request_ids),), "restart_with_reply_in_flight"),
    "guest": Mutation(((voters, "admit", newcomers_vote_at_once),)),
    "caught-up": Mutation(
        ((StoreNode, "caught_up", promotes_at_once),), "", "majority: of what it has stored"
    ),
    "identity": Mutation(((Cluster, "create_disk", same_identity),)),
    "majority": Mutation(((Member, "advance_commit_index", commit_below_majority),)),
    "own-term": Mutation(((Member, "advance_commit_index", commit_earlier_term),), "earlier_term_entries"),
    "restored": Mutation(((StoreNode, "restore", restore_without_state),)),
    "whole-log": Mutation(((Member, "on_vote_request", votes_for_stale_log),)),
    "one-vote": Mutation(((Member, "on_vote_request", votes_twice),)),
    "settled-reads": Mutation(
        ((Member, "confirm_reads", reads_before_term_commit),), "superseded_leader", "read-index"
    ),
    "read-index": Mutation(((Member, "request_read", reads_own_commit_index),)),
    "leader-commit": Mutation(((Member, "on_append", commits_beyond_sent_entries),)),
    "old-disk": Mutation(((Member, "__init__", votes_without_boot_check),), "old_disk_copy"),
    "boots": Mutation(((Member, "receive", accepts_earlier_boots),), "old_disk_copy"),
    "match-by-boot": Mutation(
        ((Member, "on_append_reply", keeps_match_over_restart),),
        "old_disk_copy",
        "boots: what is synced is never less",
    ),
}


@contextlib.contextmanager
def mutated(mutation: Mutation) -> Iterator[None]:
    """Applies a mutation, also to the message handlers."""
    with contextlib.ExitStack() as stack:
        for owner, name, replacement in mutation.replacements:
            handlers = {kind: replacement for kind, call in HANDLERS.items() if call is getattr(owner, name)}
            stack.enter_context(mock.patch.dict(HANDLERS, handlers))
            stack.enter_context(mock.patch.object(owner, name, replacement))
        yield


def first_detecting_seed(mutation: Mutation, seeds: range) -> tuple[int, str] | None:
    """The first seed that detects the mutation, and the violated invariant; None if none does."""
    with mutated(mutation):
        for seed in seeds:
            try:
                Schedule(seed, scenario=mutation.scenario).run()
            except AssertionError as e:
                return seed, str(e)
    return None


if __name__ == "__main__":
    for name, mutation in MUTATIONS.items():
        seed = first_detecting_seed(mutation, range(60))
        what = (
            f"seed={seed[0]} broken={seed[1]!r}" if seed else f"not found; covered by {mutation.covered_by}"
        )
        print(f"mutation={name!r} scenario={mutation.scenario!r} {what}", flush=True)
