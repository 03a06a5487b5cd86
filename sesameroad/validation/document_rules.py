"""Rules for the project's own configuration, beyond those of the store."""

from collections.abc import Iterator

from sesameroad.configuration import document
from sesameroad.validation import findings
from sesameroad.validation import inventory as inventory_module

# The longest time that a caller waits if its request does not say how long.
DEFAULT_TIMEOUT_MS = 300_000

_QUOTAS = ("operations", "team_quotas")
_CEILINGS = ("operations", "kind_ceilings")


def check(
    content: document.Document,
    *,
    inventory: inventory_module.Inventory | None,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
) -> list[findings.Finding]:
    """Returns what is wrong with a document that the store accepts.

    Args:
        content: The document.
        inventory: Endpoints to check names and limits against, None if unknown.
        timeout_ms: Longest time that callers wait, in milliseconds.
    """
    found = [*_check_kinds(content, timeout_ms), *_check_limits(content)]
    if inventory is not None:
        found += _check_names(content, inventory)
        found += _check_slots(content, inventory)
    return found


def _check_kinds(
    content: document.Document, timeout_ms: int
) -> Iterator[findings.Finding]:
    kinds = content.product.kinds
    if not kinds:
        yield findings.warning(
            "nothing-accepted", ("product", "kinds"), "no kind is accepted"
        )
    for name, kind in kinds.items():
        if kind.target_ms > timeout_ms:
            yield findings.warning(
                "target-beyond-timeout",
                ("product", "kinds", name, "target_ms"),
                f"the target of {kind.target_ms} ms is beyond the time-out of"
                f" callers, {timeout_ms} ms",
            )
    targets = [kind.target_ms for kind in kinds.values()]
    if targets and content.operations.spill_wait_ms >= max(targets):
        yield findings.warning(
            "spill-beyond-target",
            ("operations", "spill_wait_ms"),
            "work goes to another data centre only when the targets of all"
            f" kinds, at most {max(targets)} ms, have passed",
        )


def _check_limits(content: document.Document) -> Iterator[findings.Finding]:
    quotas = content.operations.team_quotas
    if content.product.kinds and not quotas:
        yield findings.warning(
            "nothing-accepted", _QUOTAS, "no team has a quota"
        )
    for team, quota in quotas.items():
        if quota == 0:
            yield findings.warning(
                "never-runs",
                (*_QUOTAS, team),
                f"work of team {team!r} is refused: its quota is 0",
            )
    for kind, ceiling in content.operations.kind_ceilings.items():
        if ceiling == 0:
            yield findings.warning(
                "never-runs",
                (*_CEILINGS, kind),
                f"work of kind {kind!r} never runs: its ceiling is 0",
            )


def _check_names(
    content: document.Document, inventory: inventory_module.Inventory
) -> Iterator[findings.Finding]:
    """Finds names that no listed endpoint has."""
    drained = content.operations.drained
    for field, names, known in (
        ("endpoints", drained.endpoints, inventory.endpoints),
        ("workers", drained.workers, inventory.workers),
        ("racks", drained.racks, inventory.racks),
        ("data_centres", drained.data_centres, inventory.data_centres),
    ):
        for index, name in enumerate(names):
            if name not in known:
                yield findings.warning(
                    "matches-nothing",
                    ("operations", "drained", field, index),
                    f"no listed endpoint has {name!r}",
                )
    for name in content.product.kinds:
        if not inventory.accepts(name):
            yield findings.warning(
                "matches-nothing",
                ("product", "kinds", name),
                f"no listed endpoint accepts kind {name!r}",
            )
    if inventory.data_centres and inventory.data_centres <= set(
        drained.data_centres
    ):
        yield findings.warning(
            "nothing-accepted",
            ("operations", "drained", "data_centres"),
            "all data centres are drained",
        )


def _check_slots(
    content: document.Document, inventory: inventory_module.Inventory
) -> Iterator[findings.Finding]:
    """Finds limits that contradict the slots of the data centres."""
    for team, quota in content.operations.team_quotas.items():
        if quota > inventory.most_slots:
            yield findings.warning(
                "quota-over-total",
                (*_QUOTAS, team),
                f"no data centre has {quota} slots; the largest has"
                f" {inventory.most_slots}",
            )
    kinds = content.product.kinds
    total_share = sum(kind.share for kind in kinds.values())
    for name, ceiling in content.operations.kind_ceilings.items():
        # The least of the floors, so that the ceiling is under all of them.
        floor = int(kinds[name].share / total_share * inventory.least_slots)
        if 0 < ceiling < floor:
            yield findings.warning(
                "ceiling-under-floor",
                (*_CEILINGS, name),
                f"the share of kind {name!r} guarantees {floor} slots or more"
                f" in each data centre, its ceiling allows {ceiling}",
            )
