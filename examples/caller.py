"""Uses the client library with a small fleet, one entry of which is killed."""

import asyncio

from sesameroad.caller import client as client_module
from sesameroad.model import outcomes
from standins import fleet as fleet_module


def _describe(answer: client_module.Answer) -> str:
    match answer.outcome:
        case outcomes.Complete(answers=answers):
            return (
                f"complete after {answer.sends} sends: {len(answers)} answers"
            )
        case outcomes.NotRun(cause=cause):
            return f"not run ({cause.value}); safe to retry"
        case outcomes.Failed(cause=cause, may_have_run=may_have_run):
            return f"failed ({cause.value}), may have run: {may_have_run}"
        case outcomes.Unknown(cause=cause, ask_again_at_ms=at_ms):
            return f"unknown ({cause.value}), ask again at {at_ms}"


async def main() -> None:
    """Runs the example."""
    async with fleet_module.Fleet.open(data_centres=2) as fleet:
        urls = [process.url for process in fleet.entries.values()]
        async with client_module.Client.open(urls, team="storefront") as client:
            charge = {"sleep_ms": 80, "value": "charged"}
            print(
                "checkout:", _describe(await client.request("checkout", charge))
            )
            answer = await client.submission(
                "appraisal", [{"sleep_ms": 10}] * 200, timeout_ms=60_000
            )
            print("submission:", _describe(answer))
            slow = {"sleep_ms": 400, "value": "charged"}
            pending = [
                asyncio.create_task(client.request("checkout", slow))
                for _ in range(4)
            ]
            await asyncio.sleep(0.1)
            fleet.entries["dc1-entry1"].kill()
            for answer in await asyncio.gather(*pending):
                print("checkout, entry killed:", _describe(answer))
            answer = await client.request("checkout", charge)
            print("checkout, after the kill:", _describe(answer))
        starts = await fleet.starts()
        print(f"tasks run twice: {sum(n > 1 for n in starts.values())}")


if __name__ == "__main__":
    asyncio.run(main())
