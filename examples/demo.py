"""Starts a small fleet, sends work, kills an entry and prints the results."""

import asyncio
import collections
import dataclasses
import time
from typing import Any
from typing import Self

import aiohttp

from standins import fleet as fleet_module

_TASKS = 1_100
_LOOKUPS = 40
_SECONDS_BEFORE_KILL = 0.5


@dataclasses.dataclass(slots=True)
class Answer:
    """HTTP answer to a caller."""

    status: int
    body: dict[str, Any]
    seconds: float

    @property
    def summary(self) -> str:
        """The answer as one readable line."""
        text = f"{self.status} {self.body.get('outcome', '')}"
        if "cause" in self.body:
            text += f" ({self.body['cause']}: {self.body['detail']})"
        return f"{text}, {self.seconds:.2f} s"


class Caller:
    """Posts JSON to entries and queries their operator routes."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    @classmethod
    def from_session(cls, session: aiohttp.ClientSession) -> Self:
        """Returns a caller that uses the session."""
        return cls(session)

    async def post(
        self, url: str, body: dict[str, Any], *, key: str | None = None
    ) -> Answer:
        """Posts a body, with an idempotency key if one is given."""
        headers = {"Idempotency-Key": key} if key else {}
        started = time.monotonic()
        async with self._session.post(url, json=body, headers=headers) as http:
            content = await http.json(content_type=None)
        return Answer(http.status, content, time.monotonic() - started)

    async def command(
        self, url: str, text: str, *, token: str
    ) -> dict[str, Any]:
        """Sends an operator command and returns the body of the answer."""
        async with self._session.post(
            f"{url}/v1/operator/commands",
            json={"command": text},
            headers={"Authorization": f"Bearer {token}"},
        ) as http:
            return await http.json(content_type=None)

    async def burn(self, url: str) -> list[dict[str, Any]]:
        """Returns the rows of the burn-rate report."""
        async with self._session.get(
            f"{url}/v1/operator/burn",
            headers={
                "Authorization": f"Bearer {fleet_module.OPERATIONS_TOKEN}"
            },
        ) as http:
            body = await http.json(content_type=None)
        return body["rows"]

    async def take_key(self, url: str) -> str:
        """Returns a key whose home is the entry at the URL."""
        answer = await self.post(f"{url}/v1/keys", {"count": 1})
        return answer.body["keys"][0]


def _submission(tasks: int, sleep_ms: int) -> dict[str, Any]:
    return {
        "team": "estates",
        "kind": "appraisal",
        "tasks": [
            {"payload": {"sleep_ms": sleep_ms, "value": str(number)}}
            for number in range(tasks)
        ],
    }


async def _serve_lookups(caller: Caller, urls: list[str]) -> None:
    body = {
        "team": "storefront",
        "kind": "lookup",
        "idempotent": True,
        "payload": {"sleep_ms": 50, "value": "castle 6080"},
    }
    answers = await asyncio.gather(
        *(
            caller.post(f"{urls[number % len(urls)]}/v1/requests", body)
            for number in range(_LOOKUPS)
        )
    )
    statuses = collections.Counter(answer.status for answer in answers)
    slowest = max(answer.seconds for answer in answers)
    print(f"{_LOOKUPS} lookups: {dict(statuses)}, slowest {slowest:.2f} s")


async def _serve_checkout(caller: Caller, urls: list[str]) -> None:
    """Sends one checkout to two entries with one key; it must run once."""
    body = {
        "team": "storefront",
        "kind": "checkout",
        "payload": {"sleep_ms": 80, "value": "charged"},
    }
    key = await caller.take_key(urls[0])
    for url in (urls[0], urls[-1]):
        answer = await caller.post(f"{url}/v1/requests", body, key=key)
        print(f"checkout: {answer.summary}")
    answer = await caller.post(f"{urls[1]}/v1/requests", body, key="order-7261")
    print(f"checkout under the caller's own key: {answer.summary}")


async def _serve_submission(caller: Caller, url: str) -> None:
    answer = await caller.post(f"{url}/v1/submissions", _submission(_TASKS, 50))
    values = [item["value"] for item in answer.body.get("answers", [])]
    in_order = values == [str(number) for number in range(_TASKS)]
    print(
        f"submission of {_TASKS} tasks: {answer.summary}, complete and in"
        f" order: {in_order}"
    )


async def _show_refusals(caller: Caller, url: str) -> None:
    unknown_kind = {"team": "storefront", "kind": "mining", "payload": {}}
    answer = await caller.post(f"{url}/v1/requests", unknown_kind)
    print(f"unknown kind: {answer.summary}")
    too_large = {
        "team": "storefront",
        "kind": "lookup",
        "payload": {},
        "need": {"accelerators": 9},
    }
    answer = await caller.post(f"{url}/v1/requests", too_large)
    print(f"request that no endpoint can run: {answer.summary}")
    answer = await caller.post(
        f"{url}/v1/submissions", _submission(_TASKS + 1, 1)
    )
    print(f"submission of {_TASKS + 1} tasks: {answer.summary}")


async def _kill_entry(caller: Caller, fleet: fleet_module.Fleet) -> None:
    """Kills an entry while it runs a job and sends the job to another entry."""
    names = list(fleet.entries)
    killed = fleet.entries[names[-1]]
    other = fleet.entries[names[0]]
    key = await caller.take_key(killed.url)
    job = asyncio.create_task(
        caller.post(
            f"{killed.url}/v1/submissions", _submission(200, 100), key=key
        )
    )
    await asyncio.sleep(_SECONDS_BEFORE_KILL)
    killed.kill()
    try:
        await job
    except aiohttp.ClientError as error:
        print(f"killed {killed.name}: its caller got {type(error).__name__}")
    answer = await caller.post(
        f"{other.url}/v1/submissions", _submission(200, 100), key=key
    )
    print(f"the same job at {other.name}: {answer.summary}")


async def _race_operators(caller: Caller, urls: list[str]) -> None:
    """Sends two changes of one version at once; one of them must be refused."""
    answers = await asyncio.gather(
        caller.command(
            urls[0],
            "set kind lookup share 5 if version 0",
            token=fleet_module.PRODUCT_TOKEN,
        ),
        caller.command(
            urls[1],
            "set team estates quota 150 if version 0",
            token=fleet_module.OPERATIONS_TOKEN,
        ),
    )
    for name, answer in zip(("product", "operations"), answers, strict=True):
        text = f"refused: {answer['detail']}" if "detail" in answer else "done"
        print(f"{name} operator: {text}")


async def _report_burn(caller: Caller, url: str) -> None:
    print("burn-rate report:")
    for row in await caller.burn(url):
        rates = " ".join(f"{k}={v}" for k, v in row["rates"].items())
        print(
            f"  {row['scope']} {row['name']}: {row['answers']} answers,"
            f" {row['bad']} bad, burn {rates}, alert {row['alert']},"
            f" causes {row['causes']}"
        )


async def main() -> None:
    """Runs the demo."""
    async with (
        fleet_module.Fleet.open(entries_each=2) as fleet,
        aiohttp.ClientSession() as session,
    ):
        caller = Caller.from_session(session)
        urls = [process.url for process in fleet.entries.values()]
        print(f"{len(urls)} entries, {len(fleet.endpoints)} endpoints ready")
        await _serve_lookups(caller, urls)
        await _serve_checkout(caller, urls)
        await _serve_submission(caller, urls[0])
        await _show_refusals(caller, urls[0])
        await _race_operators(caller, urls)
        await _kill_entry(caller, fleet)
        await _report_burn(caller, urls[0])
        starts = await fleet.starts()
        twice = sum(1 for count in starts.values() if count > 1)
        print(f"endpoints ran {len(starts)} tasks, {twice} of them twice")


if __name__ == "__main__":
    asyncio.run(main())
