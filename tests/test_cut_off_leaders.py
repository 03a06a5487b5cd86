"""Tests of attempts at leaders that do not reach each other, in virtual time.

Not prevented (docs/design/attempts.md); listed in KNOWN-RED.txt. Each leader reaches
endpoints of its own and hears its origin.
"""

import asyncio
import contextlib
import dataclasses

from tests import _jobs
from tests import _virtual

_RUN_S = 3.0


class CutOffLeadersTest(_virtual.VirtualTimeTest):

    async def _run_at_both(self, *, returns_s, next_origin, moved):
        """Returns the tasks that ran twice at a time."""
        site = _jobs.Site(count=2)
        job = site.job(run_s=_RUN_S, deadline_s=9)
        site.links.cut.add("leader1")
        async with contextlib.AsyncExitStack() as stack:
            first = await stack.enter_async_context(site.leader(token=1))
            site.endpoints = []
            site.add("e2", 16.0)
            site.add("e3", 16.0)
            second = await stack.enter_async_context(site.leader(token=2))
            job = dataclasses.replace(job, accepted_at=site.clock.monotonic())
            former = asyncio.create_task(
                first.submit(dataclasses.replace(job, offer=1), site.origin)
            )
            await asyncio.sleep(returns_s)
            await second.submit(
                dataclasses.replace(job, offer=2), next_origin, moved=moved
            )
            await former
        return site.history.overlapping

    async def test_later_attempt_while_the_former_origin_lives(self):
        """Guards against a start beside the runs of the earlier attempt."""
        doubled = await self._run_at_both(
            returns_s=1.3, next_origin=_jobs.Origin("other"), moved=False
        )
        self.assertEqual(doubled, [])

    async def test_origin_that_its_former_leader_still_hears(self):
        """Guards against a start beside runs that the former leader renews."""
        doubled = await self._run_at_both(
            returns_s=0.5, next_origin=_jobs.Origin(), moved=True
        )
        self.assertEqual(doubled, [])
