"""The processes of one gateway. While one replaces another, both serve at the clients' address.

They meet in $TMPDIR, which both have: a file with a lock for each process tells whether others live, and
a file of notes keeps what operators have said, which outlives each process. Nothing passes between them
directly, so that either may die at any moment and the other goes on.
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

SLOTS = 8  # processes of one gateway that can live at once; the byte behind them guards the notes
LEARNT_AGE = 5.0  # s; what another process has learnt is worth nothing later
SEEN_MOST = 8192  # servers' names remembered
SO_ATTACH_REUSEPORT_CBPF = 51


@dataclass(slots=True)
class Notes:
    """Servers taken out by hand, and since when; those put back (taken out, put back); names ever listed."""

    out: dict[str, float] = field(default_factory=dict)
    back: dict[str, tuple[float, float]] = field(default_factory=dict)
    seen: dict[str, None] = field(default_factory=dict)

    def text(self) -> str:
        return json.dumps({"out": self.out, "back": self.back, "seen": list(self.seen)})

    @classmethod
    def read(cls, text: str) -> Notes:
        o: dict[str, Any] = json.loads(text)
        back = {str(name): (float(since), float(at)) for name, (since, at) in o["back"].items()}
        return cls({str(k): float(v) for k, v in o["out"].items()}, back, dict.fromkeys(o["seen"]))

    def enter(self, name: str, now: float) -> bool:
        """Whether there is such a server. Said again it changes nothing."""
        if name not in self.seen and name not in self.out:
            return False
        self.out.setdefault(name, now)
        self.back.pop(name, None)
        return True

    def exit(self, name: str, now: float) -> bool:
        if name not in self.seen and name not in self.out:
            return False
        if name in self.out:
            self.back[name] = (self.out.pop(name), now)
        return True


class Kin:
    """This process among those of its gateway."""

    def __init__(self, folder: Path, name: str, listen: Address) -> None:
        stem = f"latchspoke-{name}-{listen[0]}-{listen[1]}".replace("/", "_")
        self.path = folder / f"{stem}.json"
        self.locks = os.open(folder / f"{stem}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.notes = Notes()
        self.mark: tuple[int, int] | None = None
        self.junior = False  # whether this process is the one that takes over
        self.slot = next((n for n in range(SLOTS) if self.lock(n)), None)
        if self.slot is None:
            raise OSError(f"{SLOTS} processes of this gateway live already")

    def lock(self, place: int) -> bool:
        """The kernel lets go of it when this process ends, however it ends."""
        try:
            fcntl.lockf(self.locks, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, place)
        except OSError:
            return False
        return True

    def others(self) -> int:
        """How many more processes of this gateway live."""
        count = 0
        for place in range(SLOTS):
            if place != self.slot:
                if self.lock(place):
                    fcntl.lockf(self.locks, fcntl.LOCK_UN, 1, place)
                else:
                    count += 1
        return count

    def changed(self) -> bool:
        """Take up the notes if another process has written them."""
        try:
            stat = os.stat(self.path)
            mark = (stat.st_mtime_ns, stat.st_ino)
            if mark == self.mark:
                return False
            self.notes, self.mark = Notes.read(self.path.read_text()), mark
        except FileNotFoundError:
            return False
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as e:
            log.error("the notes at %s can't be read: %r", self.path, e)
            return False
        return True

    @contextlib.contextmanager
    def changing(self) -> Iterator[Notes]:
        """The notes as they stand, to be changed and written in one step that either happens or does not.

        Raises OSError where they can't be kept; all is as before then.
        """
        fcntl.lockf(self.locks, fcntl.LOCK_EX, 1, SLOTS)
        try:
            self.changed()
            before = self.notes
            draft = Notes(dict(before.out), dict(before.back), dict(before.seen))
            yield draft
            while len(draft.seen) > SEEN_MOST:
                del draft.seen[next(iter(draft.seen))]
            if draft != before:
                beside = self.path.with_suffix(f".{os.getpid()}")
                beside.write_text(draft.text())
                os.replace(beside, self.path)
                stat = os.stat(self.path)
                self.notes, self.mark = draft, (stat.st_mtime_ns, stat.st_ino)
        finally:
            fcntl.lockf(self.locks, fcntl.LOCK_UN, 1, SLOTS)

    def leave_learnt(self, learnt: LearnedState) -> None:
        """For the process that is starting beside this one."""
        beside = self.path.with_suffix(f".{os.getpid()}")
        try:
            beside.write_text(json.dumps(learnt))
            os.replace(beside, self.path.with_suffix(".learnt"))
        except OSError as e:
            log.error("what was learnt can't be left: %s", e)

    def learnt(self) -> LearnedState | None:
        """What the other process knew a moment ago, if it has told and it makes sense."""
        path = self.path.with_suffix(".learnt")
        try:
            if time.time() - path.stat().st_mtime > LEARNT_AGE:
                return None
            return read_learnt(json.loads(path.read_text()))
        except (OSError, ValueError, KeyError, TypeError, AttributeError):
            return None

    def close(self) -> None:
        os.close(self.locks)


def number(value: Any, least: float = 0.0, most: float = math.inf) -> float:
    """Raises ValueError for what is no number, or not from least to most."""
    if not least <= (n := float(value)) <= most or n == math.inf:
        raise ValueError(f"{n} is out of range")
    return n


def read_learnt(o: Any) -> LearnedState:
    """Raises ValueError, KeyError, TypeError or AttributeError where it makes no sense."""
    above = 1e-9  # what is divided by

    def health(pace: Any, errors: Any) -> list[float]:
        return [number(pace, above), number(errors, 0.0, 1.0)]

    return {
        "limit": number(o["limit"], above),
        "latency": number(o["latency"], above),
        "slow": number(o["slow"], 0.0, 1.0),
        "busy": number(o["busy"]),
        "ratios": {str(name): number(value, above) for name, value in o["ratios"].items()},
        "servers": {
            str(name): [number(launched), *health(pace, errors)]
            for name, (launched, pace, errors) in o["servers"].items()
        },
        "pools": [
            (str(stand), [*health(pace, errors), number(units), number(sizes, above), number(took, above)])
            for stand, (pace, errors, units, sizes, took) in o["pools"]
        ],
    }


def shared_socket(address: Address) -> socket.socket:
    """A bound socket that others of this gateway may share the address with."""
    family, kind, proto, _, place = socket.getaddrinfo(*address, type=socket.SOCK_STREAM)[0]
    sock = socket.socket(family, kind | socket.SOCK_CLOEXEC | socket.SOCK_NONBLOCK, proto)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(place)
    except OSError:
        sock.close()
        raise
    return sock


def lead_here(sock: socket.socket, older: int) -> None:
    """New connections come to this socket alone, of those that share its address and listen already.

    The kernel deals them out by hash otherwise, and those that wait for an older process are broken off when
    it stops listening. The program is one instruction, which returns the socket's place among them; where
    there is no such place any more, as after the older ones have left, the kernel goes by its hash.
    """
    code = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, older))
    program = struct.pack("HP", 1, ctypes.addressof(code))
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError as e:
        log.warning("the kernel goes on dealing out connections by hash: %s", e)
