"""Case 2: keys that were taken away work again once the last tenant is removed; see claim.txt."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from rig import FRONT, CannotRunError, Deployment, Record, ask, run_case

FOLDER = Path(__file__).resolve().parent
CONTACT_S, REVOKE_S = 4.0, 5.0
KEYS = {"ferry": "9anu6wsjnbanfqasnmgk", "mill": "cuyj8pjbvk9m68k7b2ex"}
NEVER_HELD = "zzzzzzzzzzzzzzzzzzzz"
ROUNDS = 3  # of requests after each change, to each gateway


def configuration() -> dict[str, object]:
    """One route that needs a key, and two tenants."""
    return {
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15,
        },
        "tenants": [{"name": name, "apiKeys": [key], "priority": 1} for name, key in KEYS.items()],
        "listenerList": [{"host": "jepu9.example", "ruleSet": [{
            "name": "r-read", "routeKind": "idempotent", "targetLatencyS": 0.8, "priority": 1,
            "keyless": False,
            "matchCriteria": {"pathPrefix": "/read/"},
            "actionSpec": {"service": "saldo", "timeoutS": 3, "maxAttempts": 2, "homeRegions": []},
        }]}],
        "clusterList": [{
            "name": "saldo", "healthPath": "/health", "connectionLimit": 130,
            "coldStartS": 0, "coldPerS": 0,
        }],
    }  # fmt: skip


class Clients:
    """Clients that go on with the keys that they have; who sent what is kept by the id of the request."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment, self.record, self.number = deployment, record, 0
        self.sent: dict[str, tuple[str, float]] = {}

    def round(self, names: list[str]) -> None:
        """One request under each of these keys at each gateway."""
        for name in names:
            statuses = []
            for edge in self.deployment.edges:
                self.number += 1
                attempt = f"{self.number:016x}"
                key = KEYS.get(name, NEVER_HELD)
                headers = {
                    "Host": "jepu9.example", "X-Attempt-Id": attempt, "X-Deadline-Remaining": "3000",
                    "Authorization": f"Token {key}",
                }  # fmt: skip
                self.sent[attempt] = name, time.monotonic()
                try:
                    status = str(ask((edge.ip, FRONT), "GET", "/read/1", headers, limit=3.0)[0])
                except OSError as error:
                    status = repr(error)
                statuses.append(status)
            self.record(f"client with the key of {name}: answers {statuses}")


def play(record: Record, trouble: bool, holder: list[Deployment]) -> bool:
    """Whether the rule was broken."""
    deployment = Deployment(record, edges=2)
    holder.append(deployment)
    record("starts 3 control machines, 2 gateways, 3 servers of the service saldo")
    deployment.start()
    servers = [
        deployment.start_server(n, "saldo", zone) for n, zone in enumerate(("waw-a", "krk-a", "gdn-a"))
    ]
    if deployment.configure(configuration()) != 200:
        raise CannotRunError("the first configuration was not taken")
    deployment.wait_ready()
    clients, removed_at = Clients(deployment, record), dict[str, float]()
    time.sleep(CONTACT_S)
    everyone = [*KEYS, "nobody"]
    clients.round(everyone)
    for tenant in list(KEYS)[: 2 if trouble else 1]:
        base, deployment.version = deployment.version, deployment.version + 1
        change = {
            "version": f"{deployment.version:08x}", "baseVersion": f"{base:08x}",
            "remove": {"tenants": [tenant]},
        }  # fmt: skip
        if deployment.order("configuration.modify", change) != 200:
            raise CannotRunError("a change was not taken")
        removed_at[tenant] = time.monotonic()
        record(f"operator: the tenant {tenant} and its key are taken away, acknowledged")
        time.sleep(REVOKE_S + 1.0)
        for _ in range(ROUNDS):
            clients.round(everyone)
            time.sleep(0.3)
    text = "".join(log.read_text() for _, _, log in servers)
    revoked = never = 0
    for attempt, (name, sent) in clients.sent.items():
        if f'"event": "run", "attempt": "{attempt}"' not in text:
            continue
        if name == "nobody":
            never += 1
        elif name in removed_at and sent > removed_at[name] + REVOKE_S:
            revoked += 1
    record(f"run more than revokeS after the acknowledgement that removed their key: {revoked} requests")
    record(f"run under a key that no configuration has held: {never} requests")
    if revoked:
        record("CONFIG: requests run under keys that were taken away")
    if never:
        record("ROUTE: requests run under a key that has never been held by any configuration")
    if not any(f'"attempt": "{attempt}"' in text for attempt in clients.sent):
        raise CannotRunError("no request was served")
    return bool(revoked or never)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
