"""Client for callers that sends work so that it runs at most once."""

import asyncio
from collections.abc import Sequence
import dataclasses
import random
from typing import Any
from typing import Self

import aiohttp
import msgspec

from sesameroad import errors
from sesameroad.caller import key_pool
from sesameroad.caller import retry_budget
from sesameroad.model import clocks
from sesameroad.model import needs
from sesameroad.model import outcomes
from sesameroad.model import strict_json

_KEY_HEADER = "Idempotency-Key"
_PROBLEM_CONTENT_TYPE = "application/problem+json"
_CONNECT_TIMEOUT_S = 1.0
# An entry answers by the deadline of the work; an answer that another entry
# relays arrives up to one second later.
_ANSWER_GRACE_S = 3.0
_FETCH_TIMEOUT_S = 2.0
_FIRST_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 2.0
_ASK_AGAIN_DELAY_MS = 1_000
_STATUS_OK = 200
_STATUS_PENDING = 202
_STATUS_INTERNAL_ERROR = 500

# Causes for which a retry cannot succeed.
_FINAL_CAUSES = {
    outcomes.Cause.INVALID,
    outcomes.Cause.KEY_REUSED,
    outcomes.Cause.CANCELLED,
    outcomes.Cause.NO_ENDPOINT,
    outcomes.Cause.ENDPOINT_MISSING,
}
# Causes that the receiving entry may give before it looks up the home of the
# key. Such a refusal applies to the last attempt only: an earlier send of the
# same key may still be running.
_ATTEMPT_CAUSES = {
    outcomes.Cause.INVALID,
    outcomes.Cause.NO_ENDPOINT,
    outcomes.Cause.ENDPOINT_MISSING,
    outcomes.Cause.PLATFORM_DOWN,
}


