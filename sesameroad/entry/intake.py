"""Routes work and status queries to the home of the key."""

import asyncio
from collections.abc import Callable
import dataclasses

from sesameroad import errors
from sesameroad.entry import dispatcher as dispatcher_module
from sesameroad.model import clocks
from sesameroad.model import outcomes
from sesameroad.model import work as work_module
from sesameroad.ownership import claims
from sesameroad.ownership import handoffs
from sesameroad.ownership import keys
from sesameroad.ownership import ledger as ledger_module
from sesameroad.peering import links
from sesameroad.peering import mesh as mesh_module
from sesameroad.peering import messages
from sesameroad.telemetry import log

# The reply of the home may arrive after the deadline that the home applies.
_RELAY_GRACE_S = 1.0
_PLATFORM_RETRY_S = 2.0


# A key expires at least this long after the deadline of its work, so that
# callers can still fetch an answer that comes late.
_LATE_ANSWER_MS = 30_000


@dataclasses.dataclass(slots=True, frozen=True)
class Home:
    """The only incarnation that may start the tasks of a key.

    Attributes:
        name: Name of the key's work, unique in the fleet.
        incarnation: Id of the incarnation.
        expiry_ms: Expiry of the key in wall time; 0 if it is not known.
        held: Whether callers may submit work under the key.
    """

    name: str
    incarnation: str
    expiry_ms: int
    held: bool = True

    @classmethod
    def from_issued(cls, issued: keys.IssuedKey) -> "Home":
        """Returns the home that is encoded in an issued key."""
        return cls(
            issued.text, issued.incarnation, issued.expiry_ms, issued.held
        )


