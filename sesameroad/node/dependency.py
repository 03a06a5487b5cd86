"""Logs the loss and the return of what an instance depends on."""

from sesameroad import errors
from sesameroad.telemetry import log


class Dependency:
    """Whether a part of the platform answers; each change is one log line."""

    __slots__ = ("_failures", "_name", "_step")

    def __init__(self, name: str, *, step: str) -> None:
        """Creates a dependency that counts as present.

        Args:
            name: What it is, as the subject of a sentence.
            step: Step that log lines name.
        """
        self._name = name
        self._step = step
        self._failures = 0

    def lost(self, error: errors.SesameroadError) -> None:
        """Notes a failed call."""
        self._failures += 1
        if self._failures == 1:
            log.problem(
                f"{self._name} is lost",
                step=self._step,
                peer=error.peer,
                error=str(error),
            )

    def present(self) -> None:
        """Notes an answered call."""
        if self._failures:
            log.event(
                f"{self._name} is back",
                step=self._step,
                failed_calls=self._failures,
            )
        self._failures = 0
