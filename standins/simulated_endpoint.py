"""Endpoints in memory that run tasks under leases, for tests of leaders.

They record what a leader must never cause: two runs of a task at the same time
in the whole fleet, and a start on an endpoint without room for the task.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import random

from sesameroad.leasing import orders
from sesameroad.model import clocks
from sesameroad.model import endpoints
from sesameroad.platform import order_client

_DONE = orders.Ending.DONE
_MISDIRECTED = orders.Refused(orders.Refusal.MISDIRECTED)
_REFUSED_CONNECTION = orders.NoAnswer("the connection was refused", sent=False)


@dataclasses.dataclass(slots=True)
class Fault:
    """Faults that an endpoint simulates.

    Attributes:
        silent: Orders are neither carried out nor answered.
        lose_answers: Orders are carried out, but not answered.
        lose_start_answers: Starts are carried out, but not answered.
        late_s: If not 0, starts are carried out after this delay in seconds and
            not answered, by whichever incarnation runs then.
        misdirected: Another endpoint answers at the address.
        lost_stops: Number of next stops that are neither carried out nor
            answered.
        unhealthy: Starts are refused.
        failing: Runs fail at the end of their run time.
        hanging: Runs do not end unless they are stopped.
        slowness: Factor by which run times are multiplied.
    """

    silent: bool = False
    lose_answers: bool = False
    lose_start_answers: bool = False
    late_s: float = 0.0
    misdirected: bool = False
    lost_stops: int = 0
    unhealthy: bool = False
    failing: bool = False
    hanging: bool = False
    slowness: float = 1.0


@dataclasses.dataclass(slots=True)
class _Run:
    """A run that has not ended.

    Attributes:
        run: Number of the run.
        cores: Processor cores that it uses.
        timer: Timer of its end, None for a run that hangs.
        started_at: Time of its start.
        seconds: Run time without other runs on the endpoint.
        queue: Third part of its spec, the queue of its job.
        speed: Part of its speed that the other runs leave to it.
        progress_s: Part of its run time that it had done at `speed_since`.
        speed_since: Time since which it has run at this speed.
    """

    run: int
    cores: float
    timer: asyncio.TimerHandle | None
    started_at: float
    seconds: float
    queue: str = ""
    speed: float = 1.0
    progress_s: float = 0.0
    speed_since: float = 0.0

    def done_s(self, now: float) -> float:
        """Returns the part of its run time that it has done."""
        return self.progress_s + (now - self.speed_since) * self.speed

    def percent(self, now: float) -> int:
        """Returns the progress, which stays 0 for a run that hangs."""
        if self.timer is None:
            return 0
        return min(99, int(self.done_s(now) / self.seconds * 100))


class RunHistory:
    """Runs on all endpoints of a fleet, as the endpoints saw them.

    Attributes:
        running: Endpoints by task of the runs that have not ended.
        starts: Task of each start, in order.
        done: Task of each successful run, in order.
        overlapping: Tasks that were started while another run of the same task
            had not ended.
        refused: Number of starts that were refused for lack of room.
        looks: Number of reads of the lists of an endpoint.
        run_times: For each queue, run times without other runs on the endpoint
            and actual ones, in seconds; None if they are not to be kept.
    """

    def __init__(self) -> None:
        self.running: dict[str, list[str]] = {}
        self.starts: list[str] = []
        self.done: list[str] = []
        self.overlapping: list[str] = []
        self.refused = 0
        self.looks = 0
        self.run_times: dict[str, list[tuple[float, float]]] | None = None

    def begin(self, task: str, endpoint_id: str) -> None:
        """Records a start, and whether another run of the task is running."""
        if task in self.running:
            self.overlapping.append(task)
        self.starts.append(task)
        self.running.setdefault(task, []).append(endpoint_id)

    def end(self, task: str, endpoint_id: str) -> None:
        """Records the end of a run."""
        self.running[task].remove(endpoint_id)
        if not self.running[task]:
            del self.running[task]


class SimulatedEndpoint:
    """An endpoint.

    Attributes:
        endpoint: Its entry in the platform's list.
        fault: Faults that it simulates.
        token: Highest fencing token that it has seen.
        ended: Ends that have not been acknowledged.
        end_count: Number of ends since it started.
        lease_until_ms: End of the lease on its clock.
        running: Runs that have not ended, by task.
        incarnation: Number of restarts so far.
    """

    def __init__(
        self,
        endpoint: endpoints.Endpoint,
        *,
        history: RunHistory,
        clock: clocks.Clock,
        lease_s: float = 1.0,
        run_s: Callable[[str], float] = float,
        slowdowns: Mapping[tuple[str, str], float] | None = None,
        task_factor: Callable[[str], float] | None = None,
    ) -> None:
        """Creates an endpoint.

        Args:
            endpoint: Its entry in the platform's list.
            history: Receives its starts and ends.
            clock: Time source.
            lease_s: Longest lease that it grants, in seconds.
            run_s: Returns the run time from the first part of a spec.
            slowdowns: Factors by which each run of a queue that is alongside
                slows a run down, by slowed queue and queue alongside. The queue
                of a run is the third part of its spec.
            task_factor: Returns the factor by which the run time of a task
                differs from that of its spec; 1 for all if None.
        """
        self._slowdowns = {} if slowdowns is None else slowdowns
        self._task_factor = task_factor
        self.endpoint = endpoint
        self.fault = Fault()
        self.token = 0
        self.ended: list[orders.End] = []
        self.end_count = 0
        self.running: dict[str, _Run] = {}
        self.incarnation = 0
        self._last_barred_run: dict[str, int] = {}
        self._history = history
        self._clock = clock
        self._lease_s = lease_s
        self._run_s = run_s
        self.lease_until_ms = 0
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._changed = asyncio.Event()
        # Difference between its clock and that of the fleet.
        self._clock_offset_ms = 500_000
        self._down_until = 0.0

    @property
    def down(self) -> bool:
        """Whether it is restarting, so that connections are refused."""
        return self._clock.monotonic() < self._down_until

    @property
    def clock_ms(self) -> int:
        """Monotonic clock of the endpoint, which a restart sets to 0."""
        return int(self._clock.monotonic() * 1_000) + self._clock_offset_ms

    def crash(self, *, born_ms: int | None = None, down_s: float = 0.0) -> None:
        """Restarts the endpoint, which holds and knows nothing of before.

        Args:
            born_ms: Wall time of the start; by default 1 s after the former one.
            down_s: Time in seconds until it accepts connections again.
        """
        self.incarnation += 1
        self._down_until = self._clock.monotonic() + down_s
        for task in list(self.running):
            self._drop(task)
        self.ended.clear()
        self.end_count = self.token = 0
        self._last_barred_run.clear()
        self._clock_offset_ms -= self.clock_ms
        self.lease_until_ms = 0
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        if born_ms is None:
            born_ms = self.endpoint.born_ms + 1_000
        self.endpoint = dataclasses.replace(self.endpoint, born_ms=born_ms)
        self._changed.set()

    def start(
        self, *, task: str, run: int, spec: str, token: int, until_ms: int
    ) -> orders.Answer:
        """Carries out an order to start a run."""
        refusal = self._fence(token)
        if refusal is None and until_ms <= self.clock_ms:
            refusal = orders.Refusal.TOO_LATE
        if refusal is not None:
            return orders.Refused(refusal, self.clock_ms)
        if self.fault.unhealthy:
            return orders.Refused(orders.Refusal.UNHEALTHY)
        self._extend(until_ms)
        current = self.running.get(task)
        if current is not None and current.run == run:
            return orders.Accepted(self.clock_ms)
        if current is not None or run <= self._last_barred_run.get(task, 0):
            return orders.Refused(orders.Refusal.OLD_RUN, self.clock_ms)
        parts = spec.split("/")
        cores = float(parts[1] if len(parts) > 1 and parts[1] else 1)
        queue = parts[2] if len(parts) > 2 else ""
        used = sum(run_state.cores for run_state in self.running.values())
        if used + cores > self.endpoint.offer.cores:
            self._history.refused += 1
            return orders.Refused(orders.Refusal.NO_ROOM, self.clock_ms)
        loop = asyncio.get_running_loop()
        timer = None
        seconds = self._run_s(parts[0]) * self.fault.slowness
        if self._task_factor is not None:
            seconds *= self._task_factor(task)
        if not self.fault.hanging:
            ending = orders.Ending.FAILED if self.fault.failing else _DONE
            timer = loop.call_later(seconds, self._end, task, ending)
        self._history.begin(task, self.endpoint.id)
        now = self._clock.monotonic()
        self.running[task] = _Run(
            run, cores, timer, now, seconds, queue, speed_since=now
        )
        self._update_speeds()
        return orders.Accepted(self.clock_ms)

    def stop(self, *, task: str, run: int, token: int) -> orders.Answer:
        """Carries out an order to stop a run.

        A start of the same run that arrives later is refused.
        """
        refusal = self._fence(token)
        if refusal is not None:
            return orders.Refused(refusal, self.clock_ms)
        self._last_barred_run[task] = max(
            run, self._last_barred_run.get(task, 0)
        )
        current = self.running.get(task)
        if current is not None and current.run <= run:
            asyncio.get_running_loop().call_later(
                0.04, self._end_stopped, task, current
            )
        return orders.Accepted(self.clock_ms)

    async def poll(
        self, *, token: int, seen: int, until_ms: int | None, wait_s: float
    ) -> orders.PollAnswer:
        """Returns both lists once there is an end to report or the wait is over."""
        self._history.looks += 1
        refusal = self._fence(token)
        if refusal is not None:
            return orders.Refused(refusal, self.clock_ms)
        if until_ms is not None:
            self._extend(until_ms)
        self.ended = [end for end in self.ended if end.number > seen]
        born_ms = self.endpoint.born_ms
        if not self.ended and wait_s > 0:
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if self.endpoint.born_ms != born_ms:
            return orders.NoAnswer("the connection was lost with the endpoint")
        now = self._clock.monotonic()
        return orders.Report(
            clock_ms=self.clock_ms,
            born_ms=self.endpoint.born_ms,
            running=tuple(
                orders.RunningTask(task, run_state.run, run_state.percent(now))
                for task, run_state in self.running.items()
            ),
            ended=tuple(self.ended),
        )

    def _fence(self, token: int) -> orders.Refusal | None:
        if token < self.token:
            return orders.Refusal.FENCED
        self.token = token
        return None

    def _extend(self, until_ms: int) -> None:
        limit = self.clock_ms + int(self._lease_s * 1_000)
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, limit))
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        left_s = (self.lease_until_ms - self.clock_ms) / 1_000
        loop = asyncio.get_running_loop()
        self._expiry_timer = loop.call_later(max(0.0, left_s), self._expire)

    def _expire(self) -> None:
        for task in list(self.running):
            self._end(task, orders.Ending.LAPSED)

    def _end_stopped(self, task: str, stopped: _Run) -> None:
        """Ends a run that was stopped, unless another one has followed."""
        if self.running.get(task) is stopped:
            self._end(task, orders.Ending.STOPPED)

    def _end(self, task: str, ending: orders.Ending) -> None:
        run_state = self._drop(task)
        if run_state is None:
            return
        self._last_barred_run[task] = max(
            run_state.run, self._last_barred_run.get(task, 0)
        )
        self.end_count += 1
        self.ended.append(
            orders.End(self.end_count, task, run_state.run, ending)
        )
        if ending is _DONE:
            self._history.done.append(task)
            if self._history.run_times is not None:
                took_s = self._clock.monotonic() - run_state.started_at
                self._history.run_times.setdefault(run_state.queue, []).append(
                    (run_state.seconds, took_s)
                )
        self._changed.set()

    def _drop(self, task: str) -> _Run | None:
        run_state = self.running.pop(task, None)
        if run_state is not None:
            self._history.end(task, self.endpoint.id)
            if run_state.timer is not None:
                run_state.timer.cancel()
            self._update_speeds()
        return run_state

    def _update_speeds(self) -> None:
        """Moves the ends of runs that other runs slow down from now on."""
        if not self._slowdowns:
            return
        now = self._clock.monotonic()
        for task, run_state in self.running.items():
            speed = 1.0
            for other in self.running.values():
                if other is not run_state:
                    pair = run_state.queue, other.queue
                    speed /= self._slowdowns.get(pair, 1.0)
            if speed == run_state.speed or run_state.timer is None:
                continue
            run_state.progress_s = run_state.done_s(now)
            run_state.speed_since = now
            run_state.speed = speed
            run_state.timer.cancel()
            ending = orders.Ending.FAILED if self.fault.failing else _DONE
            left_s = max(0.0, run_state.seconds - run_state.progress_s)
            run_state.timer = asyncio.get_running_loop().call_later(
                left_s / speed, self._end, task, ending
            )


class SimulatedFleet:
    """Endpoints and delivery of orders to them, as `leasing.order.Orders`.

    Attributes:
        history: Runs on all endpoints.
        endpoints: All endpoints by id.
        slowdowns: Interference of queues on all endpoints; see
            `SimulatedEndpoint`.
        task_factor: The same factor for endpoints that are added later.
        late_share: Fraction of the starts that are held up on their way to any
            endpoint, for a random time up to `late_s`, and not answered.
        late_s: Longest such delay, in seconds.
    """

    def __init__(
        self, *, clock: clocks.Clock, delay_s: float = 0.001, seed: int = 0
    ) -> None:
        self.history = RunHistory()
        self.late_share = 0.0
        self.late_s = 3.0
        self._random = random.Random(seed)
        self.endpoints: dict[str, SimulatedEndpoint] = {}
        self.slowdowns: dict[tuple[str, str], float] = {}
        self.task_factor: Callable[[str], float] | None = None
        self._clock = clock
        self._delay_s = delay_s

    def add(
        self, endpoint: endpoints.Endpoint, *, lease_s: float = 1.0
    ) -> SimulatedEndpoint:
        """Adds an endpoint."""
        simulated = SimulatedEndpoint(
            endpoint,
            history=self.history,
            clock=self._clock,
            lease_s=lease_s,
            slowdowns=self.slowdowns,
            task_factor=self.task_factor,
        )
        self.endpoints[endpoint.id] = simulated
        return simulated

    async def start(
        self,
        endpoint: endpoints.Endpoint,
        *,
        task: str,
        run: int,
        spec: str,
        token: int,
        lease_until_ms: int,
    ) -> orders.Answer:
        """Sends an order to start a run."""
        simulated = self.endpoints[endpoint.id]

        def carry_out() -> orders.Answer:
            return simulated.start(
                task=task,
                run=run,
                spec=spec,
                token=token,
                until_ms=lease_until_ms,
            )

        await asyncio.sleep(self._delay_s)
        if (
            simulated.fault.misdirected
            or endpoint.url != simulated.endpoint.url
        ):
            return _MISDIRECTED
        if simulated.down:
            return _REFUSED_CONNECTION
        late_s = simulated.fault.late_s
        if self.late_share and self._random.random() < self.late_share:
            late_s = self._random.uniform(0.0, self.late_s)
        if late_s:
            asyncio.get_running_loop().call_later(late_s, carry_out)
            return await self._no_answer(0.3)
        if simulated.fault.silent:
            return await self._no_answer(0.3)
        answer = carry_out()
        if simulated.fault.lose_answers or simulated.fault.lose_start_answers:
            return await self._no_answer(0.3)
        return answer

    async def stop(
        self, endpoint: endpoints.Endpoint, *, task: str, run: int, token: int
    ) -> orders.Answer:
        """Sends an order to stop a run."""
        simulated = self.endpoints[endpoint.id]
        await asyncio.sleep(self._delay_s)
        if (
            simulated.fault.misdirected
            or endpoint.url != simulated.endpoint.url
        ):
            return _MISDIRECTED
        if simulated.down:
            return _REFUSED_CONNECTION
        if simulated.fault.silent or simulated.fault.lost_stops:
            simulated.fault.lost_stops = max(0, simulated.fault.lost_stops - 1)
            return await self._no_answer(order_client.STOP_TIMEOUT_S)
        answer = simulated.stop(task=task, run=run, token=token)
        if simulated.fault.lose_answers:
            return await self._no_answer(order_client.STOP_TIMEOUT_S)
        return answer

    async def poll(
        self,
        endpoint: endpoints.Endpoint,
        *,
        token: int,
        seen: int,
        lease_until_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> orders.PollAnswer:
        """Reads the lists of running and ended runs."""
        simulated = self.endpoints[endpoint.id]
        await asyncio.sleep(self._delay_s)
        if (
            simulated.fault.misdirected
            or endpoint.url != simulated.endpoint.url
        ):
            return _MISDIRECTED
        if simulated.down:
            return _REFUSED_CONNECTION
        if simulated.fault.silent:
            return await self._no_answer(timeout_s)
        answer = await simulated.poll(
            token=token,
            seen=seen,
            until_ms=lease_until_ms,
            wait_s=wait_ms / 1_000,
        )
        if simulated.fault.silent or simulated.fault.lose_answers:
            return await self._no_answer(timeout_s)
        return answer

    async def _no_answer(self, timeout_s: float) -> orders.NoAnswer:
        await asyncio.sleep(timeout_s)
        return orders.NoAnswer("timeout")
