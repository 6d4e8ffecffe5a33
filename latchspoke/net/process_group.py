"""Coordinates the processes of one gateway: while one replaces another, both serve at the same address.

They share files in $TMPDIR: a lock file, in which each running process holds a byte-range lock, and the
maintenance record, which outlives the processes. They do not communicate directly, so that each keeps working
if the other one dies at any moment.
"""

from __future__ import annotations

import contextlib
import ctypes
import fcntl
import json
import logging
import math
import os
import socket
import struct
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from barleyhub.state import LearnedState
from latchspoke.config import Address

log = logging.getLogger(__name__)

MAX_PROCESSES = 8  # each locks a byte of the lock file; the byte after these guards the maintenance record
LEARNED_MAX_AGE_S = 5.0
MAX_KNOWN_SERVERS = 8192
SO_ATTACH_REUSEPORT_CBPF = 51


@dataclass(slots=True)
class MaintenanceRecord:
    """Servers in maintenance, by operators' request.

    ``in_maintenance``: server -> Unix time (s) of its entry; ``returned``: server -> times of entry and exit;
    ``known_servers``: all servers that discovery ever listed, the oldest first.
    """

    in_maintenance: dict[str, float] = field(default_factory=dict)
    returned: dict[str, tuple[float, float]] = field(default_factory=dict)
    known_servers: dict[str, None] = field(default_factory=dict)

    def to_json(self) -> str:
        """Return the content of the file that the processes share."""
        return json.dumps(
            {"out": self.in_maintenance, "back": self.returned, "seen": list(self.known_servers)}
        )

    @classmethod
    def from_json(cls, text: str) -> MaintenanceRecord:
        """Parse the file. Raises ValueError, KeyError, TypeError or AttributeError if it is invalid."""
        document: dict[str, Any] = json.loads(text)
        returned = {str(name): (float(since), float(at)) for name, (since, at) in document["back"].items()}
        return cls(
            {str(k): float(v) for k, v in document["out"].items()}, returned, dict.fromkeys(document["seen"])
        )

    def enter(self, name: str, now: float) -> bool:
        """Put a server into maintenance; idempotent. Returns False if the server is unknown."""
        if name not in self.known_servers and name not in self.in_maintenance:
            return False
        self.in_maintenance.setdefault(name, now)
        self.returned.pop(name, None)
        return True

    def exit(self, name: str, now: float) -> bool:
        """Put a server back into service; idempotent. Returns False if the server is unknown."""
        if name not in self.known_servers and name not in self.in_maintenance:
            return False
        if name in self.in_maintenance:
            self.returned[name] = (self.in_maintenance.pop(name), now)
        return True