@dataclasses.dataclass(slots=True, frozen=True)
class Options:
    """Options of a client.

    Attributes:
        max_sends: Maximum sends of one request or submission, including the
            first.
        retry_ratio: Retries allowed per first send of the client.
        unknown_wait_s: Seconds after the deadline of the work during which the
            client still queries an unknown outcome.
    """

    max_sends: int = 5
    retry_ratio: float = 0.1
    unknown_wait_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """Result of a request or submission.

    Attributes:
        outcome: The outcome.
        key: Key of the last send, empty if the work was never sent.
        sends: Number of sends under all keys.
    """

    outcome: outcomes.Outcome
    key: str = ""
    sends: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class _NotSent:
    """The connection failed before any byte of the request was sent."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class _NoOutcome:
    """The request may have arrived, but no outcome was received."""

    detail: str


_Reply = outcomes.Outcome | _NotSent | _NoOutcome


class Client:
    """Sends work to one of several entries and returns typed outcomes."""

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
        """Returns a client with its own HTTP session.

        Args:
            urls: Base URLs of entries, or of a load balancer in front of them.
                With two or more URLs the client continues when an entry fails.
            team: Team that the work is charged to.
            options: Options of the client.
        """
        # aiohttp resends requests with an idempotent method when a kept-alive
        # connection turns out to be closed. Work is sent by POST, which aiohttp
        # never resends.
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
        """Closes the HTTP session and its connections."""
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
        """Sends a request with a single task.

        Args:
            kind: Kind of work.
            payload: Input for the endpoint; any value that JSON can encode.
            timeout_ms: Time after which the caller no longer needs the answer.
            idempotent: Whether the task may safely run more than once.
            need: Resources that the task needs.
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
        """Sends a submission of up to 1,100 tasks, one per payload."""
        body = {
            "team": self._team,
            "kind": kind,
            "tasks": [{"payload": payload} for payload in payloads],
        }
        return await self._run("/v1/submissions", body, timeout_ms)

    async def ask(self, key: str) -> outcomes.Outcome:
        """Returns the outcome of a key as currently known."""
        return await self._query(key, "GET")

    async def cancel(self, key: str) -> outcomes.Outcome:
        """Cancels the work of a key; tasks that have started run to the end."""
        return await self._query(key, "DELETE")

    async def _run(
        self, path: str, body: dict[str, Any], timeout_ms: int
    ) -> Answer:
        """Sends work until its outcome is known or the limits are reached."""
        deadline = self._clock.monotonic() + timeout_ms / 1_000
        key: key_pool.Key | None = None
        content = b""
        # Whether a send under the current key may have reached an entry.
        may_have_arrived = False
        sends = 0
        backoff_s = _FIRST_BACKOFF_S
        answer = Answer(
            outcomes.NotRun(
                outcomes.Cause.HOME_UNREACHABLE, "no entry issued a key"
            )
        )
        while True:
            remaining_s = deadline - self._clock.monotonic()
            if remaining_s <= 0 or sends >= self._options.max_sends:
                break
            if sends == 0:
                self._budget.record_first_send()
            elif not self._budget.take_retry():
                break
            if key is None:
                key = await self._keys.take()
                if key is None:
                    break
                may_have_arrived = False
                url = key.url
                # The home refuses a different body under the same key, so all
                # sends of a key use the same encoded body.
                timeout = max(1, round(remaining_s * 1_000))
                content = msgspec.json.encode({**body, "timeout_ms": timeout})
            else:
                url = random.choice(self._urls)
            reply = await self._send(url, path, content, key.text, remaining_s)
            sends += 1
            sent_key = key.text
            wait_s = backoff_s * random.uniform(0.5, 1.5)
            match reply:
                case outcomes.Complete() | outcomes.Failed():
                    return Answer(reply, sent_key, sends)
                case _NotSent(detail=detail) if not may_have_arrived:
                    self._keys.discard(url)
                    outcome = outcomes.NotRun(
                        outcomes.Cause.HOME_UNREACHABLE, detail
                    )
                    key = None
                case _NotSent(detail=detail) | _NoOutcome(detail=detail):
                    may_have_arrived = True
                    outcome = self._unknown_outcome(detail)
                case outcomes.NotRun(cause=cause) if (
                    may_have_arrived and cause in _ATTEMPT_CAUSES
                ):
                    outcome = self._unknown_outcome(reply.detail)
                case outcomes.NotRun(cause=cause) if cause in _FINAL_CAUSES:
                    return Answer(reply, sent_key, sends)
                case outcomes.NotRun(retry_after_s=retry_after_s):
                    outcome = reply
                    wait_s += (retry_after_s or 0.0) * random.uniform(1.0, 1.5)
                    key = None
                case outcomes.Unknown(
                    cause=outcomes.Cause.HOME_UNREACHABLE
                ) if not may_have_arrived:
                    # The entry did not forward the work, and no earlier send
                    # can have arrived, so nothing runs under this key.
                    self._keys.discard(key.url)
                    outcome = outcomes.NotRun(reply.cause, reply.detail)
                    key = None
                case outcomes.Unknown():
                    answer = Answer(reply, sent_key, sends)
                    break
            answer = Answer(outcome, sent_key, sends)
            if self._clock.monotonic() + wait_s >= deadline:
                break
            await asyncio.sleep(wait_s)
            backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)
        final_outcome = await self._await_outcome(answer, deadline)
        return dataclasses.replace(answer, outcome=final_outcome)

    async def _await_outcome(
        self, answer: Answer, deadline: float
    ) -> outcomes.Outcome:
        """Queries an unknown outcome at the times that the entries suggest.

        Stops when the outcome is known, when no time is suggested, or when the
        wait would exceed `unknown_wait_s` after the deadline.
        """
        wait_until = deadline + self._options.unknown_wait_s
        outcome = answer.outcome
        while True:
            match outcome:
                case outcomes.Unknown(ask_again_at_ms=int() as ask_at_ms):
                    wait_s = max(
                        _FIRST_BACKOFF_S,
                        (ask_at_ms - self._clock.wall_ms()) / 1_000,
                    ) * random.uniform(1.0, 1.1)
                case _:
                    return outcome
            if self._clock.monotonic() + wait_s > wait_until:
                return outcome
            await asyncio.sleep(wait_s)
            outcome = await self.ask(answer.key)

    async def _query(self, key: str, method: str) -> outcomes.Outcome:
        detail = ""
        for url in random.sample(self._urls, len(self._urls)):
            reply = await self._call(
                method, f"{url}/v1/keys/{key}", None, "", _FETCH_TIMEOUT_S
            )
            match reply:
                case _NotSent(detail=detail) | _NoOutcome(detail=detail):
                    continue
                case outcome:
                    return outcome
        return outcomes.Unknown(
            outcomes.Cause.HOME_UNREACHABLE,
            f"no entry answered: {detail}",
            ask_again_at_ms=self._clock.wall_ms() + _ASK_AGAIN_DELAY_MS,
        )

    async def _send(
        self, url: str, path: str, content: bytes, key: str, remaining_s: float
    ) -> _Reply:
        return await self._call(
            "POST", url + path, content, key, remaining_s + _ANSWER_GRACE_S
        )

    async def _call(
        self,
        method: str,
        url: str,
        content: bytes | None,
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
                data=content,
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
            return _NoOutcome(f"{type(error).__name__}: {error}")
        return _decode(answer, body, self._clock.wall_ms())

    async def _fetch_keys(self, url: str, count: int) -> list[str]:
        try:
            async with self._session.post(
                f"{url}/v1/keys",
                json={"count": count},
                timeout=aiohttp.ClientTimeout(total=_FETCH_TIMEOUT_S),
            ) as answer:
                body = await answer.read()
            return strict_json.decode(body, dict[str, list[str]])["keys"]
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            errors.MalformedError,
            KeyError,
        ):
            return []

    def _unknown_outcome(self, detail: str) -> outcomes.Unknown:
        """Returns the outcome of work of which a send may have arrived."""
        return outcomes.Unknown(
            outcomes.Cause.HOME_LOST,
            detail,
            ask_again_at_ms=self._clock.wall_ms() + _ASK_AGAIN_DELAY_MS,
        )


