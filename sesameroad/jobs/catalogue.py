"""Queues and limits of the current configuration."""

from collections.abc import Iterable
import dataclasses
from typing import Self


@dataclasses.dataclass(slots=True, frozen=True)
class Queue:
    """A URL to which jobs of one kind are submitted.

    Attributes:
        name: Unique name in the configuration.
        host: Host name of its URL.
        prefix: Path prefix of its URL.
        service: Service whose endpoints run the tasks.
        priority: Priority; 0 is the most urgent.
        max_attempts: Failed runs of a task after which its job fails.
        stretch: Allowed ratio of response time to the declared run time.
        allowance_s: Time allowed in addition to that, in seconds.
        advised: Whether an external service selects the endpoints of its tasks.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    allowance_s: float = 0.0
    advised: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits on request bodies and idle connections."""

    max_body_bytes: int = 256 * 1024
    idle_timeout_s: float = 15.0


class Catalogue:
    """One version of the configuration, indexed for look-ups by URL."""

    __slots__ = ("_by_host", "_limits", "_queues", "_version")

    def __init__(
        self,
        *,
        version: int,
        queues: Iterable[Queue] = (),
        limits: Limits = Limits(),  # noqa: B008  # Frozen.
    ) -> None:
        self._version = version
        self._queues = tuple(queues)
        self._limits = limits
        self._by_host: dict[str, list[Queue]] = {}
        for queue in sorted(
            self._queues, key=lambda queue: len(queue.prefix), reverse=True
        ):
            self._by_host.setdefault(queue.host.lower(), []).append(queue)

    @classmethod
    def empty(cls) -> Self:
        """Returns a catalogue for use before a configuration is loaded."""
        return cls(version=0)

    @property
    def version(self) -> int:
        """Version of the configuration, 0 if none is loaded."""
        return self._version

    @property
    def queues(self) -> tuple[Queue, ...]:
        """All queues."""
        return self._queues

    @property
    def limits(self) -> Limits:
        """Limits on request bodies and idle connections."""
        return self._limits

    def find(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching prefix, or None.

        Args:
            host: Value of the Host header, with or without a port.
            path: Path of the URL.
        """
        name = host.partition(":")[0].lower()
        for queue in self._by_host.get(name, ()):
            if path.startswith(queue.prefix):
                return queue
        return None
