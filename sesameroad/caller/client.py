"""The callers' library: sends work so that it runs at most once."""

import asyncio
from collections.abc import Sequence
import dataclasses
import random
from typing import Any
from typing import Self

import aiohttp
import msgspec

from sesameroad.caller import key_pool
from sesameroad.caller import retry_budget
from sesameroad.model import clock as clocks
from sesameroad.model import need as needs
from sesameroad.model import outcome as outcomes

_KEY_HEADER = "Idempotency-Key"
_PROBLEM = "application/problem+json"
_CONNECT_TIMEOUT_S = 1.0
# An entry answers at the deadline of the work at the latest; a relayed answer
# comes up to a second later.
_ANSWER_GRACE_S = 3.0
_FETCH_TIMEOUT_S = 2.0
_FIRST_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 2.0
_ASK_AGAIN_MS = 1_000
_OK = 200
_PENDING = 202
_INTERNAL_ERROR = 500

# A new try cannot help.
_FINAL_CAUSES = {
    outcomes.Cause.INVALID,
    outcomes.Cause.KEY_REUSED,
    outcomes.Cause.CANCELLED,
    outcomes.Cause.NO_ENDPOINT,
    outcomes.Cause.ENDPOINT_MISSING,
}
# Given by the entry that was asked, before it knows the home of the key. Such a
# refusal speaks for one attempt and says nothing of earlier ones.
_ATTEMPT_CAUSES = {
    outcomes.Cause.INVALID,
    outcomes.Cause.NO_ENDPOINT,
    outcomes.Cause.ENDPOINT_MISSING,
    outcomes.Cause.PLATFORM_DOWN,
}


