"""Claims of keys that callers choose, in the platform's table."""

import asyncio
import dataclasses
import itertools
import secrets

import msgspec

from sesameroad import errors
from sesameroad.model import clock as clocks
from sesameroad.platform import table as tables

_ROW_PREFIX = "claims/"
# The idempotency window. The platform removes rows past it; entries never do,
# since that would let a wrong clock bring a key to a second home.
WINDOW_MS = 24 * 3_600_000
_MAX_BATCH_ROWS = 200
_MAX_PENDING_ROWS = 2_000
# A usual write takes several ms. A claim that takes longer than this is given
# up, and new ones are refused while a call lasts longer.
_PATIENCE_S = 0.5
_FAILURES_TO_OPEN = 3
_OPEN_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """Who may start the tasks of a key.

    Attributes:
        incarnation: The home of the key.
        data_centre: Data centre of the home.
        expiry_ms: Wall time after which the home starts nothing for the key.
        token: Random identifier of the attempt that wrote the row.
        window_end_ms: Wall time until which the row is kept.
    """

    incarnation: str
    data_centre: str
    expiry_ms: int
    token: str
    window_end_ms: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class _Pending:
    """A claim that waits for its row, and how many callers wait for it."""

    wanted: Claim
    done: asyncio.Future[Claim | errors.PlatformError]
    waiters: int = 0


class ClaimStore:
    """Inserts claim rows under this incarnation, many in one call.

    One write call is in flight at a time; what arrives meanwhile goes into the
    next. A breaker refuses claims at once while the platform fails or is slow.
    """

    __slots__ = (
        "_call_began",
        "_clock",
        "_data_centre",
        "_failures",
        "_incarnation",
        "_lifetime_ms",
        "_open_until",
        "_pending",
        "_table",
        "_writer",
    )

    def __init__(
        self,
        *,
        table: tables.Table,
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
        self._pending: dict[str, _Pending] = {}
        self._writer: asyncio.Task[None] | None = None
        self._call_began: float | None = None
        self._failures = 0
        self._open_until = 0.0

    async def claim(self, name: str, *, not_before_ms: int = 0) -> Claim:
        """Returns the claim of a key, made now if there was none.

        Args:
            name: Name of the key in the whole fleet, which includes the team.
            not_before_ms: Wall time before which a new claim does not expire.

        Raises:
            PlatformError: If it is not certain who holds the key. This
                incarnation must then start nothing for it now. The row may
                still appear; it then names this incarnation, which alone
                decides what becomes of the key.
        """
        pending = self._pending.get(name)
        if pending is None:
            self._check_platform()
            pending = self._add(name, not_before_ms)
        # Waiting does not cancel the write that other callers wait for.
        pending.waiters += 1
        try:
            await asyncio.wait([pending.done], timeout=_PATIENCE_S)
        finally:
            pending.waiters -= 1
        if not pending.done.done():
            raise errors.PlatformError(
                f"no answer within {_PATIENCE_S} s", step="claim"
            )
        match pending.done.result():
            case Claim() as claim:
                return claim
            case errors.PlatformError() as error:
                raise errors.PlatformError(str(error), step="claim")

    async def find(self, name: str) -> Claim | None:
        """Returns the claim of a key, None if there is none.

        Raises:
            PlatformError: If the platform fails, is slow or does not answer.
        """
        self._check_platform()
        try:
            async with asyncio.timeout(_PATIENCE_S):
                rows = await self._table.read(
                    [_ROW_PREFIX + name], step="read claim"
                )
        except TimeoutError as error:
            raise errors.PlatformError(
                f"no answer within {_PATIENCE_S} s", step="read claim"
            ) from error
        return _decode(rows[0]) if rows else None

    def _check_platform(self) -> None:
        """Refuses a call that would only add to a pile.

        Raises:
            PlatformError: If the platform fails or is slow.
        """
        now = self._clock.monotonic()
        if now < self._open_until:
            raise errors.PlatformError("the platform fails", step="claim")
        began = self._call_began
        if began is not None and now - began > _PATIENCE_S:
            raise errors.PlatformError("the platform is slow", step="claim")
        if len(self._pending) >= _MAX_PENDING_ROWS:
            raise errors.PlatformError("too many claims wait", step="claim")

    def _add(self, name: str, not_before_ms: int) -> _Pending:
        now_ms = self._clock.wall_ms()
        wanted = Claim(
            incarnation=self._incarnation,
            data_centre=self._data_centre,
            expiry_ms=max(now_ms + self._lifetime_ms, not_before_ms),
            token=secrets.token_hex(8),
            window_end_ms=now_ms + WINDOW_MS,
        )
        done = asyncio.get_running_loop().create_future()
        pending = self._pending[name] = _Pending(wanted, done)
        if self._writer is None:
            self._writer = asyncio.create_task(
                self._write_all(), name="claim writer"
            )
        return pending

    async def _write_all(self) -> None:
        """Writes one batch after another until no claim waits."""
        try:
            while self._pending:
                batch = self._next_batch()
                await self._write(batch)
                for name, pending in batch.items():
                    del self._pending[name]
                    if not pending.done.done():
                        pending.done.set_result(
                            errors.PlatformError("no row", step="claim")
                        )
        finally:
            self._writer = None
            self._call_began = None

    def _next_batch(self) -> dict[str, _Pending]:
        """Returns the oldest claims; those that were given up are dropped."""
        for name, pending in tuple(self._pending.items()):
            if not pending.waiters:
                del self._pending[name]
        return dict(itertools.islice(self._pending.items(), _MAX_BATCH_ROWS))

    async def _write(self, batch: dict[str, _Pending]) -> None:
        """Writes the rows of a batch; reads them back if the answer is lost."""
        if not batch:
            return
        rows = {_ROW_PREFIX + name: p for name, p in batch.items()}
        writes = [
            tables.Write(
                name, tables.ABSENT, msgspec.json.encode(p.wanted).decode()
            )
            for name, p in rows.items()
        ]
        self._call_began = self._clock.monotonic()
        try:
            written = await self._table.write(writes, step="claim")
            found = [result.row for result in written]
        except errors.PlatformError as lost:
            found = await self._read_back(list(rows), lost)
        else:
            self._failures = 0
        for row in found:
            claim = _decode(row)
            pending = rows.get(row.name)
            if claim and pending and not pending.done.done():
                pending.done.set_result(claim)
        self._call_began = None

    async def _read_back(
        self, names: list[str], lost: errors.PlatformError
    ) -> list[tables.Row]:
        """Reads rows whose write answer was lost."""
        try:
            found = await self._table.read(names, step="read claims back")
        except errors.PlatformError:
            self._count_failure()
            return []
        # Answers that are lost while rows appear do not stop claims.
        if all(row.version == tables.ABSENT for row in found):
            self._count_failure()
        return found

    def _count_failure(self) -> None:
        self._failures += 1
        if self._failures >= _FAILURES_TO_OPEN:
            self._open_until = self._clock.monotonic() + _OPEN_S


def _decode(row: tables.Row) -> Claim | None:
    """Returns the claim of a row, None if it is absent.

    A row that cannot be read names no home, so the key is not run.
    """
    if row.version == tables.ABSENT:
        return None
    try:
        return msgspec.json.decode(row.value, type=Claim)
    except msgspec.MsgspecError:
        return None
