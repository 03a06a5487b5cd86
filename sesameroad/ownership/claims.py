"""Claims keys that callers choose, in the platform's table."""

import asyncio
import dataclasses
import itertools
import secrets

import msgspec

from sesameroad import errors
from sesameroad.model import clocks
from sesameroad.model import strict_json
from sesameroad.platform import table as table_module

_ROW_PREFIX = "claims/"
# The idempotency window, after which the platform removes the row. Entries
# never remove rows: an entry with a wrong clock could then give a key a second
# home.
WINDOW_MS = 24 * 3_600_000
_MAX_BATCH_ROWS = 200
_MAX_PENDING_ROWS = 2_000
# A write usually takes several milliseconds. A claim that takes longer than
# this fails, and new claims are refused while a write call lasts longer.
_CALL_TIMEOUT_S = 0.5
# Attempts to write a row whose write call had no answer. Each further attempt
# needs another lost answer or another claimant, so more are rarely of use.
_MAX_WRITE_ATTEMPTS = 4
# Pause before a further attempt, so that a store over its rate limit is not
# called in a tight loop.
_REWRITE_DELAY_S = 0.01
_BREAKER_THRESHOLD = 3
_BREAKER_OPEN_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """The right of one incarnation to start the tasks of a key.

    Attributes:
        incarnation: The home of the key.
        data_centre: Data centre of the home.
        expiry_ms: Wall time after which the home starts nothing for the key.
        token: Random identifier of the attempt that wrote the row.
        window_end_ms: Wall time until which the row is kept.
    """

    incarnation: strict_json.Name
    data_centre: strict_json.Name
    expiry_ms: strict_json.Count
    token: strict_json.Name
    window_end_ms: strict_json.Count = 0


@dataclasses.dataclass(slots=True, eq=False)
class _PendingClaim:
    """A claim that is queued for writing.

    Attributes:
        claim_to_write: The claim to insert.
        done: Completed with the claim in the table, or with an error.
        waiters: Number of callers that wait for it.
    """

    claim_to_write: Claim
    done: asyncio.Future[Claim | errors.PlatformError]
    waiters: int = 0


