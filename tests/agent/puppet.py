"""A scripted stand-in for a gateway's process: what an agent sees of one, and nothing of its work.

It answers ``/-/ready`` at GW_LISTEN and ``/v1/view`` at ``--admin``, and behaves as PUPPET says:

    good           drains in 0.05 s on SIGTERM
    deaf           ignores SIGTERM
    slow:S         drains for S seconds
    mute:S         stops answering on SIGTERM, and ends after S seconds
    exit:N         ends with code N at once
    die:S          ends with code 7 S seconds after it first said that it is ready
    plan:TEXT      good, and its view has the plan figure TEXT; its file on disk GW_CONFIG's first line
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

mode, _, number = os.environ.get("PUPPET", "good").partition(":")
if mode == "exit":
    sys.exit(int(number))

ends_at, mute, draining = float("inf"), False, False


def term(*_: object) -> None:
    global ends_at, mute, draining
    if mode == "deaf":
        return
    draining, mute = True, mode == "mute"
    ends_at = time.monotonic() + (float(number) if mode in ("slow", "mute") else 0.05)


def view() -> dict[str, object]:
    held = number if mode == "plan" else "1"
    try:
        on_disk = Path(os.environ["GW_CONFIG"]).read_text().strip() or held
    except OSError:
        on_disk = held
    if mode != "plan":
        on_disk = held
    return {
        "version": "puppet-1",
        "settings": {"digest": f"digest-{held}", "plans": {"duza": {"rate": held}}},
        "file": {"digest": f"digest-{on_disk}", "taken_up": on_disk == held},
    }


signal.signal(signal.SIGTERM, term)
signal.signal(signal.SIGHUP, lambda *_: print("hup", flush=True))
host, _, port = os.environ["GW_LISTEN"].rpartition(":")
path = sys.argv[sys.argv.index("--admin") + 1]
Path(path).unlink(missing_ok=True)
web = socket.create_server((host, int(port)))
admin = socket.socket(socket.AF_UNIX)
admin.bind(path)
admin.listen()
looks = selectors.DefaultSelector()
for listener in (web, admin):
    looks.register(listener, selectors.EVENT_READ)

while time.monotonic() < ends_at:
    for key, _mask in looks.select(0.02):
        if mute:
            continue
        # On a busy machine a question may come late, or its limit end before the answer: neither ends this.
        with contextlib.suppress(OSError), key.fileobj.accept()[0] as peer:  # type: ignore[union-attr]
            peer.settimeout(0.5)
            peer.recv(4096)
            if key.fileobj is web:
                # From its first answer, as a busy machine may ask late; before, it never was ready.
                if mode == "die":
                    ends_at = min(ends_at, time.monotonic() + float(number))
                status, body = (503, b"") if draining else (200, b"")
            else:
                status, body = 200, json.dumps(view()).encode()
            peer.sendall(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))
sys.exit(7 if mode == "die" else 0)
