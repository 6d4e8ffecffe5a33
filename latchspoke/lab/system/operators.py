"""The simulated operator: configuration changes, evacuations, rollouts, retries and the read-back."""

from __future__ import annotations

import asyncio
import copy
import json
import random
from collections.abc import Callable
from typing import Any, cast

from latchspoke.lab.system.callers import affinity_settings
from latchspoke.lab.system.day_record import Command, DayRecord, Doc
from latchspoke.lab.system.http_endpoints import call
from latchspoke.lab.system.network import Network, new_process_loop
from latchspoke.lab.system.scenario import Deployment, RequestKind
from latchspoke.lab.virtual import Address
from latchspoke.rollouts import plan as rollouts
from latchspoke.rollouts.engine import ApplyPatch as RolloutCommand
from latchspoke.rollouts.engine import CollectEvidence, CommandResult, ReadConfiguration, Rollout, Wait
from latchspoke.rollouts.evidence import aggregate

FINAL_STATUSES = frozenset((400, 409, 412, 413, 422))
ANSWER_TIMEOUT_S = 1.0
RETRY_PAUSE_S = (0.05, 0.8)  # first, longest


class ConfigurationPlan:
    """Generates the names and keys of a deployment, its first configuration and changes to it."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.rng = rng = random.Random(f"plan:{deployment.name}:{seed}")
        self.hosts = [f"h{n}.example" for n in range(2)]
        self.host_of = {kind.name: self.hosts[n % 2] for n, kind in enumerate(deployment.kinds)}
        count = deployment.tenants.count
        weights = [1.0 / (n + 1) for n in range(count)]
        self.shares = {f"t{n}": w / sum(weights) for n, w in enumerate(weights)}
        self.keys = {name: [f"k{rng.getrandbits(60):015x}" for _ in "12"] for name in self.shares}
        self.key_owners = {key: name for name, keys in self.keys.items() for key in keys}
        self.moved: dict[str, str] = {}  # kind -> service
        self.revoked_keys: dict[str, str] = {}  # tenant -> key that was just revoked
        self.number = 1
        self.extra = 0
        regions = sorted(set(deployment.zones.values()))
        self.homes = {
            name: [rng.choice(regions)] if rng.random() < deployment.tenants.homed else []
            for name in self.shares
        }

    def share(self, tenant: str) -> float:
        return self.shares.get(tenant, 0.0)

    def tenant(self, rng: random.Random, rush: dict[str, float], kind: RequestKind) -> str:
        names = list(self.shares)
        return rng.choices(names, [self.shares[n] * rush.get(n, 1.0) for n in names])[0]

    def address(self, rng: random.Random, kind: RequestKind, tenant: str) -> tuple[str, str, str]:
        """Returns host, path and API key of a new request."""
        path = f"/{kind.name}/{rng.getrandbits(20):x}"
        revoked_keys = self.revoked_keys.get(tenant)
        key = (
            revoked_keys if revoked_keys is not None and rng.random() < 0.1 else rng.choice(self.keys[tenant])
        )
        return self.host_of[kind.name], path, key

    def next_version(self) -> int:
        self.number += self.rng.randint(1, 3)
        return self.number

    def initial(self) -> Doc:
        deployment = self.deployment
        listeners: list[Doc] = [{"host": host, "ruleSet": []} for host in self.hosts]
        for kind in deployment.kinds:
            listener = next(item for item in listeners if item["host"] == self.host_of[kind.name])
            listener["ruleSet"].append(self.rule(kind))
        requests_per_s = deployment.per_s * 1.25
        tenants = [
            {
                "name": name, "apiKeys": list(self.keys[name]), "priority": n % 3,
                "ratePerS": round(max(requests_per_s * share * deployment.tenants.quota_x, 3.0), 1),
                "burstSize": round(max(requests_per_s * share * deployment.tenants.quota_x, 5.0), 1),
                "homeRegions": self.homes[name],
            }
            for n, (name, share) in enumerate(self.shares.items())
        ]  # fmt: skip
        clusters = [
            {
                "name": s.name, "healthPath": "/health", "connectionLimit": s.connections, "protocol": "h1",
                "tls": False, "coldStartS": s.cold_s, "coldPerS": s.cold_per_s,
            }
            for s in deployment.services
        ]  # fmt: skip
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}
        return {
            "version": f"{self.number:08x}", "limits": limits, "tenants": tenants, "baseVersion": "00000000",
            "listenerList": listeners, "clusterList": clusters,
        }  # fmt: skip

    def rule(self, kind: RequestKind) -> Doc:
        rule = rule_for(kind)
        kept = affinity_settings(self.deployment.callers) if self.deployment.callers is not None else None
        if kept is not None:
            rule["actionSpec"]["affinity"] = kept
        return rule

    def successor_of(self, doc: Doc) -> Doc:
        """A copy with the next version, based on this one."""
        new = copy.deepcopy(doc)
        new["baseVersion"], new["version"] = doc["version"], f"{self.next_version():08x}"
        return new

    def changed(self, doc: Doc, how: str) -> Doc:
        new, rng = self.successor_of(doc), self.rng
        rules = [rule for item in new["listenerList"] for rule in item["ruleSet"]]
        movable = [r for r in rules if any(k.name == r["name"] and k.also for k in self.deployment.kinds)]
        match how:
            case "weights" | "move" if movable:
                rule = rng.choice(movable)
                kind = next(k for k in self.deployment.kinds if k.name == rule["name"])
                action = rule["actionSpec"]
                action.pop("service", None)
                part = rng.choice((10, 30, 50))
                action["weightedSplit"] = [
                    {"service": kind.service, "weight": 100 - part}, {"service": kind.also, "weight": part},
                ]  # fmt: skip
                if how == "move":
                    action.pop("weightedSplit")
                    current_service = self.moved.get(kind.name, kind.service)
                    action["service"] = self.moved[kind.name] = (
                        kind.also if current_service == kind.service else kind.service
                    )
            case "timeout":
                action = rng.choice(rules)["actionSpec"]
                action["timeoutS"] = round(action["timeoutS"] * rng.uniform(0.8, 1.3), 2)
            case "quota":
                tenant = rng.choice(new["tenants"])
                tenant["ratePerS"] = round(tenant["ratePerS"] * rng.uniform(0.6, 1.5), 1)
            case _:
                idle = [r for r in rules if r["name"].startswith("extra")]
                if idle and rng.random() < 0.4:
                    removed = rng.choice(idle)["name"]
                    for item in new["listenerList"]:
                        item["ruleSet"] = [r for r in item["ruleSet"] if r["name"] != removed]
                else:
                    self.add(new, 1)
        return new

    def add(self, doc: Doc, count: int) -> None:
        for _ in range(count):
            self.extra += 1
            kind = self.rng.choice(self.deployment.kinds)
            rule = rule_for(kind) | {"name": f"extra{self.extra}", "routeKind": "idempotent"}
            rule["matchCriteria"] = {"pathPrefix": f"/extra{self.extra}/"}
            self.rng.choice(doc["listenerList"])["ruleSet"].append(rule)

    def with_new_key(self, doc: Doc) -> Doc:
        """Replaces the oldest key of a tenant by a new one."""
        new = self.successor_of(doc)
        tenant = self.rng.choice(new["tenants"])
        new_key = f"k{self.rng.getrandbits(60):015x}"
        self.key_owners[new_key] = tenant["name"]
        name, revoked = tenant["name"], tenant["apiKeys"][0]
        tenant["apiKeys"] = [*tenant["apiKeys"][1:], new_key]
        # Clients use the new key once the change is acknowledged; a few still send the revoked one.
        self.keys[name] = tenant["apiKeys"][:-1]
        self.revoked_keys[name] = revoked
        return new

    def acknowledged(self, doc: Doc) -> None:
        """Use the keys of a configuration that was acknowledged."""
        for tenant in doc["tenants"]:
            if self.revoked_keys.get(tenant["name"]) not in tenant["apiKeys"]:
                self.keys[tenant["name"]] = list(tenant["apiKeys"])

    def invalid_version(self, doc: Doc) -> Doc:
        new, rng = self.successor_of(doc), self.rng
        rule = rng.choice([r for item in new["listenerList"] for r in item["ruleSet"]])
        match rng.randrange(6):
            case 0:
                rule["actionSpec"]["maxAttempts"] = 0
            case 1:
                rule["matchCriteria"]["pathPrefix"] = "bare/"
            case 2:
                rule["actionSpec"].pop("weightedSplit", None)
                rule["actionSpec"]["service"] = "nobody-knows"
            case 3:
                rule["actionSpec"]["timeoutS"] = 601
            case 4:
                new["tenants"][0]["apiKeys"] = [
                    *new["tenants"][0]["apiKeys"],
                    new["tenants"][-1]["apiKeys"][0],
                ]
            case _:
                new["version"] = doc["version"]
        return new


def rule_for(kind: RequestKind) -> Doc:
    action = {
        "service": kind.service, "timeoutS": round(kind.deadline_ms / 1000 * 1.2, 3),
        "maxAttempts": kind.attempts, "homeRegions": list(kind.homes),
    }  # fmt: skip
    return {
        "name": kind.name, "routeKind": "idempotent" if kind.repeatable else "non_idempotent",
        "targetLatencyS": kind.aim_ms / 1000, "priority": 1, "keyless": False,
        "matchCriteria": {"pathPrefix": f"/{kind.name}/"}, "actionSpec": action,
    }  # fmt: skip


def patch_for(old: Doc, new: Doc) -> Doc:
    """The change as a patch for ``configuration.modify``."""
    upsert: dict[str, Any] = {}
    old_rules = {r["name"]: r for item in old["listenerList"] for r in item["ruleSet"]}
    listeners = []
    for item in new["listenerList"]:
        rules = [r for r in item["ruleSet"] if old_rules.get(r["name"]) != r]
        if rules:
            listeners.append({"host": item["host"], "ruleSet": rules})
    if listeners:
        upsert["listenerList"] = listeners
    tenants = [t for t in new["tenants"] if t not in old["tenants"]]
    if tenants:
        upsert["tenants"] = tenants
    removed = sorted(set(old_rules) - {r["name"] for item in new["listenerList"] for r in item["ruleSet"]})
    remove = {"routes": removed} if removed else {}
    return {"version": new["version"], "baseVersion": new["baseVersion"], "upsert": upsert, "remove": remove}


class Operator:
    """Sends commands and records their outcomes."""

    def __init__(
        self, deployment: Deployment, network: Network, record: DayRecord, plan: ConfigurationPlan, seed: int,
        control: Callable[[], list[Address]],
    ) -> None:  # fmt: skip
        self.deployment, self.network, self.record, self.plan = deployment, network, record, plan
        self.control, self.scheduler = control, network.scheduler
        self.rng = random.Random(f"operator:{seed}")
        zone = next(iter(deployment.zones))
        network.host("client:operator", zone, deployment.zones[zone])
        self.loop = new_process_loop(network, network.hosts["client:operator"], "operator")
        self.doc: Doc = plan.initial()  # the newest acknowledged
        self.documents: dict[int, Doc] = {int(self.doc["version"], 16): self.doc}
        self.lock = asyncio.Lock()
        self.on_ack: list[Callable[[Command], None]] = []
        self.until = 1e9
        self.lost_share, self.lost_until = 0.0, 0.0

    def spawn(self, coroutine: Any) -> None:
        self.loop.create_task(coroutine)

    def lose_answers(self, share: float, until: float) -> None:
        """Lose this share of the answers to commands until that time."""
        self.lost_share, self.lost_until = share, until

    def answer_is_lost(self) -> bool:
        """Whether the present answer is lost."""
        return self.scheduler.now < self.lost_until and self.rng.random() < self.lost_share

    async def send(self, command: Command, target: str, body: bytes | None, until: float) -> int:
        """Retry until there is a conclusive answer; returns its status, or 0."""
        self.record.commands.append(command)
        pause, client_errors = RETRY_PAUSE_S[0], 0
        timeout_s = ANSWER_TIMEOUT_S + (len(body) / 100_000 if body else 0.0)
        while self.scheduler.now < until:
            addresses = self.control()
            address = self.rng.choice(addresses)
            status, _, _ = await call(self.loop, address, "POST", target, body, timeout_s)
            if status and self.answer_is_lost():
                if status == 200:
                    command.lost_ack_at = min(command.lost_ack_at, self.scheduler.now)
                status = 0
            if 200 <= status < 300:
                command.acked_at, command.answered_by, command.status = self.scheduler.now, address[0], status
                for callback in self.on_ack:
                    callback(command)
                return status
            client_errors += 400 <= status < 500 and status not in (408, 429)
            if status in FINAL_STATUSES or client_errors >= 3:
                command.refused_at, command.answered_by, command.status = (
                    self.scheduler.now,
                    address[0],
                    status,
                )
                return status
            await asyncio.sleep(pause * self.rng.uniform(0.8, 1.2))
            pause = min(pause * 1.7, RETRY_PAUSE_S[1])
        command.abandoned_at = self.scheduler.now
        return 0

    async def submit_initial(self) -> None:
        """Submit the first configuration."""
        async with self.lock:
            await self.submit(self.doc, None)

    async def submit(self, doc: Doc, old: Doc | None, valid: bool = True) -> int:
        version, base = int(doc["version"], 16), int(doc["baseVersion"], 16)
        self.documents[version] = doc
        if old is not None and valid and self.rng.random() < 0.5:
            what, body = "modify", patch_for(old, doc)
        else:
            what, body = "replace", doc
        command = Command(what, version, base, doc, "", self.scheduler.now, valid)
        target = f"/rpc?call=configuration.{what}"
        status = await self.send(command, target, json.dumps(body).encode(), self.until)
        if status == 200 and valid and int(self.doc["version"], 16) < version:
            self.doc = doc
            self.plan.acknowledged(doc)
        return status

    async def change(self, make: Callable[[Doc], Doc], valid: bool = True) -> None:
        """Submit a change of the newest configuration; on a conflict read it back and retry."""
        async with self.lock:
            for _ in range(3):
                old = self.doc
                status = await self.submit(make(old), old, valid)
                if status != 412 or not valid:
                    return
                found = await self.read(3.0)
                if found is not None and found["version"] != old["version"]:
                    self.doc = self.documents.get(int(found["version"], 16), found)

    async def rollout(self, plan: rollouts.Plan, readiness_addresses: Callable[[], list[Address]]) -> None:
        """Run a rollout with the real state machine and record its events."""
        rollout = Rollout(plan, self.scheduler.now)
        while rollout.result is None:
            match rollout.next_action(self.scheduler.now):
                case Wait(until):
                    await asyncio.sleep(max(until - self.scheduler.now, 0.01))
                case ReadConfiguration():
                    found = await self.read(2.0)
                    if found is None:
                        rollout.on_read_failed("no control-plane node answers", self.scheduler.now)
                    else:
                        rollout.on_configuration(cast(Any, found), self.scheduler.now)
                case RolloutCommand(_, patch):
                    answer = await self.submit_rule(patch)
                    rollout.on_command_result(answer, self.scheduler.now)
                case CollectEvidence(since):
                    views = await asyncio.gather(
                        *(self.reach(address, since) for address in readiness_addresses())
                    )
                    target_latency_s = (
                        next(k.aim_ms for k in self.deployment.kinds if k.name == plan.route) / 1000
                    )
                    views_by_gateway = {str(n): view for n, view in enumerate(views)}
                    found = await self.read(2.0)
                    rollout.on_evidence(
                        aggregate(views_by_gateway, plan.route, target_latency_s),
                        cast(Any, found),
                        self.scheduler.now,
                    )
            for event in rollout.take_events():
                self.record.log_events.append((event.at, "operator", f"rollout-{event.code}", event.fields))

    async def submit_rule(self, patch: Doc) -> CommandResult:
        """Submit a change of one rule, based on the version that the patch names."""
        async with self.lock:
            version, base = int(patch["version"], 16), int(patch["baseVersion"], 16)
            if base not in self.documents or version in self.documents:
                return CommandResult.CONFLICT
            document = copy.deepcopy(self.documents[base])
            (new,) = patch["upsert"]["listenerList"][0]["ruleSet"]
            for listener in document["listenerList"]:
                rules = listener["ruleSet"]
                listener["ruleSet"] = [new if rule["name"] == new["name"] else rule for rule in rules]
            document |= {"version": patch["version"], "baseVersion": patch["baseVersion"]}
            self.documents[version], self.plan.number = document, max(self.plan.number, version)
            command = Command("modify", version, base, document, "", self.scheduler.now)
            until = min(self.scheduler.now + self.deployment.bound("ackS"), self.until)
            target = "/rpc?call=configuration.modify"
            status = await self.send(command, target, json.dumps(patch).encode(), until)
            if status == 200:
                self.doc = document
                return CommandResult.ACCEPTED
            return {412: CommandResult.CONFLICT, 0: CommandResult.UNKNOWN}.get(status, CommandResult.REJECTED)

    async def reach(self, address: Address, since: float) -> Doc | None:
        status, _, body = await call(
            self.loop, address, "GET", f"/reach?since={since:g}", None, ANSWER_TIMEOUT_S
        )
        return json.loads(body) if status == 200 else None

    async def race(self) -> None:
        async with self.lock:
            old = self.doc
            first, second = self.plan.changed(old, "timeout"), self.plan.changed(old, "idle")
            await asyncio.gather(self.submit(first, old), self.submit(second, old))

    async def evacuate(self, zone: str, duration_s: float) -> None:
        async with self.lock:
            command = Command("begin", 0, 0, None, zone, self.scheduler.now)
            until = self.scheduler.now + self.deployment.bound("ackS")
            await self.send(command, f"/rpc?call=evacuation.begin&of={zone}", None, until)
        await asyncio.sleep(duration_s)
        async with self.lock:
            command = Command("finish", 0, 0, None, zone, self.scheduler.now)
            until = self.scheduler.now + self.deployment.bound("ackS")
            await self.send(command, f"/rpc?call=evacuation.finish&of={zone}", None, until)

    async def read(self, timeout_s: float) -> Doc | None:
        until = self.scheduler.now + timeout_s
        while self.scheduler.now < until:
            address = self.rng.choice(self.control())
            status, _, body = await call(
                self.loop, address, "POST", "/rpc?call=configuration.read", None, ANSWER_TIMEOUT_S
            )
            if status == 200:
                found: Doc = json.loads(body)
                return found
            await asyncio.sleep(0.2)
        return None

    async def read_back(self) -> None:
        await asyncio.sleep(ANSWER_TIMEOUT_S + 0.5)
        self.record.read_back_started_at = self.scheduler.now
        self.record.read_back = await self.read(self.deployment.bound("contactS") + 2.0)
