"""Validation with a ``Result`` for commands; kept apart because importing ``returns`` is slow."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from latchspoke.configuration.check import Fault, InvalidConfigurationError, read
from latchspoke.configuration.shape import Document


def review(body: bytes | str) -> Result[Document, list[Fault]]:
    """The configuration in a JSON text, or all its faults. Does not raise."""
    try:
        return Success(read(body))
    except InvalidConfigurationError as error:
        return Failure(error.faults)
