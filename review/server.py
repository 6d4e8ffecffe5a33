"""A server stand-in: tells of itself by beats, runs requests, and writes down each event as a line of JSON.

It begins work on a request once it has read the head, and reads the body while it works, at a pace of its own
(--read-mb-per-s), as a service does that stores an upload as it comes in. A request meant for another
instance gets 421 and is not run. With --answer-early it begins its answer before it has read the whole body.
"""

from __future__ import annotations

import argparse
import json
import random
import socket
import threading
import time
from pathlib import Path

from rig import ask, parse_answer  # noqa: F401 - parse_answer is used by ask


class Server:
    """One life of a server."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.lock = threading.Lock()
        self.log = Path(options.log).open("a")  # noqa: SIM115 - open as long as the process runs
        self.control = [(h, int(p)) for h, _, p in (a.rpartition(":") for a in options.control.split(","))]
        self.sequence = 0

    def write(self, event: str, **fields: object) -> None:
        """Write down an event."""
        with self.lock:
            self.log.write(json.dumps({"t": time.monotonic(), "event": event, **fields}) + "\n")
            self.log.flush()

    def beat(self) -> None:
        """Tell of this server until the process ends."""
        while True:
            self.sequence += 1
            o = self.options
            body = json.dumps({
                "service": o.service, "address": o.address, "zone": o.zone, "version": "v1",
                "capacitySlots": 6, "state": "available", "coldRemainingS": 0, "callSequence": self.sequence,
            }).encode()  # fmt: skip
            acknowledged = False
            for address in random.sample(self.control, len(self.control)):
                try:
                    status, _, _ = ask(
                        address, "POST", f"/rpc?call=instances.heartbeat&of={o.ident}", {"Host": "c"}, body
                    )
                except OSError:
                    continue
                if status < 300:
                    acknowledged = True
                    break
            time.sleep(1.5 if acknowledged else 0.2)

    def serve(self) -> None:
        """Take connections until the process ends."""
        threading.Thread(target=self.beat, daemon=True).start()
        host, _, port = self.options.address.rpartition(":")
        listener = socket.create_server((host, int(port)), backlog=128)
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=self.connected, args=(sock,), daemon=True).start()

    def connected(self, sock: socket.socket) -> None:
        """Serve one connection."""
        try:
            with sock:
                data = b""
                while True:
                    data = self.one_request(sock, data)
        except OSError as error:
            self.write("connection-ended", why=repr(error))

    def one_request(self, sock: socket.socket, data: bytes) -> bytes:
        """Serve one request; what was read after it."""
        while b"\r\n\r\n" not in data:
            part = sock.recv(4096)
            if not part:
                raise ConnectionError("closed by the peer")
            data += part
        head, _, data = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
        method, path, _ = lines[0].split(" ", 2)
        length = int(headers.get("content-length", "0"))
        attempt = headers.get("x-attempt-id", "")
        status, body, run = 200, json.dumps({"server": self.options.ident}).encode(), True
        more = f"X-Server-Seal: {self.options.ident}.{attempt}\r\n"
        if path == "/health":
            run, more = False, f"X-Instance-Id: {self.options.ident}\r\n"
        elif headers.get("x-expected-instance", self.options.ident) != self.options.ident:
            run, status, body, more = False, 421, b"", ""
        answer = (
            f"HTTP/1.1 {status} OK\r\nX-Attempt-Id: {attempt}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        if run:
            self.write("run", attempt=attempt, method=method, path=path, length=length, got=len(data))
        early = self.options.answer_early and run
        if early:
            sock.sendall(answer[:-1])
            self.write("answer-begun", attempt=attempt)
        missing = length - len(data)
        while missing > 0:
            if run and self.options.read_mb_per_s:
                time.sleep(65536 / (self.options.read_mb_per_s * 1e6))
            part = sock.recv(min(65536, missing))
            if not part:
                raise ConnectionError("closed by the peer in a body")
            missing -= len(part)
        if run:
            time.sleep(self.options.work_s)
            self.write("done", attempt=attempt)
        sock.sendall(answer[-1:] if early else answer)
        return data[length:]


def main() -> None:
    """Run with the options of the command line."""
    parser = argparse.ArgumentParser()
    for name in ("ident", "service", "zone", "address", "log", "control"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--read-mb-per-s", type=float, default=0.0)
    parser.add_argument("--work-s", type=float, default=0.1)
    parser.add_argument("--answer-early", action="store_true")
    Server(parser.parse_args()).serve()


if __name__ == "__main__":
    main()