@dataclasses.dataclass(slots=True, frozen=True)
class Options:
    """How a client behaves.

    Attributes:
        max_sends: Sends of one piece of work, the first one included.
        retry_ratio: Retries allowed for each first send of the client.
        unknown_wait_s: Seconds past the deadline of the work for which an
            unknown outcome is asked for again.
    """

    max_sends: int = 5
    retry_ratio: float = 0.1
    unknown_wait_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """What became of a piece of work.

    Attributes:
        outcome: The outcome.
        key: The last key it was sent under, empty if it was never sent.
        sends: How often it was sent, under all of its keys.
    """

    outcome: outcomes.Outcome
    key: str = ""
    sends: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class _NotSent:
    """No byte of the request left this process."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class _Lost:
    """The request may have arrived, and no answer came."""

    detail: str


_Reply = outcomes.Outcome | _NotSent | _Lost


class Client:
    """Sends work to any of several entries and returns typed outcomes."""

    __slots__ = (
        "_budget",
        "_clock",
        "_keys",
        "_options",
        "_session",
        "_team",
        "_urls",
    )

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        urls: Sequence[str],
        team: str,
        options: Options,
        clock: clocks.Clock,
    ) -> None:
        self._session = session
        self._urls = tuple(url.rstrip("/") for url in urls)
        self._team = team
        self._options = options
        self._clock = clock
        self._budget = retry_budget.RetryBudget(ratio=options.retry_ratio)
        self._keys = key_pool.KeyPool(
            urls=self._urls, fetch=self._fetch_keys, clock=clock
        )

    @classmethod
    def open(
        cls, urls: Sequence[str], *, team: str, options: Options | None = None
    ) -> Self:
        """Returns a client with connections of its own.

        Args:
            urls: Base URLs of entries or of a balancer in front of them. With
                two or more, work goes on when an entry is lost.
            team: Team that pays for the work.
            options: How the client behaves.
        """
        # aiohttp resends idempotent methods by itself when a kept connection
        # turns out to be closed. Work is sent by POST, which it never resends.
        return cls(
            session=aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            ),
            urls=urls,
            team=team,
            options=options or Options(),
            clock=clocks.Clock(),
        )

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def request(
        self,
        kind: str,
        payload: Any,
        *,
        timeout_ms: int = 30_000,
        idempotent: bool = False,
        need: needs.Need | None = None,
    ) -> Answer:
        """Sends one call.

        Args:
            kind: Kind of work.
            payload: What the endpoint gets, as JSON types.
            timeout_ms: Time after which the answer is of no use.
            idempotent: Whether running it more than once does no harm.
            need: Resources that it needs.
        """
        body = {
            "team": self._team,
            "kind": kind,
            "payload": payload,
            "idempotent": idempotent,
            "need": need or needs.Need(),
        }
        return await self._run("/v1/requests", body, timeout_ms)

    async def submission(
        self, kind: str, payloads: Sequence[Any], *, timeout_ms: int = 300_000
    ) -> Answer:
        """Sends a job of up to 1,100 tasks, one for each payload."""
        body = {
            "team": self._team,
            "kind": kind,
            "tasks": [{"payload": payload} for payload in payloads],
        }
        return await self._run("/v1/submissions", body, timeout_ms)

    async def ask(self, key: str) -> outcomes.Outcome:
        """Returns the outcome of a key as far as it is known now."""
        return await self._ask(key, "GET")

    async def cancel(self, key: str) -> outcomes.Outcome:
        """Withdraws the work of a key; started tasks run to their end."""
        return await self._ask(key, "DELETE")

    async def _run(
        self, path: str, body: dict[str, Any], timeout_ms: int
    ) -> Answer:
        """Sends work until its outcome is known or nothing more may be done."""
        give_up_at = self._clock.monotonic() + timeout_ms / 1_000
        key: key_pool.Key | None = None
        text = b""
        # Whether a send under the present key may have arrived.
        in_doubt = False
        sends = 0
        backoff_s = _FIRST_BACKOFF_S
        answer = Answer(
            outcomes.NotRun(
                outcomes.Cause.HOME_UNREACHABLE, "no entry issues keys"
            )
        )
        while True:
            remaining_s = give_up_at - self._clock.monotonic()
            if remaining_s <= 0 or sends >= self._options.max_sends:
                break
            if sends == 0:
                self._budget.earn()
            elif not self._budget.spend():
                break
            if key is None:
                key = await self._keys.take()
                if key is None:
                    break
                in_doubt = False
                url = key.url
                # The home compares bodies under one key, so that the text stays
                # the same for all sends of the key.
                timeout = max(1, round(remaining_s * 1_000))
                text = msgspec.json.encode({**body, "timeout_ms": timeout})
            else:
                url = random.choice(self._urls)
            reply = await self._send(url, path, text, key.text, remaining_s)
            sends += 1
            sent_key = key.text
            wait_s = backoff_s * random.uniform(0.5, 1.5)
            match reply:
                case outcomes.Complete() | outcomes.Failed():
                    return Answer(reply, sent_key, sends)
                case _NotSent(detail=detail) if not in_doubt:
                    self._keys.forget(url)
                    outcome = outcomes.NotRun(
                        outcomes.Cause.HOME_UNREACHABLE, detail
                    )
                    key = None
                case _NotSent(detail=detail) | _Lost(detail=detail):
                    in_doubt = True
                    outcome = self._doubtful(detail)
                case outcomes.NotRun(cause=cause) if (
                    in_doubt and cause in _ATTEMPT_CAUSES
                ):
                    outcome = self._doubtful(reply.detail)
                case outcomes.NotRun(cause=cause) if cause in _FINAL_CAUSES:
                    return Answer(reply, sent_key, sends)
                case outcomes.NotRun(retry_after_s=after_s):
                    outcome = reply
                    wait_s += (after_s or 0.0) * random.uniform(1.0, 1.5)
                    key = None
                case outcomes.Unknown(
                    cause=outcomes.Cause.HOME_UNREACHABLE
                ) if not in_doubt:
                    # The work was not forwarded and was never sent before, so
                    # that nothing of it can run under this key.
                    self._keys.forget(key.url)
                    outcome = outcomes.NotRun(reply.cause, reply.detail)
                    key = None
                case outcomes.Unknown():
                    answer = Answer(reply, sent_key, sends)
                    break
            answer = Answer(outcome, sent_key, sends)
            if self._clock.monotonic() + wait_s >= give_up_at:
                break
            await asyncio.sleep(wait_s)
            backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)
        settled = await self._ask_again(answer, give_up_at)
        return dataclasses.replace(answer, outcome=settled)

    async def _ask_again(
        self, answer: Answer, give_up_at: float
    ) -> outcomes.Outcome:
        """Asks at the time that the entry named, within the time to wait."""
        stop_at = give_up_at + self._options.unknown_wait_s
        outcome = answer.outcome
        while True:
            match outcome:
                case outcomes.Unknown(ask_again_at_ms=int() as at_ms):
                    wait_s = max(
                        _FIRST_BACKOFF_S,
                        (at_ms - self._clock.wall_ms()) / 1_000,
                    ) * random.uniform(1.0, 1.1)
                case _:
                    return outcome
            if self._clock.monotonic() + wait_s > stop_at:
                return outcome
            await asyncio.sleep(wait_s)
            outcome = await self.ask(answer.key)

    async def _ask(self, key: str, method: str) -> outcomes.Outcome:
        detail = ""
        for url in random.sample(self._urls, len(self._urls)):
            reply = await self._call(
                method, f"{url}/v1/keys/{key}", None, "", _FETCH_TIMEOUT_S
            )
            match reply:
                case _NotSent(detail=detail) | _Lost(detail=detail):
                    continue
                case outcome:
                    return outcome
        return outcomes.Unknown(
            outcomes.Cause.HOME_UNREACHABLE,
            f"no entry answers: {detail}",
            ask_again_at_ms=self._clock.wall_ms() + _ASK_AGAIN_MS,
        )

    async def _send(
        self, url: str, path: str, text: bytes, key: str, remaining_s: float
    ) -> _Reply:
        return await self._call(
            "POST", url + path, text, key, remaining_s + _ANSWER_GRACE_S
        )

    async def _call(
        self,
        method: str,
        url: str,
        text: bytes | None,
        key: str,
        timeout_s: float,
    ) -> _Reply:
        headers = {"Content-Type": "application/json"}
        if key:
            headers[_KEY_HEADER] = key
        try:
            async with self._session.request(
                method,
                url,
                data=text,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=_CONNECT_TIMEOUT_S
                ),
                allow_redirects=False,
            ) as answer:
                body = await answer.read()
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return _NotSent(str(error))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return _Lost(f"{type(error).__name__}: {error}")
        return _decode(answer, body, self._clock.wall_ms())

    async def _fetch_keys(self, url: str, count: int) -> list[str]:
        try:
            async with self._session.post(
                f"{url}/v1/keys",
                json={"count": count},
                timeout=aiohttp.ClientTimeout(total=_FETCH_TIMEOUT_S),
            ) as answer:
                body = await answer.read()
            return msgspec.json.decode(body, type=dict[str, list[str]])["keys"]
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.MsgspecError,
            KeyError,
        ):
            return []

    def _doubtful(self, detail: str) -> outcomes.Unknown:
        """Says what is certain if a send may have arrived and none follows."""
        return outcomes.Unknown(
            outcomes.Cause.HOME_LOST,
            detail,
            ask_again_at_ms=self._clock.wall_ms() + _ASK_AGAIN_MS,
        )


@dataclasses.dataclass(slots=True, frozen=True)
class _Body:
    outcome: str
    answers: list[msgspec.Raw] = dataclasses.field(default_factory=list)
    cause: str = ""
    detail: str = ""
    may_have_run: bool = True
    ask_again_at_ms: int | None = None


def _decode(answer: aiohttp.ClientResponse, text: bytes, now_ms: int) -> _Reply:
    """Turns an HTTP answer into an outcome.

    An answer that no entry gave, for example one of a balancer, says nothing
    about the work.
    """
    status = answer.status
    try:
        body = msgspec.json.decode(text, type=_Body)
    except msgspec.MsgspecError:
        return _Lost(f"status {status} without an outcome")
    if status == _OK and body.outcome == "complete":
        return outcomes.Complete(tuple(bytes(a) for a in body.answers))
    if status == _PENDING:
        return outcomes.Unknown(
            outcomes.Cause.DEADLINE,
            "still being run",
            ask_again_at_ms=now_ms + _ASK_AGAIN_MS,
        )
    if answer.content_type != _PROBLEM or status == _INTERNAL_ERROR:
        return _Lost(f"status {status} without an outcome")
    try:
        cause = outcomes.Cause(body.cause)
    except ValueError:
        return _Lost(f"status {status} with unknown cause {body.cause!r}")
    match body.outcome:
        case "not run":
            return outcomes.NotRun(cause, body.detail, _retry_after_s(answer))
        case "failed":
            return outcomes.Failed(cause, body.detail, body.may_have_run)
        case _:
            return outcomes.Unknown(cause, body.detail, body.ask_again_at_ms)


def _retry_after_s(answer: aiohttp.ClientResponse) -> float | None:
    text = answer.headers.get("Retry-After", "")
    return float(text) if text.isdecimal() else None
