"""Logs when an external service becomes unavailable and available again."""

from sesameroad import errors
from sesameroad.telemetry import log


class Dependency:
    """Tracks whether a service responds; logs one line per change."""

    __slots__ = ("_failures", "_name", "_step")

    def __init__(self, name: str, *, step: str) -> None:
        """Creates a dependency that counts as available.

        Args:
            name: Name of the service; subject of the log messages.
            step: Step to name in log lines.
        """
        self._name = name
        self._step = step
        self._failures = 0

    def record_failure(self, error: errors.SesameroadError) -> None:
        """Records a failed call."""
        self._failures += 1
        if self._failures == 1:
            log.problem(
                f"{self._name} is lost",
                step=self._step,
                peer=error.peer,
                error=str(error),
            )

    def record_success(self) -> None:
        """Records a successful call."""
        if self._failures:
            log.event(
                f"{self._name} is back",
                step=self._step,
                failed_calls=self._failures,
            )
        self._failures = 0
