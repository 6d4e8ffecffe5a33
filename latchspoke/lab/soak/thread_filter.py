"""A system call filter of Linux by which a process can make no further thread or process (seccomp(2)).

A limit on the number of threads (RLIMIT_NPROC) counts all processes of a user and doesn't bind root; the
filter fails the same calls with the same error, for one process and whoever runs it.
"""

from __future__ import annotations

import ctypes
import errno
import os
import platform
import struct

PR_SET_SECCOMP, PR_SET_NO_NEW_PRIVS = 22, 38  # linux/prctl.h
SECCOMP_MODE_FILTER = 2  # linux/seccomp.h
RETURN_ALLOW, RETURN_ERROR = 0x7FFF0000, 0x00050000
LOAD_WORD, JUMP_IF_EQUAL, RETURN = 0x20, 0x15, 0x06  # linux/bpf_common.h
CLONE_NUMBERS = {"x86_64": 56, "aarch64": 220}
CLONE3_NUMBER = 435  # on all machines


class FilterProgram(ctypes.Structure):
    """``struct sock_fprog``."""

    _fields_ = (("length", ctypes.c_ushort), ("instructions", ctypes.c_void_p))


def instruction(code: int, if_true: int, if_false: int, operand: int) -> bytes:
    """``struct sock_filter``."""
    return struct.pack("HBBI", code, if_true, if_false, operand)


def filter_code() -> bytes:
    """The instructions of the filter, for this kind of machine."""
    return b"".join(
        (
            instruction(LOAD_WORD, 0, 0, 0),  # the number of the system call
            instruction(JUMP_IF_EQUAL, 0, 1, CLONE3_NUMBER),
            instruction(RETURN, 0, 0, RETURN_ERROR | errno.ENOSYS),  # so that clone is tried
            instruction(JUMP_IF_EQUAL, 0, 1, CLONE_NUMBERS[platform.machine()]),
            instruction(RETURN, 0, 0, RETURN_ERROR | errno.EAGAIN),
            instruction(RETURN, 0, 0, RETURN_ALLOW),
        )
    )


# Made before a process forks: its child does no more than it must.
FILTER = ctypes.create_string_buffer(filter_code())
PROGRAM = FilterProgram(len(filter_code()) // struct.calcsize("HBBI"), ctypes.addressof(FILTER))
LIBC = ctypes.CDLL(None, use_errno=True)


def refuse_new_threads() -> None:
    """Fail the calls by which the calling process would make threads or processes. Raises OSError."""
    if LIBC.prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) or LIBC.prctl(
        PR_SET_SECCOMP, SECCOMP_MODE_FILTER, ctypes.byref(PROGRAM)
    ):
        number = ctypes.get_errno()
        raise OSError(number, os.strerror(number))