class ProcessGroup:
    """The processes of one gateway, as seen by this one.

    Raises OSError if too many are running, or the lock file can't be opened.
    """

    def __init__(self, folder: Path, name: str, listen: Address) -> None:
        stem = f"latchspoke-{name}-{listen[0]}-{listen[1]}".replace("/", "_")
        self.path = folder / f"{stem}.json"
        self.lock_file = os.open(folder / f"{stem}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.maintenance = MaintenanceRecord()
        self.file_version: tuple[int, int] | None = None
        self.is_successor = False  # whether this process replaces an older one
        self.slot = next((n for n in range(MAX_PROCESSES) if self.try_lock(n)), None)
        if self.slot is None:
            raise OSError(f"{MAX_PROCESSES} processes of this gateway are running already")

    def try_lock(self, slot: int) -> bool:
        """Lock this byte of the lock file; the kernel releases the lock when the process ends."""
        try:
            fcntl.lockf(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, slot)
        except OSError:
            return False
        return True

    def count_others(self) -> int:
        """Return the number of other running processes of this gateway."""
        count = 0
        for slot in range(MAX_PROCESSES):
            if slot != self.slot:
                if self.try_lock(slot):
                    fcntl.lockf(self.lock_file, fcntl.LOCK_UN, 1, slot)
                else:
                    count += 1
        return count

    def reload_if_changed(self) -> bool:
        """Reload the maintenance record if another process has written it; False if nothing changed."""
        try:
            stat = os.stat(self.path)
            file_version = (stat.st_mtime_ns, stat.st_ino)
            if file_version == self.file_version:
                return False
            self.maintenance, self.file_version = (
                MaintenanceRecord.from_json(self.path.read_text()),
                file_version,
            )
        except FileNotFoundError:
            return False
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as e:
            log.error("maintenance record %s can't be read: %r", self.path, e)
            return False
        return True

    @contextlib.contextmanager
    def update(self) -> Iterator[MaintenanceRecord]:
        """Lock the maintenance record, yield a copy to change, and replace the file atomically.

        Raises OSError if the file can't be written; the record is unchanged then.
        """
        fcntl.lockf(self.lock_file, fcntl.LOCK_EX, 1, MAX_PROCESSES)
        try:
            self.reload_if_changed()
            before = self.maintenance
            updated_record = MaintenanceRecord(
                dict(before.in_maintenance), dict(before.returned), dict(before.known_servers)
            )
            yield updated_record
            while len(updated_record.known_servers) > MAX_KNOWN_SERVERS:
                del updated_record.known_servers[next(iter(updated_record.known_servers))]
            if updated_record != before:
                temporary = self.path.with_suffix(f".{os.getpid()}")
                temporary.write_text(updated_record.to_json())
                os.replace(temporary, self.path)
                stat = os.stat(self.path)
                self.maintenance, self.file_version = updated_record, (stat.st_mtime_ns, stat.st_ino)
        finally:
            fcntl.lockf(self.lock_file, fcntl.LOCK_UN, 1, MAX_PROCESSES)

    def publish_learned(self, learned: LearnedState) -> None:
        """Write the learned state for the process that is about to replace this one."""
        temporary = self.path.with_suffix(f".{os.getpid()}")
        try:
            temporary.write_text(json.dumps(learned))
            os.replace(temporary, self.path.with_suffix(".learnt"))
        except OSError as e:
            log.error("learned state can't be written: %s", e)

    def load_learned(self) -> LearnedState | None:
        """Return the learned state that another process has written; None if missing, outdated or invalid."""
        path = self.path.with_suffix(".learnt")
        try:
            if time.time() - path.stat().st_mtime > LEARNED_MAX_AGE_S:
                return None
            return parse_learned(json.loads(path.read_text()))
        except (OSError, ValueError, KeyError, TypeError, AttributeError):
            return None

    def close(self) -> None:
        """Release the lock of this process."""
        os.close(self.lock_file)


def parse_number(value: Any, minimum: float = 0.0, maximum: float = math.inf) -> float:
    """Raises ValueError or TypeError if this is not a finite number in the range."""
    if not minimum <= (n := float(value)) <= maximum or n == math.inf:
        raise ValueError(f"{n} is out of range")
    return n


def parse_learned(document: Any) -> LearnedState:
    """Raises ValueError, KeyError, TypeError or AttributeError if the document is invalid."""
    smallest = 1e-9  # of divisors

    def health(slowdown: Any, error_rate: Any) -> list[float]:
        return [parse_number(slowdown, smallest), parse_number(error_rate, 0.0, 1.0)]

    return {
        "limit": parse_number(document["limit"], smallest),
        "latency": parse_number(document["latency"], smallest),
        "slow": parse_number(document["slow"], 0.0, 1.0),
        "busy": parse_number(document["busy"]),
        "ratios": {str(name): parse_number(value, smallest) for name, value in document["ratios"].items()},
        "servers": {
            str(name): [parse_number(launched), *health(slowdown, error_rate)]
            for name, (launched, slowdown, error_rate) in document["servers"].items()
        },
        "pools": [
            (
                str(label),
                [
                    *health(slowdown, error_rate),
                    parse_number(units),
                    parse_number(sizes, smallest),
                    parse_number(server_time, smallest),
                ],
            )
            for label, (slowdown, error_rate, units, sizes, server_time) in document["pools"]
        ],
    }


def bind_shared_socket(address: Address) -> socket.socket:
    """Return a bound socket whose address other processes of this gateway may bind, too."""
    family, kind, proto, _, socket_address = socket.getaddrinfo(*address, type=socket.SOCK_STREAM)[0]
    sock = socket.socket(family, kind | socket.SOCK_CLOEXEC | socket.SOCK_NONBLOCK, proto)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(socket_address)
    except OSError:
        sock.close()
        raise
    return sock


def route_new_connections(sock: socket.socket, older_processes: int) -> None:
    """Send all new connections to this listening socket, of those that share its address.

    By default the kernel distributes them by hash, and connections that wait to be accepted by an older
    process are reset when it stops listening. The attached BPF program is a single instruction that returns
    the index of this socket among them. Once the older sockets are closed that index is out of range, and the
    kernel falls back to the hash.
    """
    code = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, older_processes))
    program = struct.pack("HP", 1, ctypes.addressof(code))
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError as e:
        log.warning("BPF program not attached, the kernel distributes connections by hash: %s", e)
