"""Executes operators' commands over the whole fleet."""

from collections.abc import Iterator
import dataclasses
import itertools
import json
from typing import Any
from typing import Protocol

import msgspec

from sesameroad import errors
from sesameroad.configuration import document
from sesameroad.operators import answers
from sesameroad.operators import commands
from sesameroad.operators import edits
from sesameroad.operators import grammar
from sesameroad.operators import recent_events as recent_events_module
from sesameroad.telemetry import burn as burn_module

_WORK_COLUMNS = (
    *("entry", "key", "kind", "team", "state", "cause"),
    *("age_ms", "tasks", "running", "queued", "answered", "detail"),
)
_FLEET_COLUMNS = (
    *("data_centre", "entries", "running", "queued", "records"),
    *("slots_used", "slots"),
)
_ENTRY_COLUMNS = (
    *("entry", "data_centre", "state", "incarnation", "address"),
    *("configuration", "listing", "peers", "running", "queued", "records"),
)
_ENDPOINT_COLUMNS = (
    *("endpoint", "data_centre", "rack", "worker", "state"),
    *("slots", "slots_used"),
)
_HISTORY_COLUMNS = ("version", "author", "role", "summary", "entries")
_EXPLAIN_COLUMNS = ("at_ms", "entry", "step", "detail")
_BURN_COLUMNS = (
    *("scope", "name", "alert", "5m", "30m", "1h", "6h", "budget_left"),
    *("answers", "bad", "median_ms", "p99_ms", "causes"),
)


class EntryInspection(Protocol):
    """Inspection of one entry; all rows cover this entry only."""

    @property
    def entry(self) -> str:
        """Id of the entry."""

    def work(self) -> Iterator[answers.Row]:
        """Yields a row for each key without an outcome, oldest first."""

    def summary(self) -> answers.Row:
        """Returns the figures of this entry as one row."""

    def endpoints(self) -> list[answers.Row]:
        """Returns a row for each listed endpoint."""

    def explain(self, key: str) -> list[answers.Row]:
        """Returns the events of a key that this entry knows, as rows."""

    def cancel(self, key: str) -> bool:
        """Cancels the work of a key; returns whether the key is known here."""

    def burn(self) -> list[burn_module.Part]:
        """Returns the counts of this entry for the burn report."""


class Fleet(Protocol):
    """Access to the other entries of the fleet."""

    async def ask(self, text: str) -> tuple[dict[str, bytes], list[str]]:
        """Returns encoded answers by entry, and the entries without one."""

    def listed(self) -> list[answers.Row]:
        """Returns a row for each entry of the instance list."""


class Configuration(Protocol):
    """Source of the configuration in force."""

    @property
    def current(self) -> document.Version:
        """The version in force on this entry."""


@dataclasses.dataclass(slots=True, frozen=True)
class Author:
    """The operator who gives a command."""

    name: str
    role: document.Role


