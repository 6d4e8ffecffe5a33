"""The configuration: its format, validation, patches and the compiled routing table. No I/O.

``read`` and ``check`` validate, ``apply_patch`` and ``diff`` handle patches, and ``compile_table`` builds the
routing table of the data plane. These functions raise plain exceptions, because importing ``returns`` slows
down the start of a process; only ``latchspoke.configuration.review``, used by commands, returns a ``Result``.
"""

from latchspoke.configuration.check import Fault, InvalidConfigurationError, check, parse_version, read
from latchspoke.configuration.patch import apply_patch, diff
from latchspoke.configuration.routes import Limits, Route, Service, Table, Tenant, compile_table
from latchspoke.configuration.shape import Document, Patch

__all__ = [
    "Document",
    "Fault",
    "InvalidConfigurationError",
    "Limits",
    "Patch",
    "Route",
    "Service",
    "Table",
    "Tenant",
    "apply_patch",
    "check",
    "compile_table",
    "diff",
    "parse_version",
    "read",
]
