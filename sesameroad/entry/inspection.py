"""Reads the state of an entry for operators' queries and metrics."""

import collections
from collections.abc import Iterator
import dataclasses
from typing import Any

from sesameroad.configuration import store as store_module
from sesameroad.entry import dispatcher as dispatcher_module
from sesameroad.membership import directory as directory_module
from sesameroad.model import clocks
from sesameroad.model import outcomes
from sesameroad.operators import answers
from sesameroad.operators import recent_events as recent_events_module
from sesameroad.ownership import ledger as ledger_module
from sesameroad.peering import mesh as mesh_module
from sesameroad.routing import connection_pool
from sesameroad.routing import sender as sender_module
from sesameroad.scheduling import allocation as allocation_module
from sesameroad.scheduling import pending_task
from sesameroad.settings import settings as settings_module
from sesameroad.telemetry import burn as burn_module
from sesameroad.telemetry import metrics


@dataclasses.dataclass(slots=True)
class Inspection:
    """Reads the state of an entry; only `cancel` changes it."""

    settings: settings_module.Settings
    incarnation: str
    clock: clocks.Clock
    store: store_module.Store
    directory: directory_module.Directory
    ledger: ledger_module.Ledger
    sender: sender_module.Sender
    dispatcher: dispatcher_module.Dispatcher
    allocation: allocation_module.Allocation
    pool: connection_pool.ConnectionPool
    mesh: mesh_module.Mesh
    recent_events: recent_events_module.RecentEvents
    burn_counts: burn_module.Burn
    leaving: bool = False

    @property
    def entry(self) -> str:
        """Id of the entry."""
        return self.settings.instance_id

    def work(self) -> Iterator[answers.Row]:
        """Yields a row for each key without an outcome, the oldest first."""
        now = self.clock.monotonic()
        for tasks in self.dispatcher.open_tasks.values():
            yield self._work_row(tasks, now)

    def summary(self) -> answers.Row:
        """Returns a row with the state of this entry."""
        running = queued = 0
        for tasks in self.dispatcher.open_tasks.values():
            record = tasks[0].record
            running += _count_started(record) - len(record.answers)
            queued += len(record.starts) - _count_started(record)
        state = "leaving" if self.leaving else "live"
        return {
            "entry": self.entry,
            "data_centre": self.settings.data_centre,
            "state": state,
            "incarnation": self.incarnation,
            "address": f"{self.settings.peer.host}:{self.settings.peer.port}",
            "configuration": self.store.current.number,
            "listing": self.directory.listing.version,
            "peers": len(self.mesh.peers),
            "running": running,
            "queued": queued,
            "records": self.ledger.size,
            "slots_used": self._slots_used(),
            "slots": sum(e.slots for e in self.pool.live),
        }

    def endpoints(self) -> list[answers.Row]:
        """Returns a row for each listed endpoint."""
        live = {
            endpoint.id
            for name in {
                e.data_centre for e in self.directory.listing.endpoints
            }
            for endpoint in self.directory.live_endpoints(name)
        }
        return [
            {
                "endpoint": endpoint.id,
                "data_centre": endpoint.data_centre,
                "rack": endpoint.rack,
                "worker": endpoint.worker,
                "state": (
                    "live" if endpoint.id in live else "leaving or drained"
                ),
                "slots": endpoint.slots,
                "slots_used": self.allocation.used(endpoint.id),
            }
            for endpoint in self.directory.listing.endpoints
        ]

    def explain(self, key: str) -> list[answers.Row]:
        """Returns rows with the history and present state of a key."""
        rows = [
            self._event_row(event) for event in self.recent_events.of_key(key)
        ]
        tasks = self.dispatcher.open_tasks.get(key)
        if tasks is not None:
            rows += [
                self._accepted_row(tasks),
                self._explain_row("now", _describe_progress(tasks)),
            ]
            return rows
        match self.ledger.find(key):
            case ledger_module.ClosedRecord(outcome=outcome):
                rows.append(
                    self._explain_row("now", _describe_outcome(outcome))
                )
        return rows

    def cancel(self, key: str) -> bool:
        """Withdraws the work of a key; returns whether it is known here."""
        known = self.ledger.find(key) is not None
        self.dispatcher.cancel(key)
        return known

    def burn(self) -> list[burn_module.Part]:
        """Returns the counts for the burn-rate report."""
        return self.burn_counts.parts(self.clock.monotonic())

    def figures(self) -> metrics.Figures:
        """Returns the figures that are exported as metrics."""
        queued = collections.Counter(
            dict.fromkeys(self.store.current.document.product.kinds, 0)
        )
        for tasks in self.dispatcher.open_tasks.values():
            record = tasks[0].record
            queued[record.work.kind] += len(record.starts) - _count_started(
                record
            )
        return metrics.Figures(
            queued=queued,
            slots_used=self._slots_used(),
            slots=sum(e.slots for e in self.pool.live),
            ledger_records=self.ledger.size,
            ledger_bytes=self.ledger.held_bytes,
            crossed_answers=self.sender.crossed_answers,
            peers=len(self.mesh.peers),
            configuration_version=self.store.current.number,
        )

    def _slots_used(self) -> int:
        return sum(self.allocation.used(e.id) for e in self.pool.live)

    def _work_row(
        self, tasks: list[pending_task.PendingTask], now: float
    ) -> answers.Row:
        record = tasks[0].record
        running = _count_started(record) - len(record.answers)
        queued = len(record.starts) - _count_started(record)
        return {
            "entry": self.entry,
            "key": record.work.key,
            "kind": record.work.kind,
            "team": record.work.team,
            "state": "running" if running else "queued",
            "age_ms": round((now - tasks[0].enqueued_at) * 1_000),
            "tasks": len(record.starts),
            "running": running,
            "queued": queued,
            "answered": len(record.answers),
        }

    def _accepted_row(
        self, tasks: list[pending_task.PendingTask]
    ) -> answers.Row:
        work = tasks[0].record.work
        age_s = self.clock.monotonic() - tasks[0].enqueued_at
        return self._explain_row(
            "accepted and queued",
            f"{work.kind} of {work.team}, {len(tasks)} tasks,"
            f" {sum(pending.attempts for pending in tasks)} sends so far",
            at_ms=self.clock.wall_ms() - round(age_s * 1_000),
        )

    def _event_row(
        self,
        event: (
            recent_events_module.AnswerEvent | recent_events_module.SendEvent
        ),
    ) -> answers.Row:
        match event:
            case recent_events_module.SendEvent():
                return self._explain_row(
                    f"send {event.result}",
                    f"task {event.index} {event.detail}".strip(),
                    at_ms=event.at_ms,
                )
            case recent_events_module.AnswerEvent():
                return self._explain_row(
                    f"caller was told: {event.state.value}, {event.cause}",
                    f"after {event.age_ms} ms; {event.detail}",
                    at_ms=event.at_ms,
                )

    def _explain_row(
        self, step: str, detail: str, *, at_ms: int | None = None
    ) -> dict[str, Any]:
        return {
            "at_ms": self.clock.wall_ms() if at_ms is None else at_ms,
            "entry": self.entry,
            "step": step,
            "detail": detail,
        }


def _count_started(record: ledger_module.Record) -> int:
    """Returns the number of started tasks, including answered ones."""
    return len(record.starts) - record.starts.count(0)


def _describe_progress(tasks: list[pending_task.PendingTask]) -> str:
    """Describes how far the tasks of open work have got."""
    record = tasks[0].record
    started, answered = _count_started(record), len(record.answers)
    return (
        f"{len(record.starts) - started} tasks queued, {started - answered} running,"
        f" {answered} answered"
    )


def _describe_outcome(outcome: outcomes.Outcome) -> str:
    """Describes an outcome."""
    match outcome:
        case outcomes.Complete(answers=whole):
            return f"complete with {len(whole)} answers"
        case _:
            return (
                f"{outcomes.label(outcome)}, {outcome.cause.value}:"
                f" {outcome.detail}"
            )
