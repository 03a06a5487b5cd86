"""Measures throughput and latency of claims, grouped and one by one.

Both variants run against the stand-in of the store, whose writes take 4 ms. The
baseline sends each claim in a separate call, with at most 32 calls in flight.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import subprocess
import sys
import time

from sesameroad.model import clocks
from sesameroad.ownership import claims
from sesameroad.ownership import keys
from sesameroad.platform import platform_client
from sesameroad.platform import row_store
from sesameroad.platform import table as table_module
from standins import fleet

_MEASUREMENT_S = 3.0
_BASELINE_CALLS = 32
_CONCURRENCY = (1, 10, 100, 1_000)


def _claim_store(table: table_module.Table) -> claims.ClaimStore:
    return claims.ClaimStore(
        table=table,
        clock=clocks.Clock(),
        incarnation=keys.new_incarnation(),
        data_centre="dc1",
        lifetime_ms=120_000,
    )


def _claim_one_by_one(
    table: table_module.Table,
) -> Callable[[str], Awaitable[object]]:
    semaphore = asyncio.Semaphore(_BASELINE_CALLS)

    async def claim(name: str) -> object:
        async with semaphore:
            write = table_module.Write(
                f"claims/{name}", table_module.ABSENT, "x" * 160
            )
            return await table.write([write], step="claim")

    return claim


async def _measure(
    claim: Callable[[str], Awaitable[object]], concurrency: int, label: str
) -> None:
    latencies_s: list[float] = []
    numbers = itertools.count()
    end = time.monotonic() + _MEASUREMENT_S

    async def caller() -> None:
        while time.monotonic() < end:
            began = time.monotonic()
            await claim(f"{label}-{concurrency}/{next(numbers)}")
            latencies_s.append(time.monotonic() - began)

    processor_s = time.process_time()
    await asyncio.gather(*(caller() for _ in range(concurrency)))
    processor_s = time.process_time() - processor_s
    latencies_s.sort()
    print(
        f"{label:8} {concurrency:5} callers: {len(latencies_s) / _MEASUREMENT_S:7.0f}/s, "
        f"median {latencies_s[len(latencies_s) // 2] * 1e3:6.1f} ms, "
        f"p99 {latencies_s[len(latencies_s) * 99 // 100] * 1e3:6.1f} ms, "
        f"{processor_s / len(latencies_s) * 1e6:5.0f} us processor time each"
    )


async def _run(url: str) -> None:
    client = platform_client.PlatformClient.open(url, timeout_s=2.0)
    table = table_module.Table(row_store.RowStore(client))
    # Waits until the stand-in accepts connections.
    for _ in range(100):
        try:
            await table.read(["claims/none"], step="wait")
            break
        except Exception:
            await asyncio.sleep(0.1)
    for concurrency in _CONCURRENCY:
        await _measure(_claim_one_by_one(table), concurrency, "single")
        await _measure(_claim_store(table).claim, concurrency, "grouped")
    await client.close()


def main() -> None:
    """Starts the stand-in of the store and measures both variants."""
    port = fleet.free_port()
    store = subprocess.Popen(
        [sys.executable, "-m", "standins.store", f"--store_port={port}"]
    )
    try:
        asyncio.run(_run(f"http://127.0.0.1:{port}"))
    finally:
        store.kill()
        store.wait()


if __name__ == "__main__":
    main()
