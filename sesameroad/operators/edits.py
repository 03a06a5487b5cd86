"""Applies operators' changes to the configuration document."""

from collections.abc import Callable
import dataclasses
from typing import Any
from typing import Protocol

from sesameroad import errors
from sesameroad.configuration import document
from sesameroad.operators import commands

Edit = Callable[[document.Document], document.Document]

# Bounds the memory of telemetry, which keeps counts for each team.
MAX_TEAMS = 320


class Changer(Protocol):
    """Puts new versions of the configuration in force."""

    async def change(
        self,
        edit: Edit,
        *,
        author: str,
        role: document.Role,
        summary: str,
        expected_version: int | None,
    ) -> document.Version:
        """Applies an edit to the current version by compare-and-set.

        Raises:
            ConflictError: If another change came first; the message names it.
            PlatformError: If the platform did not accept the change.
            CommandError: If the edit cannot be applied to the document.
        """


def required_roles(change: commands.Change) -> set[document.Role]:
    """Returns the roles that own the settings that a change affects."""
    match change:
        case commands.SetKind():
            return {document.Role.PRODUCT}
        case commands.SetTeam(quota=quota, weight=weight):
            required = set()
            if quota is not None:
                required.add(document.Role.OPERATIONS)
            if weight is not None:
                required.add(document.Role.PRODUCT)
            return required
        case _:
            return {document.Role.OPERATIONS}


def apply(
    change: commands.Change, content: document.Document
) -> document.Document:
    """Returns a copy of the document with the change applied.

    Raises:
        CommandError: If the change names something that does not exist.
    """
    match change:
        case commands.SetKind():
            return _set_kind(change, content)
        case commands.SetTeam():
            return _set_team(change, content)
        case commands.SetCeiling(kind=kind, slots=slots):
            if kind not in content.product.kinds:
                raise _unknown_name("kind", kind)
            ceilings = dict(content.operations.kind_ceilings)
            ceilings.pop(kind, None)
            if slots is not None:
                ceilings[kind] = slots
            return _with_operations(content, kind_ceilings=ceilings)
        case commands.SetRetries(percent=percent):
            return _with_operations(content, retry_percent=percent)
        case commands.SetSpill(wait_ms=wait_ms):
            return _with_operations(content, spill_wait_ms=wait_ms)
        case commands.Drain(level=level, name=name):
            names = {*_drained(level, content), name}
            return _with_drained(level, names, content)
        case commands.Restore(level=level, name=name):
            names = set(_drained(level, content))
            if name not in names:
                raise errors.CommandError(
                    f"{level.value} {name!r} is not drained",
                    step="edit configuration",
                )
            return _with_drained(level, names - {name}, content)


def _set_kind(
    change: commands.SetKind, content: document.Document
) -> document.Document:
    kinds = dict(content.product.kinds)
    given = {
        "urgency": change.urgency,
        "share": change.share,
        "target_ms": change.target_ms,
        "objective": change.objective,
    }
    kinds[change.name] = dataclasses.replace(
        kinds.get(change.name, document.Kind()),
        **{name: value for name, value in given.items() if value is not None},
    )
    return _with_product(content, kinds=kinds)


def _set_team(
    change: commands.SetTeam, content: document.Document
) -> document.Document:
    quotas = dict(content.operations.team_quotas)
    if change.quota is not None:
        quotas[change.name] = change.quota
        if len(quotas) > MAX_TEAMS:
            raise errors.CommandError(
                f"more than {MAX_TEAMS} teams", step="edit configuration"
            )
    elif change.name not in quotas:
        raise _unknown_name("team", change.name)
    if change.weight is not None:
        weights = {**content.product.team_weights, change.name: change.weight}
        content = _with_product(content, team_weights=weights)
    return _with_operations(content, team_quotas=quotas)


def _drained(
    level: commands.Level, content: document.Document
) -> tuple[str, ...]:
    drained = content.operations.drained
    match level:
        case commands.Level.ENDPOINT:
            return drained.endpoints
        case commands.Level.WORKER:
            return drained.workers
        case commands.Level.RACK:
            return drained.racks
        case commands.Level.DATA_CENTRE:
            return drained.data_centres


def _with_drained(
    level: commands.Level, names: set[str], content: document.Document
) -> document.Document:
    value = tuple(sorted(names))
    drained = content.operations.drained
    match level:
        case commands.Level.ENDPOINT:
            drained = dataclasses.replace(drained, endpoints=value)
        case commands.Level.WORKER:
            drained = dataclasses.replace(drained, workers=value)
        case commands.Level.RACK:
            drained = dataclasses.replace(drained, racks=value)
        case commands.Level.DATA_CENTRE:
            drained = dataclasses.replace(drained, data_centres=value)
    return _with_operations(content, drained=drained)


def _with_product(
    content: document.Document, **values: Any
) -> document.Document:
    return dataclasses.replace(
        content, product=dataclasses.replace(content.product, **values)
    )


def _with_operations(
    content: document.Document, **values: Any
) -> document.Document:
    return dataclasses.replace(
        content, operations=dataclasses.replace(content.operations, **values)
    )


def _unknown_name(category: str, name: str) -> errors.CommandError:
    return errors.CommandError(
        f"unknown {category} {name!r}", step="edit configuration"
    )
