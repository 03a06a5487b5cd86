"""Brings work to the home of its key: here, or at another entry."""

import asyncio
from collections.abc import Callable
import dataclasses

from sesameroad import errors
from sesameroad.entry import dispatcher as dispatchers
from sesameroad.model import clock as clocks
from sesameroad.model import outcome as outcomes
from sesameroad.model import work as works
from sesameroad.ownership import claim as claims
from sesameroad.ownership import key as keys
from sesameroad.ownership import ledger as ledgers
from sesameroad.peering import link as links
from sesameroad.peering import mesh as meshes
from sesameroad.peering import message as messages
from sesameroad.telemetry import log

# A relayed answer may come after the deadline that its home applies.
_RELAY_GRACE_S = 1.0
_PLATFORM_RETRY_S = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Home:
    """Where a key may be started, and until when."""

    incarnation: str
    expiry_ms: int


class Intake:
    """Finds the home of a key, then runs the work or relays it."""

    __slots__ = (
        "_claims",
        "_clock",
        "_clock_skew_ms",
        "_dispatcher",
        "_incarnation",
        "_issuer",
        "_ledger",
        "_mesh",
        "_relays",
    )

    def __init__(
        self,
        *,
        incarnation: str,
        issuer: keys.Issuer,
        claimer: claims.Claims,
        dispatcher: dispatchers.Dispatcher,
        ledger: ledgers.Ledger,
        mesh: meshes.Mesh,
        clock: clocks.Clock,
        clock_skew_ms: int,
    ) -> None:
        self._incarnation = incarnation
        self._issuer = issuer
        self._claims = claimer
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._mesh = mesh
        self._clock = clock
        self._clock_skew_ms = clock_skew_ms
        self._relays: set[asyncio.Task[None]] = set()

    def issue_keys(self, count: int) -> list[str]:
        """Returns keys whose home is this entry."""
        return [self._issuer.issue().text for _ in range(count)]

    async def submit(
        self,
        build: Callable[[str], works.Work],
        *,
        key: str | None,
        digest: str,
    ) -> tuple[str, outcomes.Outcome]:
        """Runs work under a caller's key, or under a new one.

        Args:
            build: Makes the work for a key.
            key: The caller's key, or None.
            digest: Hash of the body.

        Returns:
            The key and the outcome.

        Raises:
            KeyInvalidError: If the key looks issued but is not genuine.
        """
        if key is None:
            issued = self._issuer.issue()
            work = build(issued.text)
            remember = isinstance(work, works.Submission)
            outcome = await self._dispatcher.dispatch(
                work,
                digest=digest,
                expiry_ms=issued.expiry_ms,
                remember=remember,
            )
            return issued.text, outcome
        work = build(key)
        try:
            home = await self._find_home(work.team, key)
        except errors.PlatformError as error:
            return key, outcomes.NotRun(
                outcomes.Cause.PLATFORM_DOWN, str(error), _PLATFORM_RETRY_S
            )
        if home.incarnation == self._incarnation:
            return key, await self._run_at_home(work, digest, home.expiry_ms)
        return key, await self._relay(work, digest, home)

    async def status(
        self, key: str, *, cancel: bool = False
    ) -> outcomes.Outcome | None:
        """Returns the outcome of a key so far, None while it is being run.

        Raises:
            KeyInvalidError: If the key is not an issued one.
        """
        issued = self._issuer.verify(key)
        if issued.incarnation == self._incarnation:
            return self._local_status(key, cancel=cancel)
        home = Home(issued.incarnation, issued.expiry_ms)
        link = self._mesh.find(issued.incarnation)
        if link is None:
            return self._unreachable(home)
        try:
            reply = await link.ask(
                lambda number: messages.StatusQuery(number, key, cancel),
                timeout_s=_RELAY_GRACE_S,
            )
        except errors.PeerError:
            return self._unreachable(home)
        match reply:
            case messages.RelayReply(outcome=outcome):
                return outcome
            case _:
                return self._unreachable(home)

    def receive(self, link: links.Link, message: messages.Message) -> None:
        """Answers questions of peers about work that has its home here."""
        match message:
            case messages.RelayRequest():
                task = asyncio.create_task(
                    self._serve(link, message), name=f"relay {message.id}"
                )
                self._relays.add(task)
                task.add_done_callback(self._relays.discard)
            case messages.StatusQuery(id=number, key=key, cancel=cancel):
                outcome = self._local_status(key, cancel=cancel)
                pending = outcomes.Unknown(
                    outcomes.Cause.DEADLINE,
                    "still being run",
                    ask_again_at_ms=self._clock.wall_ms(),
                )
                self._reply(link, number, outcome or pending)
            case _:
                return

    async def _serve(
        self, link: links.Link, message: messages.RelayRequest
    ) -> None:
        match message.purpose:
            case messages.Purpose.SPILL:
                outcome = await self._dispatcher.dispatch(
                    message.work,
                    digest=message.digest,
                    expiry_ms=message.expiry_ms,
                    remember=False,
                    spilled=True,
                )
            case messages.Purpose.HOME:
                outcome = await self._run_at_home(
                    message.work, message.digest, message.expiry_ms
                )
        self._reply(link, message.id, outcome)

    def _reply(
        self, link: links.Link, number: int, outcome: outcomes.Outcome
    ) -> None:
        try:
            link.send(messages.RelayReply(number, outcome))
        except errors.PeerError as error:
            log.problem(
                "reply to a peer dropped",
                step=error.step,
                peer=error.peer,
                error=str(error),
            )

    async def _find_home(self, team: str, key: str) -> Home:
        if keys.is_issued(key):
            issued = self._issuer.verify(key)
            return Home(issued.incarnation, issued.expiry_ms)
        claim = await self._claims.claim(team, key)
        return Home(claim.incarnation, claim.expiry_ms)

    async def _run_at_home(
        self, work: works.Work, digest: str, expiry_ms: int
    ) -> outcomes.Outcome:
        if self._clock.wall_ms() >= expiry_ms:
            return outcomes.Unknown(
                outcomes.Cause.KEY_EXPIRED, "the key has expired"
            )
        return await self._dispatcher.dispatch(
            work, digest=digest, expiry_ms=expiry_ms, remember=True
        )

    async def _relay(
        self, work: works.Work, digest: str, home: Home
    ) -> outcomes.Outcome:
        link = self._mesh.find(home.incarnation)
        if link is None:
            return self._unreachable(home)
        remaining_s = (work.deadline_ms - self._clock.wall_ms()) / 1_000
        try:
            reply = await link.ask(
                lambda number: messages.RelayRequest(
                    number, messages.Purpose.HOME, work, digest, home.expiry_ms
                ),
                timeout_s=max(0.0, remaining_s) + _RELAY_GRACE_S,
            )
        except errors.PeerError:
            return self._unreachable(home)
        match reply:
            case messages.RelayReply(outcome=outcome):
                return outcome
            case _:
                return self._unreachable(home)

    def _local_status(
        self, key: str, *, cancel: bool
    ) -> outcomes.Outcome | None:
        if cancel:
            self._dispatcher.cancel(key)
        record = self._ledger.find(key)
        if record is None:
            return outcomes.Unknown(
                outcomes.Cause.NOT_FOUND, "no work is known under this key"
            )
        return record.done.result() if record.finished else None

    def _unreachable(self, home: Home) -> outcomes.Unknown:
        """Says no more than is certain when the home cannot be asked."""
        settled_at_ms = home.expiry_ms + self._clock_skew_ms
        if self._clock.wall_ms() >= settled_at_ms:
            return outcomes.Unknown(
                outcomes.Cause.KEY_EXPIRED, "the home of the key is gone"
            )
        return outcomes.Unknown(
            outcomes.Cause.HOME_UNREACHABLE,
            "the home of the key cannot be reached",
            ask_again_at_ms=settled_at_ms,
        )
