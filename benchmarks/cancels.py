"""Measures what cancels cost by the number of instances.

usage: python -m benchmarks.cancels

Prints the messages of a cancel and the processor time that the instance which takes it
spends on choosing whom to ask, with links that answer at once. Then it prints the
processor time in which a new leader decodes and applies the reports of all its peers,
without that of the streams.
"""

import asyncio
from collections.abc import Callable
import time

from absl import app

from sesameroad.jobs import cancellations
from sesameroad.model import clocks
from sesameroad.model import outcomes
from sesameroad.node import canceller as canceller_module
from sesameroad.peering import codec
from sesameroad.peering import messages
from sesameroad.peering import peer_pb2
from sesameroad.telemetry import job_metrics

_SIZES = (5, 300, 546)
_CANCELS = 200
# Recent cancels that a peer reports.
_REPORTED = 20


class _Link:
    """Link to a peer that answers at once."""

    def __init__(self, number: int, outcome: outcomes.Outcome) -> None:
        name = f"i{number}"
        self.hello = messages.Hello(name, f"dc{number % 5}", name)
        self.leaving = False
        self.asked = 0
        self._outcome = outcome

    async def ask(
        self,
        question: Callable[[int], messages.Question],
        *,
        timeout_s: float,
    ) -> messages.Reply:
        del timeout_s
        self.asked += 1
        return messages.RelayReply(question(1).id, self._outcome)


class _Leaders:
    """One remote leader, or this instance, and all other instances."""

    def __init__(self, size: int, *, remote: bool) -> None:
        unknown = outcomes.NotRun(outcomes.Cause.NOT_STEWARD, "")
        known = outcomes.Failed(outcomes.Cause.CANCELLED, "", may_have_run=True)
        peers = [
            _Link(n, known if remote and n == 1 else unknown)
            for n in range(1, size)
        ]
        self.peer_links = {link.hello.incarnation: link for link in peers}
        self.leader_links = {"i1": peers[0]} if remote else {"": None}
        self._own = None if remote else True

    def unseen_led(self) -> list[str]:
        return []

    def cancel_key(self, key: str) -> bool | None:
        del key
        return self._own


async def _cancel_all(size: int, *, remote: bool) -> None:
    leaders = _Leaders(size, remote=remote)
    canceller = canceller_module.Canceller(
        leaders=leaders,
        clock=clocks.Clock(),
        cancellations=cancellations.Cancellations(),
        metrics=job_metrics.JobMetrics(),
        own_id="i0",
    )
    began_at = time.process_time()
    for number in range(_CANCELS):
        await canceller.cancel(f"{number:016x}")
    spent_s = time.process_time() - began_at
    asked = sum(link.asked for link in leaders.peer_links.values())
    print(
        f"{size} instances, leader {'elsewhere' if remote else 'here'}:"
        f" {2 * asked / _CANCELS:g} messages a cancel,"
        f" {spent_s / _CANCELS * 1e3:.2f} ms"
    )


def _apply_reports(size: int) -> None:
    texts = [
        codec.encode(
            [
                messages.RecentCancels(
                    7, {f"{peer:08x}{n:08x}": 1.0 for n in range(_REPORTED)}
                )
            ]
        ).SerializeToString()
        for peer in range(size - 1)
    ]
    kept = cancellations.Cancellations()
    began_at = time.process_time()
    for text in texts:
        (report,) = codec.decode(peer_pb2.Envelope.FromString(text))
        for key, age_s in report.ages_s.items():
            if not kept.contains(key, 100.0):
                kept.add(key, 100.0 - age_s)
    spent_s = time.process_time() - began_at
    print(
        f"{size} instances: {len(texts)} reports of {_REPORTED} cancels,"
        f" {len(texts[0])} bytes each, in {spent_s * 1e3:.1f} ms"
    )


def main(_: list[str]) -> None:
    """Prints all figures."""
    for size in _SIZES:
        for remote in (True, False):
            asyncio.run(_cancel_all(size, remote=remote))
        _apply_reports(size)


if __name__ == "__main__":
    app.run(main)