class Interpreter:
    """Executes commands: queries all entries, or changes the configuration."""

    __slots__ = (
        "_changer",
        "_configuration",
        "_fleet",
        "_inspection",
        "_recent_events",
    )

    def __init__(
        self,
        *,
        inspection: EntryInspection,
        fleet: Fleet,
        recent_events: recent_events_module.RecentEvents,
        configuration: Configuration,
        changer: edits.Changer,
    ) -> None:
        self._inspection = inspection
        self._fleet = fleet
        self._recent_events = recent_events
        self._configuration = configuration
        self._changer = changer

    async def run(self, text: str, author: Author) -> answers.Answer:
        """Executes a command.

        Args:
            text: The command.
            author: Operator who gives it.

        Raises:
            CommandError: If it cannot be parsed or applied.
            RoleError: If the author's role does not own the changed settings.
            ConflictError: If another change came first.
            PlatformError: If the platform did not accept the change.
        """
        statement = grammar.parse(text)
        match statement.command:
            case commands.Show(topic=commands.Topic.CONFIGURATION):
                return _show_configuration(self._configuration.current)
            case (
                commands.ShowWork()
                | commands.Show()
                | commands.Explain()
                | commands.Cancel()
            ) as command:
                return await self._ask_fleet(command, text)
            case change:
                return await self._change(change, statement, text, author)

    async def burn(self) -> tuple[list[burn_module.Row], list[str]]:
        """Returns the burn report of the fleet, and the missing entries."""
        entry_answers, missing = await self._collect_answers(
            commands.Show(commands.Topic.BURN), "show burn"
        )
        counts: list[burn_module.Part] = []
        for entry_answer in entry_answers:
            try:
                counts += burn_module.decode_parts(list(entry_answer.rows))
            except msgspec.ValidationError:
                missing.append(entry_answer.entry)
        return burn_module.report(counts), missing

    def answer_peer(self, text: str) -> bytes:
        """Returns the encoded answer of this entry to a peer's query."""
        try:
            statement = grammar.parse(text)
            return self._own_answer(statement.command).to_json()
        except errors.CommandError as error:
            # A peer of a newer release may send commands that this release does
            # not know.
            return answers.EntryAnswer(
                self._inspection.entry, error=str(error)
            ).to_json()

    def _own_answer(self, command: commands.Command) -> answers.EntryAnswer:
        entry = self._inspection.entry
        match command:
            case commands.ShowWork(
                state=state, conditions=conditions, limit=limit
            ):
                # Builds no rows beyond the limit: an entry may hold 20,000
                # keys, and callers wait while a query is answered.
                matching = (
                    row
                    for row in self._work_rows(state)
                    if recent_events_module.matches(row, conditions)
                )
                kept = tuple(itertools.islice(matching, limit + 1))
                return answers.EntryAnswer(
                    entry, kept[:limit], len(kept) > limit
                )
            case commands.Show(topic=topic):
                rows = self._topic_rows(topic)
            case commands.Explain(key=key):
                rows = self._inspection.explain(key)
            case commands.Cancel(key=key):
                rows = (
                    [{"entry": entry}] if self._inspection.cancel(key) else []
                )
            case _:
                raise errors.CommandError(
                    "changes are made at one entry", step="answer peer"
                )
        return answers.EntryAnswer(entry, tuple(rows))

    def _topic_rows(self, topic: commands.Topic) -> list[answers.Row]:
        match topic:
            case commands.Topic.FLEET | commands.Topic.ENTRIES:
                return [self._inspection.summary()]
            case commands.Topic.ENDPOINTS:
                return self._inspection.endpoints()
            case commands.Topic.HISTORY:
                return list(self._recent_events.changes)
            case commands.Topic.BURN:
                return msgspec.to_builtins(self._inspection.burn())
            case commands.Topic.CONFIGURATION:
                return []

    def _work_rows(self, state: commands.State) -> Iterator[answers.Row]:
        """Yields open work, oldest first, then answers, newest first."""
        match state:
            case commands.State.RUNNING:
                yield from (r for r in self._inspection.work() if r["running"])
            case commands.State.QUEUED:
                yield from (r for r in self._inspection.work() if r["queued"])
            case commands.State.LATE:
                yield from (
                    r for r in self._inspection.work() if self._is_late(r)
                )
            case commands.State.REFUSED | commands.State.FAILED:
                pass
        for event in self._recent_events.events(state):
            yield {
                "entry": self._inspection.entry,
                "at_ms": event.at_ms,
                "key": event.key,
                "kind": event.kind,
                "team": event.team,
                "state": state.value,
                "cause": event.cause,
                "age_ms": event.age_ms,
                "tasks": event.tasks,
                "detail": event.detail,
            }

    def _is_late(self, row: answers.Row) -> bool:
        kinds = self._configuration.current.document.product.kinds
        kind = kinds.get(row["kind"])
        return kind is not None and row["age_ms"] > kind.target_ms

    async def _collect_answers(
        self, command: commands.Command, text: str
    ) -> tuple[list[answers.EntryAnswer], list[str]]:
        """Returns the answers, this entry's first, and the missing entries."""
        entry_answers = [self._own_answer(command)]
        replies, missing = await self._fleet.ask(text)
        for entry, reply in replies.items():
            try:
                entry_answer = answers.decode_entry_answer(reply, entry=entry)
            except errors.PeerError:
                missing.append(entry)
                continue
            if entry_answer.error:
                missing.append(entry)
            else:
                entry_answers.append(entry_answer)
        return entry_answers, missing

    async def _ask_fleet(
        self, command: commands.Query | commands.Cancel, text: str
    ) -> answers.Answer:
        if command == commands.Show(commands.Topic.BURN):
            rows, missing = await self.burn()
            return _burn_answer(rows, missing)
        entry_answers, missing = await self._collect_answers(command, text)
        rows = [
            row for entry_answer in entry_answers for row in entry_answer.rows
        ]
        more = any(entry_answer.more for entry_answer in entry_answers)
        notes: tuple[str, ...] = ()
        match command:
            case commands.ShowWork(limit=limit):
                columns = _WORK_COLUMNS
                more = more or len(rows) > limit
                rows = recent_events_module.sort_rows(rows)[:limit]
            case commands.Show(topic=commands.Topic.FLEET):
                columns, rows = _FLEET_COLUMNS, _by_data_centre(rows)
            case commands.Show(topic=commands.Topic.ENTRIES):
                columns, rows = _ENTRY_COLUMNS, self._add_unanswered(rows)
            case commands.Show(topic=commands.Topic.ENDPOINTS):
                columns, rows = _ENDPOINT_COLUMNS, _by_endpoint(rows)
            case commands.Show():
                columns, rows = _HISTORY_COLUMNS, _by_version(rows)
            case commands.Explain(key=key):
                columns = _EXPLAIN_COLUMNS
                rows.sort(key=lambda row: row.get("at_ms", 0))
                notes = (
                    () if rows else (f"no entry that answered knows {key!r}",)
                )
            case commands.Cancel(key=key):
                columns = ("entry",)
                notes = (
                    (f"{key} is cancelled; started tasks run to their end",)
                    if rows
                    else (f"no entry that answered knows {key!r}",)
                )
        return answers.Answer(
            columns=columns,
            rows=tuple(rows),
            more=more,
            not_answered=tuple(sorted(missing)),
            version=self._configuration.current.number,
            notes=notes,
        )

    def _add_unanswered(self, rows: list[answers.Row]) -> list[answers.Row]:
        """Adds the entries of the instance list that did not answer."""
        answered = {row["entry"] for row in rows}
        return rows + [
            row for row in self._fleet.listed() if row["entry"] not in answered
        ]

    async def _change(
        self,
        change: commands.Change,
        statement: commands.Statement,
        text: str,
        author: Author,
    ) -> answers.Answer:
        required = edits.required_roles(change)
        if required - {author.role}:
            names = " and ".join(sorted(role.value for role in required))
            raise errors.RoleError(
                f"this belongs to {names}; {author.name} has the role"
                f" {author.role.value}",
                step="change configuration",
            )
        version = await self._changer.change(
            lambda content: edits.apply(change, content),
            author=author.name,
            role=author.role,
            summary=" ".join(text.split()),
            expected_version=statement.expected_version,
        )
        return answers.Answer(
            version=version.number,
            notes=(
                f"version {version.number} by {version.author}:"
                f" {version.summary}",
            ),
        )