@dataclasses.dataclass(slots=True, frozen=True)
class _Body:
    outcome: str
    answers: list[msgspec.Raw] = dataclasses.field(default_factory=list)
    cause: str = ""
    detail: str = ""
    may_have_run: bool = True
    ask_again_at_ms: int | None = None


def _decode(
    answer: aiohttp.ClientResponse, content: bytes, now_ms: int
) -> _Reply:
    """Decodes an HTTP answer into an outcome.

    An answer without an outcome, for example from a load balancer, does not
    tell whether the work was received.
    """
    status = answer.status
    try:
        body = strict_json.decode(content, _Body)
    except errors.MalformedError:
        return _NoOutcome(f"status {status} without an outcome")
    if status == _STATUS_OK and body.outcome == "complete":
        return outcomes.Complete(tuple(bytes(a) for a in body.answers))
    if status == _STATUS_PENDING:
        return outcomes.Unknown(
            outcomes.Cause.DEADLINE,
            "the work is still running",
            ask_again_at_ms=now_ms + _ASK_AGAIN_DELAY_MS,
        )
    if (
        answer.content_type != _PROBLEM_CONTENT_TYPE
        or status == _STATUS_INTERNAL_ERROR
    ):
        return _NoOutcome(f"status {status} without an outcome")
    try:
        cause = outcomes.Cause(body.cause)
    except ValueError:
        return _NoOutcome(f"status {status} with unknown cause {body.cause!r}")
    match body.outcome:
        case "not run":
            return outcomes.NotRun(cause, body.detail, _retry_after_s(answer))
        case "failed":
            return outcomes.Failed(cause, body.detail, body.may_have_run)
        case _:
            return outcomes.Unknown(cause, body.detail, body.ask_again_at_ms)


def _retry_after_s(answer: aiohttp.ClientResponse) -> float | None:
    value = answer.headers.get("Retry-After", "")
    return float(value) if value.isdecimal() else None
