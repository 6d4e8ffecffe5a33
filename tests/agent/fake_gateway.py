"""A fake gateway process with the interface that an agent uses, and no data plane.

It answers ``/-/ready`` at GW_LISTEN and ``/v1/view`` at ``--admin``; FAKE_GATEWAY_MODE sets its behaviour:

    normal         drains in 0.05 s on SIGTERM
    ignore-sigterm ignores SIGTERM
    slow:S         drains for S seconds
    unresponsive:S stops answering on SIGTERM, and ends after S seconds
    exit:N         ends with code N at once
    crash:S        ends with code 7 S seconds after its first answer to /-/ready
    plan:TEXT      as normal; the view has the plan rate TEXT, and that on disk from the file GW_CONFIG
"""

from __future__ import annotations

import contextlib
import json
import os
import selectors
import signal
import socket
import sys
import time
from pathlib import Path

mode, _, number = os.environ.get("FAKE_GATEWAY_MODE", "normal").partition(":")
if mode == "exit":
    sys.exit(int(number))

exit_at, unresponsive, draining = float("inf"), False, False


def handle_sigterm(*_: object) -> None:
    global exit_at, unresponsive, draining
    if mode == "ignore-sigterm":
        return
    draining, unresponsive = True, mode == "unresponsive"
    exit_at = time.monotonic() + (float(number) if mode in ("slow", "unresponsive") else 0.05)


def view() -> dict[str, object]:
    plan_rate = number if mode == "plan" else "1"
    try:
        on_disk = Path(os.environ["GW_CONFIG"]).read_text().strip() or plan_rate
    except OSError:
        on_disk = plan_rate
    if mode != "plan":
        on_disk = plan_rate
    return {
        "version": "puppet-1",
        "settings": {"digest": f"digest-{plan_rate}", "plans": {"duza": {"rate": plan_rate}}},
        "file": {"digest": f"digest-{on_disk}", "taken_up": on_disk == plan_rate},
    }


signal.signal(signal.SIGTERM, handle_sigterm)
signal.signal(signal.SIGHUP, lambda *_: print("hup", flush=True))
host, _, port = os.environ["GW_LISTEN"].rpartition(":")
path = sys.argv[sys.argv.index("--admin") + 1]
Path(path).unlink(missing_ok=True)
ready_socket = socket.create_server((host, int(port)))
admin = socket.socket(socket.AF_UNIX)
admin.bind(path)
admin.listen()
selector = selectors.DefaultSelector()
for listener in (ready_socket, admin):
    selector.register(listener, selectors.EVENT_READ)

while time.monotonic() < exit_at:
    for key, _mask in selector.select(0.02):
        if unresponsive:
            continue
        # The agent may have closed the connection after a timeout.
        with contextlib.suppress(OSError), key.fileobj.accept()[0] as peer:  # type: ignore[union-attr]
            peer.settimeout(0.5)
            peer.recv(4096)
            if key.fileobj is ready_socket:
                # Counted from the first answer, so that the agent has seen it ready.
                if mode == "crash":
                    exit_at = min(exit_at, time.monotonic() + float(number))
                status, body = (503, b"") if draining else (200, b"")
            else:
                status, body = 200, json.dumps(view()).encode()
            peer.sendall(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))
sys.exit(7 if mode == "crash" else 0)
