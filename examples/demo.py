"""Runs a small fleet, serves work, kills an entry and prints what happened."""

import asyncio
import collections
import time

import aiohttp

from standins import fleet as fleets

_TASKS = 1_100


async def _post(
    session: aiohttp.ClientSession, url: str, body: dict, key: str | None = None
) -> tuple[int, dict]:
    headers = {"Idempotency-Key": key} if key else {}
    async with session.post(url, json=body, headers=headers) as answer:
        return answer.status, await answer.json(content_type=None)


async def _lookups(session: aiohttp.ClientSession, url: str) -> None:
    began = time.monotonic()
    body = {
        "team": "storefront",
        "kind": "lookup",
        "idempotent": True,
        "payload": {"sleep_ms": 50, "value": "castle 6080"},
    }
    answers = await asyncio.gather(
        *(_post(session, f"{url}/v1/requests", body) for _ in range(40))
    )
    statuses = collections.Counter(status for status, _ in answers)
    print(f"40 lookups: {dict(statuses)} in {time.monotonic() - began:.2f} s")


async def _checkout(session: aiohttp.ClientSession, url: str) -> None:
    async with session.post(f"{url}/v1/keys", json={"count": 1}) as answer:
        key = (await answer.json())["keys"][0]
    body = {
        "team": "storefront",
        "kind": "checkout",
        "payload": {"sleep_ms": 80, "value": "charged"},
    }
    for attempt in ("first", "resubmitted"):
        status, outcome = await _post(
            session, f"{url}/v1/requests", body, key=key
        )
        print(f"checkout, {attempt}: {status} {outcome['answers']}")


async def _submission(
    session: aiohttp.ClientSession, url: str, tasks: int
) -> None:
    body = {
        "team": "estates",
        "kind": "appraisal",
        "tasks": [
            {"payload": {"sleep_ms": 50, "value": str(n)}} for n in range(tasks)
        ],
    }
    began = time.monotonic()
    status, outcome = await _post(session, f"{url}/v1/submissions", body)
    whole = [a["value"] for a in outcome.get("answers", [])] == [
        str(n) for n in range(tasks)
    ]
    print(
        f"submission of {tasks} tasks: {status} {outcome['outcome']},"
        f" whole: {whole}, {time.monotonic() - began:.2f} s"
    )


async def main() -> None:
    """Runs the demo."""
    async with fleets.Fleet.open() as fleet, aiohttp.ClientSession() as session:
        urls = [process.url for process in fleet.entries.values()]
        print(f"{len(urls)} entries, {len(fleet.endpoints)} endpoints ready")
        await _lookups(session, urls[0])
        await _checkout(session, urls[1])
        await _submission(session, urls[2], _TASKS)
        starts = await fleet.starts()
        twice = sum(1 for count in starts.values() if count > 1)
        print(f"endpoints ran {len(starts)} tasks, {twice} of them twice")


if __name__ == "__main__":
    asyncio.run(main())
