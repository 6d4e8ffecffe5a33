"""Runs a roll-out: performs the actions of its state machine in an environment."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from latchspoke.configuration.shape import Document
from latchspoke.rollouts.engine import (
    ApplyPatch,
    CollectEvidence,
    CommandResult,
    Event,
    Finished,
    ReadConfiguration,
    Rollout,
    Wait,
)
from latchspoke.rollouts.evidence import Evidence


class Environment(Protocol):
    """The clock and the calls that a roll-out needs. No method raises."""

    def now(self) -> float:
        """Monotonic time in seconds."""

    def wait(self, until: float) -> None:
        """Sleep until this time."""

    def read_configuration(self) -> Document | str:
        """The current configuration, or why it could not be read."""

    def submit_patch(self, patch: dict[str, Any]) -> tuple[CommandResult, str]:
        """Submit the patch, with retries; the result, and the reason unless it was accepted."""

    def collect_evidence(self, window_s: float) -> Evidence | None:
        """The gateways' counts of the last ``window_s`` seconds; None if they could not be had."""


def drive(
    rollout: Rollout, environment: Environment, on_event: Callable[[Event], None] = lambda event: None
) -> Finished:
    """Run the roll-out to its end; ``on_event`` gets each event as it occurs."""
    while True:
        now = environment.now()
        match rollout.next_action(now):
            case Finished() as end:
                for event in rollout.take_events():
                    on_event(event)
                return end
            case Wait(until):
                environment.wait(until)
            case ReadConfiguration():
                read_configuration(rollout, environment)
            case ApplyPatch(_, patch):
                result, text = environment.submit_patch(patch)
                rollout.on_command_result(result, environment.now(), text)
            case CollectEvidence(window_s):
                evidence, configuration = (
                    environment.collect_evidence(window_s),
                    environment.read_configuration(),
                )
                rollout.on_evidence(
                    evidence, None if isinstance(configuration, str) else configuration, environment.now()
                )
        for event in rollout.take_events():
            on_event(event)


def read_configuration(rollout: Rollout, environment: Environment) -> None:
    """Perform a ``ReadConfiguration`` and report its result."""
    configuration = environment.read_configuration()
    if isinstance(configuration, str):
        rollout.on_read_failed(configuration, environment.now())
    else:
        rollout.on_configuration(configuration, environment.now())