class ClaimStore:
    """Inserts claim rows for this incarnation, in batches.

    One write call is in flight at a time; claims that arrive meanwhile go into
    the next batch. A circuit breaker refuses claims at once while the platform
    is failing or slow.
    """

    __slots__ = (
        "_write_started_at",
        "_clock",
        "_data_centre",
        "_failures",
        "_incarnation",
        "_lifetime_ms",
        "_breaker_open_until",
        "_pending",
        "_table",
        "_writer",
    )

    def __init__(
        self,
        *,
        table: table_module.Table,
        clock: clocks.Clock,
        incarnation: str,
        data_centre: str,
        lifetime_ms: int,
    ) -> None:
        self._table = table
        self._clock = clock
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._lifetime_ms = lifetime_ms
        self._pending: dict[str, _PendingClaim] = {}
        self._writer: asyncio.Task[None] | None = None
        self._write_started_at: float | None = None
        self._failures = 0
        self._breaker_open_until = 0.0

    async def claim(self, name: str, *, not_before_ms: int = 0) -> Claim:
        """Returns the claim of a key, and creates it if there is none.

        Args:
            name: Fleet-wide name of the key, which includes the team.
            not_before_ms: Wall time before which a new claim does not expire.

        Raises:
            PlatformError: If the holder of the key cannot be determined. This
                incarnation must then not start tasks for the key. The row may
                still be written later. It then names this incarnation, so no
                other one can start tasks for the key.
        """
        pending = self._pending.get(name)
        if pending is None:
            self._check_available()
            pending = self._enqueue(name, not_before_ms)
        # Cancelling one waiter must not cancel a write that others wait for.
        pending.waiters += 1
        try:
            await asyncio.wait([pending.done], timeout=_CALL_TIMEOUT_S)
        finally:
            pending.waiters -= 1
        if not pending.done.done():
            raise errors.PlatformError(
                f"no answer within {_CALL_TIMEOUT_S} s", step="claim"
            )
        match pending.done.result():
            case Claim() as claim:
                return claim
            case errors.PlatformError() as error:
                raise errors.PlatformError(error.detail, step="claim")

    async def find(self, name: str) -> Claim | None:
        """Returns the claim of a key, None if there is none.

        Raises:
            PlatformError: If the platform fails, is slow or does not answer.
        """
        self._check_available()
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                rows = await self._table.read(
                    [_ROW_PREFIX + name], step="read claim"
                )
        except TimeoutError as error:
            raise errors.PlatformError(
                f"no answer within {_CALL_TIMEOUT_S} s", step="read claim"
            ) from error
        return _decode(rows[0]) if rows else None

    def _check_available(self) -> None:
        """Checks that the platform is likely to answer a call in time.

        Raises:
            PlatformError: If the platform is failing or slow, or if too many
                claims are queued.
        """
        now = self._clock.monotonic()
        if now < self._breaker_open_until:
            raise errors.PlatformError("the platform is failing", step="claim")
        started_at = self._write_started_at
        if started_at is not None and now - started_at > _CALL_TIMEOUT_S:
            raise errors.PlatformError("the platform is slow", step="claim")
        if len(self._pending) >= _MAX_PENDING_ROWS:
            raise errors.PlatformError(
                "too many claims are queued", step="claim"
            )

    def _enqueue(self, name: str, not_before_ms: int) -> _PendingClaim:
        now_ms = self._clock.wall_ms()
        claim_to_write = Claim(
            incarnation=self._incarnation,
            data_centre=self._data_centre,
            expiry_ms=max(now_ms + self._lifetime_ms, not_before_ms),
            token=secrets.token_hex(8),
            window_end_ms=now_ms + WINDOW_MS,
        )
        done = asyncio.get_running_loop().create_future()
        pending = self._pending[name] = _PendingClaim(claim_to_write, done)
        if self._writer is None:
            self._writer = asyncio.create_task(
                self._write_batches(), name="claim writer"
            )
        return pending

    async def _write_batches(self) -> None:
        """Writes batches until no claim is queued."""
        try:
            while self._pending:
                batch = self._next_batch()
                detail = await self._write_batch(batch)
                for name, pending in batch.items():
                    del self._pending[name]
                    if not pending.done.done():
                        pending.done.set_result(errors.PlatformError(detail))
        finally:
            self._writer = None
            self._write_started_at = None

    def _next_batch(self) -> dict[str, _PendingClaim]:
        """Drops claims without waiters and returns the oldest of the others."""
        for name, pending in tuple(self._pending.items()):
            if not pending.waiters:
                del self._pending[name]
        return dict(itertools.islice(self._pending.items(), _MAX_BATCH_ROWS))

    async def _write_batch(self, batch: dict[str, _PendingClaim]) -> str:
        """Writes the rows of a batch until each names the home of its key.

        The rows of a call form one transaction. If its answer is lost, an absent
        row does not show the outcome: the transaction may have been refused
        because of another row, or may still be applied. The row is then written
        again with the same token, conditional on its absence, while a caller
        waits for it.

        Returns:
            Why the claims that are not done were given up.
        """
        detail = "no row was written"
        started_at = self._write_started_at = self._clock.monotonic()
        for attempt in range(_MAX_WRITE_ATTEMPTS):
            if attempt:
                await asyncio.sleep(_REWRITE_DELAY_S)
            undecided = {
                _ROW_PREFIX + name: pending
                for name, pending in batch.items()
                if pending.waiters and not pending.done.done()
            }
            elapsed_s = self._clock.monotonic() - started_at
            if not undecided or elapsed_s > _CALL_TIMEOUT_S:
                break
            try:
                table_rows = await self._write(undecided)
            except errors.PlatformError as write_error:
                detail = f"the write was not confirmed: {write_error.detail}"
                try:
                    table_rows = await self._table.read(
                        list(undecided), step="read claims back"
                    )
                except errors.PlatformError as read_error:
                    # A store that does not answer reads either is not asked
                    # again for this batch.
                    detail += f", nor read back: {read_error.detail}"
                    break
            else:
                self._failures = 0
            _settle(undecided, table_rows)
        # A lost answer does not count as a failure if some rows were written.
        if batch and not any(p.done.done() for p in batch.values()):
            self._count_failure()
        self._write_started_at = None
        return detail

    async def _write(
        self, undecided: dict[str, _PendingClaim]
    ) -> list[table_module.Row]:
        """Writes rows that must be absent, and returns the current rows."""
        writes = [
            table_module.Write(
                name,
                table_module.ABSENT,
                msgspec.json.encode(pending.claim_to_write).decode(),
            )
            for name, pending in undecided.items()
        ]
        written = await self._table.write(writes, step="claim")
        return [result.row for result in written]

    def _count_failure(self) -> None:
        self._failures += 1
        if self._failures >= _BREAKER_THRESHOLD:
            self._breaker_open_until = self._clock.monotonic() + _BREAKER_OPEN_S


def _settle(
    undecided: dict[str, _PendingClaim], table_rows: list[table_module.Row]
) -> None:
    """Completes the claims whose rows exist.

    A malformed row names no home, so tasks of its key are not started.
    """
    for row in table_rows:
        pending = undecided.get(row.name)
        if (
            row.version == table_module.ABSENT
            or pending is None
            or pending.done.done()
        ):
            continue
        pending.done.set_result(
            _decode(row) or errors.PlatformError("the claim cannot be read")
        )


def _decode(row: table_module.Row) -> Claim | None:
    """Returns the claim of a row, or None if it is absent or malformed."""
    if row.version == table_module.ABSENT:
        return None
    try:
        return strict_json.decode(row.value, Claim)
    except errors.MalformedError:
        return None
