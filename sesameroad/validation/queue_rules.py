"""Rules for the queues of a configuration on the platform.

Paths name the attributes of `catalogue.Queue` and `catalogue.Limits`.
"""

from collections.abc import Iterator

from sesameroad.jobs import catalogue
from sesameroad.validation import findings
from sesameroad.validation import inventory as inventory_module

# Time that a caller waits if its request does not say how long.
DEFAULT_TIMEOUT_MS = 30_000
_MS = 1_000
# An answer later than this many times its objective is of no use, and the job is
# abandoned.
_USEFUL_OBJECTIVES = 3
QUEUES = "queues"
LIMITS = "limits"


def check(
    content: catalogue.Catalogue,
    *,
    inventory: inventory_module.Inventory | None,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
) -> list[findings.Finding]:
    """Returns what is wrong with queues that the decoder accepts.

    Args:
        content: The queues and limits.
        inventory: Endpoints to check services against, None if unknown.
        timeout_ms: Longest time that callers wait, in milliseconds.
    """
    found = [*_check_routes(content), *_check_limits(content.limits)]
    for index, queue in enumerate(content.queues):
        found += _check_times(index, queue, timeout_ms)
        if queue.advised:
            found.append(
                findings.warning(
                    "never-runs",
                    (QUEUES, index, "advised"),
                    "jobs of queues with an advice service are refused",
                )
            )
        if inventory is not None and not inventory.accepts(queue.service):
            found.append(
                findings.warning(
                    "matches-nothing",
                    (QUEUES, index, "service"),
                    f"no listed endpoint is of service {queue.service!r}",
                )
            )
    if content.version == 0:
        found.append(
            findings.error(
                "never-in-force",
                ("version",),
                "instances take version 0 for no configuration",
            )
        )
    return found


def _check_routes(
    content: catalogue.Catalogue,
) -> Iterator[findings.Finding]:
    """Finds queues to which no request can lead."""
    names: dict[str, int] = {}
    routes: dict[tuple[str, str], int] = {}
    for index, queue in enumerate(content.queues):
        first = names.setdefault(queue.name, index)
        if first != index:
            yield findings.error(
                "duplicate-name",
                (QUEUES, index, "name"),
                f"queue {first} is named {queue.name!r} as well",
            )
        if ":" in queue.host:
            yield findings.error(
                "matches-nothing",
                (QUEUES, index, "host"),
                "a host with a port is never matched; the port of requests is"
                " left out",
            )
        if queue.prefix and not queue.prefix.startswith("/"):
            yield findings.error(
                "matches-nothing",
                (QUEUES, index, "prefix"),
                "no path of a URL begins like this, without a slash",
            )
        first = routes.setdefault((queue.host.lower(), queue.prefix), index)
        if first != index:
            yield findings.error(
                "shadowed",
                (QUEUES, index, "prefix"),
                f"queue {first} has the same host and prefix and gets all"
                " requests",
            )


def _check_times(
    index: int, queue: catalogue.Queue, timeout_ms: int
) -> Iterator[findings.Finding]:
    """Finds times and attempts that contradict each other."""
    allowance_ms = queue.allowance_s * _MS
    if allowance_ms > timeout_ms:
        yield findings.warning(
            "target-beyond-timeout",
            (QUEUES, index, "allowance_s"),
            f"the allowance of {allowance_ms:.0f} ms is beyond the time-out of"
            f" callers, {timeout_ms} ms",
        )
    if allowance_ms:
        return
    if queue.stretch < 1:
        yield findings.warning(
            "target-under-work",
            (QUEUES, index, "stretch"),
            "without an allowance, all jobs are late: the objective is less"
            " than their work",
        )
    useful = int(queue.stretch * _USEFUL_OBJECTIVES)
    if queue.max_attempts > max(1, useful):
        yield findings.warning(
            "attempts-do-not-fit",
            (QUEUES, index, "max_attempts"),
            f"of {queue.max_attempts} attempts that take as long as declared,"
            f" {useful} end before the job is abandoned, at"
            f" {_USEFUL_OBJECTIVES} times its objective",
        )


def _check_limits(limits: catalogue.Limits) -> Iterator[findings.Finding]:
    if limits.max_body_bytes == 0:
        yield findings.warning(
            "nothing-accepted",
            (LIMITS, "max_body_bytes"),
            "every request with a body is refused",
        )