class Intake:
    """Finds the home of a key, and runs the work here or relays it there."""

    __slots__ = (
        "_claim_store",
        "_clock",
        "_clock_skew_ms",
        "_dispatcher",
        "_handoff_store",
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
        claim_store: claims.ClaimStore,
        handoff_store: handoffs.HandoffStore,
        dispatcher: dispatcher_module.Dispatcher,
        ledger: ledger_module.Ledger,
        mesh: mesh_module.Mesh,
        clock: clocks.Clock,
        clock_skew_ms: int,
    ) -> None:
        self._incarnation = incarnation
        self._issuer = issuer
        self._claim_store = claim_store
        self._handoff_store = handoff_store
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._mesh = mesh
        self._clock = clock
        self._clock_skew_ms = clock_skew_ms
        self._relays: set[asyncio.Task[None]] = set()

    def issue_keys(self, count: int) -> list[str]:
        """Returns keys whose home is this entry."""
        not_before_ms = self._ledger.forgotten_ms + 1
        return [
            self._issuer.issue(not_before_ms=not_before_ms).text
            for _ in range(count)
        ]

    async def drain(self) -> None:
        """Waits until the outcomes of relayed work are sent to the peers."""
        while self._relays:
            await asyncio.wait(tuple(self._relays))

    async def submit(
        self,
        build: Callable[[str], work_module.Work],
        *,
        key: str | None,
        digest: str,
    ) -> tuple[str, outcomes.Outcome]:
        """Runs work under a caller's key, or under a new one.

        Args:
            build: Function that creates the work for a key.
            key: The caller's key, or None.
            digest: Hash of the request body.

        Returns:
            The key and the outcome.

        Raises:
            KeyInvalidError: If the key has the form of an issued key but a
                wrong signature, or is not one that callers may choose.
        """
        if key is None:
            return await self._run_under_new_key(build, digest)
        if keys.is_issued(key):
            home = Home.from_issued(self._issuer.verify(key))
            return key, await self._run_or_relay(build(key), digest, home)
        work = build("")
        name = keys.chosen_name(work.team, key)
        if work.idempotent:
            # Idempotent work may run twice, so it needs no claim.
            _, outcome = await self._run_under_new_key(build, digest)
            return key, outcome
        if self._dispatcher.stopping:
            return key, outcomes.NotRun(
                outcomes.Cause.STOPPING, "this entry is stopping", 0.0
            )
        try:
            claim = await self._claim_store.claim(
                name,
                not_before_ms=max(
                    work.deadline_ms + _LATE_ANSWER_MS,
                    self._ledger.forgotten_ms + 1,
                ),
            )
        except errors.PlatformError as error:
            return key, outcomes.NotRun(
                outcomes.Cause.PLATFORM_DOWN, str(error), _PLATFORM_RETRY_S
            )
        home = Home(name, claim.incarnation, claim.expiry_ms)
        return key, await self._run_or_relay(build(name), digest, home)

    async def _run_under_new_key(
        self, build: Callable[[str], work_module.Work], digest: str
    ) -> tuple[str, outcomes.Outcome]:
        """Runs work here under a new key that callers may not submit again."""
        issued = self._issuer.issue(
            not_before_ms=build("").deadline_ms + _LATE_ANSWER_MS, held=False
        )
        outcome = await self._dispatcher.dispatch(
            build(issued.text),
            digest=digest,
            expiry_ms=issued.expiry_ms,
            remember=False,
        )
        return issued.text, outcome

    async def status(
        self, key: str, *, team: str | None = None, cancel: bool = False
    ) -> outcomes.Outcome | None:
        """Returns the current outcome of a key, or None while it has none.

        Args:
            key: The key in the form that callers use.
            team: Team that chose the key; not needed for issued keys.
            cancel: Whether to cancel the work.

        Raises:
            KeyInvalidError: If the key is neither an issued key with a valid
                signature nor one that a team may choose.
        """
        if keys.is_issued(key):
            home = Home.from_issued(self._issuer.verify(key))
        elif team is None:
            raise errors.KeyInvalidError(
                "a key that was not issued requires the team parameter",
                step="find key",
            )
        else:
            name = keys.chosen_name(team, key)
            try:
                claim = await self._claim_store.find(name)
            except errors.PlatformError as error:
                retry_at_ms = self._clock.wall_ms() + int(
                    _PLATFORM_RETRY_S * 1000
                )
                return outcomes.Unknown(
                    outcomes.Cause.PLATFORM_DOWN, str(error), retry_at_ms
                )
            if claim is None:
                return outcomes.Unknown(
                    outcomes.Cause.NOT_FOUND, "no work is known under this key"
                )
            home = Home(name, claim.incarnation, claim.expiry_ms)
        if home.incarnation == self._incarnation:
            return self._local_status(home, cancel=cancel)
        return await self._query_home(
            home,
            lambda message_id: messages.StatusQuery(
                message_id, home.name, cancel
            ),
            digest=None,
            timeout_s=_RELAY_GRACE_S,
        )

    def receive(self, link: links.Link, message: messages.Message) -> None:
        """Handles a peer's relay request or status query."""
        match message:
            case messages.RelayRequest():
                task = asyncio.create_task(
                    self._run_relayed(link, message), name=f"relay {message.id}"
                )
                self._relays.add(task)
                task.add_done_callback(self._relays.discard)
            case messages.StatusQuery(id=message_id, key=name, cancel=cancel):
                outcome = self._local_status(
                    self._home_of(name, 0), cancel=cancel
                )
                pending = outcomes.Unknown(
                    outcomes.Cause.DEADLINE,
                    "the work is still running",
                    ask_again_at_ms=self._clock.wall_ms(),
                )
                self._send_reply(link, message_id, outcome or pending)
            case _:
                return

    async def _run_relayed(
        self, link: links.Link, message: messages.RelayRequest
    ) -> None:
        work = message.work
        match message.purpose:
            case messages.Purpose.HOME:
                home = self._home_of(work.key, message.expiry_ms)
                outcome = await self._run_at_home(work, message.digest, home)
            case messages.Purpose.SPILL:
                outcome = await self._dispatcher.dispatch(
                    work,
                    digest=message.digest,
                    expiry_ms=message.expiry_ms,
                    remember=False,
                    spilled=True,
                )
        self._send_reply(link, message.id, outcome)

    def _send_reply(
        self, link: links.Link, message_id: int, outcome: outcomes.Outcome
    ) -> None:
        try:
            link.send(messages.RelayReply(message_id, outcome))
        except errors.PeerError as error:
            log.problem(
                "reply to a peer not sent",
                step=error.step,
                peer=error.peer,
                error=str(error),
            )

    def _home_of(self, name: str, expiry_ms: int) -> Home:
        """Returns the home of a key in a message from a peer.

        A chosen key has its home here, by the claim that the peer has read. An
        issued key names its own home. If that is another incarnation, or the
        signature is wrong, the peer gets no information about the key.
        """
        if not keys.is_issued(name):
            return Home(name, self._incarnation, expiry_ms)
        try:
            return Home.from_issued(self._issuer.verify(name))
        except errors.KeyInvalidError:
            return Home(name, "", expiry_ms)

    async def _run_or_relay(
        self, work: work_module.Work, digest: str, home: Home
    ) -> outcomes.Outcome:
        if home.incarnation == self._incarnation:
            return await self._run_at_home(work, digest, home)
        remaining_s = (work.deadline_ms - self._clock.wall_ms()) / 1_000
        return await self._query_home(
            home,
            lambda message_id: messages.RelayRequest(
                message_id, messages.Purpose.HOME, work, digest, home.expiry_ms
            ),
            digest=digest,
            timeout_s=max(0.0, remaining_s) + _RELAY_GRACE_S,
        )

    async def _run_at_home(
        self, work: work_module.Work, digest: str, home: Home
    ) -> outcomes.Outcome:
        if home.incarnation != self._incarnation:
            return outcomes.Unknown(
                outcomes.Cause.NOT_FOUND, "this entry is not the key's home"
            )
        if self._clock.wall_ms() >= home.expiry_ms:
            return outcomes.Unknown(
                outcomes.Cause.KEY_EXPIRED, "the key has expired"
            )
        if not home.held and self._ledger.find(home.name) is None:
            # The ledger drops the record of such a key with its answer.
            return outcomes.Unknown(
                outcomes.Cause.NOT_FOUND, "the key is no longer kept"
            )
        return await self._dispatcher.dispatch(
            work, digest=digest, expiry_ms=home.expiry_ms, remember=True
        )

    async def _query_home(
        self,
        home: Home,
        question: Callable[[int], messages.Question],
        *,
        digest: str | None,
        timeout_s: float,
    ) -> outcomes.Outcome:
        """Asks the home on its peer stream, or else reads its hand-off."""
        link = self._mesh.find(home.incarnation)
        cause = outcomes.Cause.HOME_UNREACHABLE
        if link is not None:
            try:
                reply = await link.ask(question, timeout_s=timeout_s)
            except errors.PeerNotSentError:
                pass
            except errors.PeerError:
                cause = outcomes.Cause.HOME_LOST
            else:
                match reply:
                    case messages.RelayReply(outcome=outcome):
                        return outcome
                    case _:
                        cause = outcomes.Cause.HOME_LOST
        return await self._outcome_without_home(home, cause, digest)

    def _local_status(
        self, home: Home, *, cancel: bool
    ) -> outcomes.Outcome | None:
        expires = bool(home.expiry_ms)
        if expires and self._clock.wall_ms() >= home.expiry_ms:
            return outcomes.Unknown(
                outcomes.Cause.KEY_EXPIRED, "the key has expired"
            )
        if cancel:
            blocks_later_work = expires and home.held
            self._dispatcher.cancel(
                home.name,
                expiry_ms=home.expiry_ms if blocks_later_work else None,
            )
        return self._dispatcher.outcome(home.name)

    async def _outcome_without_home(
        self, home: Home, cause: outcomes.Cause, digest: str | None
    ) -> outcomes.Outcome:
        """Returns what is known of a key whose home cannot be asked.

        The hand-off of a home that stopped decides. Without one, the outcome
        stays unknown until the key has expired by every clock.
        """
        expired_everywhere_ms = home.expiry_ms + self._clock_skew_ms
        if home.held and self._clock.wall_ms() < home.expiry_ms:
            handoff = await self._handoff_store.find(home.incarnation)
            if handoff is not None:
                return handoff.answer(
                    home.name, digest=digest, expiry_ms=home.expiry_ms
                )
        if self._clock.wall_ms() >= expired_everywhere_ms:
            return outcomes.Unknown(
                outcomes.Cause.KEY_EXPIRED, "the home of the key is gone"
            )
        return outcomes.Unknown(
            cause,
            "the home of the key cannot be reached",
            ask_again_at_ms=expired_everywhere_ms,
        )
