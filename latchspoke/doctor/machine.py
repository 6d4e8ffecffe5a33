"""What the machine and the user grant to a process: threads, processor, memory, descriptors, output."""

from __future__ import annotations

import os
import resource
import threading
from pathlib import Path

from latchspoke.doctor.findings import Finding, failure, good, warning

MIB = 1024 * 1024
WANTED_THREADS = 2  # of a process: the program, and the one that writes its log
CGROUPS = Path("/sys/fs/cgroup")
CGROUP_MEMBERSHIP = Path("/proc/self/cgroup")
UNLIMITED = "max"  # in the files of version 2


def cgroup_value(controller: str, version_1_file: str, version_2_file: str) -> str:
    """The content of the nearest limit file of this process's control group; '' without one."""
    try:
        lines = CGROUP_MEMBERSHIP.read_text().splitlines()
    except OSError:
        return ""
    for line in lines:
        _, controllers, path = line.split(":", 2)
        if not controllers:
            base, name = CGROUPS, version_2_file
        elif controller in controllers.split(","):
            base, name = CGROUPS / controller, version_1_file
        else:
            continue
        group = base / path.lstrip("/")
        for folder in (group, *group.parents):
            if (folder / name).is_file():
                return (folder / name).read_text().strip()
            if folder == base:
                break
    return ""


def check_machine(memory_mb: int | None, descriptors: int | None) -> list[Finding]:
    """Check what the machine grants; ``memory_mb`` and ``descriptors``: what the settings name, if known."""
    return [
        check_threads(), check_processor(), check_memory(memory_mb), check_descriptors(descriptors),
        check_output(),
    ]  # fmt: skip


def check_threads() -> Finding:
    """Whether a thread is granted; a process serves without one, but a slow log may then lose lines."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NPROC)
    limits = [f"{soft} of the user"] if soft != resource.RLIM_INFINITY else []
    group = cgroup_value("pids", "pids.max", "pids.max")
    if group and group != UNLIMITED:
        limits.append(f"{group} of the control group")
    known = f"limits on threads and processes: {', '.join(limits) or 'none'}"
    thread = threading.Thread(target=lambda: None)
    try:
        thread.start()
    except RuntimeError:
        return warning("threads", f"none is granted, {WANTED_THREADS} are used if possible; {known}")
    thread.join()
    return good("threads", f"{WANTED_THREADS} a process; {known}")


def check_processor() -> Finding:
    """Cores, and a quota of the control group."""
    text = f"{len(os.sched_getaffinity(0))} cores"
    quota = cgroup_value("cpu", "cpu.cfs_quota_us", "cpu.max").split()
    if quota and quota[0] not in (UNLIMITED, "-1"):
        period = quota[1] if len(quota) > 1 else cgroup_value("cpu", "cpu.cfs_period_us", "cpu.max")
        share = int(quota[0]) / int(period or 100_000)
        text += f", a quota of {share:.2f} of one"
        if share < 0.1:
            return warning("processor", f"{text}: a start takes seconds")
    return good("processor", text)


def check_memory(wanted_mb: int | None) -> Finding:
    """The memory that a process may have."""
    limits = {}
    address_space, _ = resource.getrlimit(resource.RLIMIT_AS)
    if address_space != resource.RLIM_INFINITY:
        limits["address space"] = address_space // MIB
    group = cgroup_value("memory", "memory.limit_in_bytes", "memory.max")
    if group.isdigit() and int(group) < os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE"):
        limits["control group"] = int(group) // MIB
    text = ", ".join(f"{size} MB ({name})" for name, size in limits.items()) or "no limit"
    if wanted_mb is None or not limits or min(limits.values()) >= wanted_mb:
        return good("memory", text)
    return failure("memory", f"{text}, but the settings name {wanted_mb} MB")


def check_descriptors(wanted: int | None) -> Finding:
    """The hard limit on descriptors, which a process raises its soft one to."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    text = "no limit" if hard == resource.RLIM_INFINITY else f"{hard} at most"
    if wanted is None or hard == resource.RLIM_INFINITY or hard >= wanted:
        return good("descriptors", text)
    return warning("descriptors", f"{text}, the settings name {wanted}: the lower number is used")


def check_output() -> Finding:
    """Whether standard error, the log, can be written to."""
    try:
        os.write(2, b"")
    except OSError as error:
        return warning("output", f"standard error can't be written to: {error.strerror}: the log is lost")
    return good("output", "standard error can be written to")