def _show_configuration(version: document.Version) -> answers.Answer:
    rows = tuple(
        {"setting": path, "value": value}
        for path, value in _flatten(msgspec.to_builtins(version.document), "")
    )
    return answers.Answer(
        columns=("setting", "value"),
        rows=rows,
        version=version.number,
        notes=(
            f"version {version.number} by {version.author}"
            f" ({version.role.value}): {version.summary}",
        ),
    )


def _flatten(value: Any, path: str) -> list[tuple[str, Any]]:
    if not isinstance(value, dict):
        printable = json.dumps(value) if isinstance(value, list) else value
        return [(path, printable)]
    settings: list[tuple[str, Any]] = []
    for name, child in value.items():
        settings += _flatten(child, f"{path}.{name}" if path else name)
    return settings


def _by_data_centre(rows: list[answers.Row]) -> list[answers.Row]:
    totals: dict[str, answers.Row] = {}
    for row in rows:
        name = row["data_centre"]
        total = totals.setdefault(
            name, {"data_centre": name, **dict.fromkeys(_FLEET_COLUMNS[1:], 0)}
        )
        total["entries"] += 1
        for column in ("running", "queued", "records", "slots_used"):
            total[column] += row[column]
        # All entries of a data centre report the same slots, so that the sum
        # would count them several times.
        total["slots"] = max(total["slots"], row["slots"])
    return sorted(totals.values(), key=lambda row: row["data_centre"])


def _by_endpoint(rows: list[answers.Row]) -> list[answers.Row]:
    merged: dict[str, answers.Row] = {}
    for row in rows:
        merged_row = merged.setdefault(
            row["endpoint"], {**row, "slots_used": 0}
        )
        merged_row["slots_used"] += row["slots_used"]
        # An entry of another data centre may not know that the endpoint is not
        # live.
        if row["state"] != "live":
            merged_row["state"] = row["state"]
    return sorted(merged.values(), key=lambda row: row["endpoint"])


def _by_version(rows: list[answers.Row]) -> list[answers.Row]:
    merged: dict[int, answers.Row] = {}
    for row in rows:
        merged_row = merged.setdefault(row["version"], {**row, "entries": 0})
        merged_row["entries"] += 1
    return sorted(merged.values(), key=lambda row: -row["version"])


def _burn_answer(
    rows: list[burn_module.Row], missing: list[str]
) -> answers.Answer:
    return answers.Answer(
        columns=_BURN_COLUMNS,
        rows=tuple(_burn_row(row) for row in rows),
        not_answered=tuple(sorted(missing)),
    )


def _burn_row(row: burn_module.Row) -> answers.Row:
    """Converts a row of the burn report to a row of the answer."""
    return {
        "scope": row.scope.value,
        "name": row.name,
        "alert": row.alert.value,
        **row.rates,
        "budget_left": row.budget_left,
        "answers": row.answers,
        "bad": row.bad,
        "median_ms": row.median_ms,
        "p99_ms": row.p99_ms,
        "causes": ", ".join(f"{c} {n}" for c, n in row.causes.items()),
    }
