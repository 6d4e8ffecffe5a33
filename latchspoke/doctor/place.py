"""What the settings of a process name: its addresses, its disk, and the settings themselves."""

from __future__ import annotations

import os
import shutil
import socket
import time
from pathlib import Path
from typing import TYPE_CHECKING

from latchspoke.doctor.findings import Finding, failure, good, warning

if TYPE_CHECKING:
    from latchspoke.settings import Settings

PROBE_FILE = "doctor.probe"  # written into the data directory, and removed
PROBE_BYTES = 4096
SLOW_SYNC_S = 0.1
MIB = 1024 * 1024
MIN_FREE_MB = 16
GATEWAY_ROLE = "edge"
PORT_OFFSETS = {True: 0, False: 1}  # of the internal port, for a gateway and for a control machine
STORE_FILE = "register.db"


def check_place(settings: Settings) -> list[Finding]:
    """Check the addresses and the disk of a process; those of one that runs are in use."""
    found = [check_address(name, *address) for name, address in sorted(settings.listen_addresses.items())]
    is_gateway = GATEWAY_ROLE in settings.served_roles
    port = settings.port_range[0] + PORT_OFFSETS[is_gateway]
    found.append(check_address("internal", settings.ip_address, port))
    found.append(check_address("internal UDP", settings.ip_address, port, socket.SOCK_DGRAM))
    if settings.data_directory is not None:
        found.append(check_disk(settings.data_directory))
    elif not is_gateway:
        found.append(failure("disk", "dataDirectory is missing: a control machine needs a disk"))
    return found


def check_address(name: str, host: str, port: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> Finding:
    """Whether a process can listen at an address."""
    check, text = "address", f"{name} {host}:{port}"
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        with socket.socket(family, kind) as sock:
            if kind is socket.SOCK_STREAM:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
    except OSError as error:
        return failure(check, f"{text}: {error.strerror or error}; a start waits for it")
    return good(check, text)


def check_disk(folder: Path) -> Finding:
    """Whether the data directory is there or can be made, takes a write, and how long a sync takes."""
    existing = folder
    while not existing.exists() and existing != existing.parent:
        existing = existing.parent
    if not existing.is_dir() or not os.access(existing, os.W_OK | os.X_OK):
        return failure("disk", f"{existing} is no folder that can be written to; a start waits for it")
    free_mb = shutil.disk_usage(existing).free // MIB
    if free_mb < MIN_FREE_MB:
        return failure("disk", f"{folder}: {free_mb} MB are free")
    if existing != folder:
        return good("disk", f"{folder} will be made; {free_mb} MB are free")
    try:
        took = sync_time_s(folder)
    except OSError as error:
        return failure("disk", f"{folder}: {error.strerror or error}; a start waits for it")
    held = "a store" if (folder / STORE_FILE).exists() else "no store yet"
    text = f"{folder}: {held}, {free_mb} MB are free, a sync takes {took * 1000:.1f} ms"
    return good("disk", text) if took < SLOW_SYNC_S else warning("disk", text)


def sync_time_s(folder: Path) -> float:
    """How long a small write with a sync takes in this folder. Raises OSError."""
    probe = folder / PROBE_FILE
    begun = time.monotonic()
    try:
        with probe.open("wb") as file:
            file.write(bytes(PROBE_BYTES))
            file.flush()
            os.fsync(file.fileno())
    finally:
        probe.unlink(missing_ok=True)
    return time.monotonic() - begun
