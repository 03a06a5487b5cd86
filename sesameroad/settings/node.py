"""Settings of an instance that runs on the platform."""

import dataclasses
import pathlib
from typing import Annotated
from typing import Self

import msgspec

from sesameroad import errors
from sesameroad.model import scheduling as scheduling_module
from sesameroad.model import strict_json

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_HostPort = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
_PositiveSeconds = Annotated[float, msgspec.Meta(gt=0)]
_MILLICORES = 1_000
_PositiveMs = Annotated[int, msgspec.Meta(ge=1)]


@dataclasses.dataclass(slots=True, frozen=True)
class Timing:
    """Periods and timeouts, in seconds.

    Attributes:
        heartbeat_s: Period of heartbeats on a peer stream.
        idle_heartbeat_s: The same while each data centre has a leader, to a
            peer that neither exchanges jobs with this instance nor follows it.
        peer_timeout_s: Silence after which a peer counts as lost. The runs of
            a lost instance must have ended before its callers resubmit their
            jobs, 1.3 s later.
        claim_pause_s: Time that a data centre is without a leader before the
            next one claims its endpoints, so that a peer stream that reconnects
            does not cause a takeover. At least a heartbeat period counts.
        platform_timeout_s: Timeout of one call to the store.
        configuration_wait_s: Time that the store may hold a request for changes
            of the configuration until there is one.
        list_period_s: Period at which a leader reads the list of endpoints.
        idle_list_period_s: Period at which other instances read it.
        announce_period_s: Period at which an instance writes its own row.
        stop_notice_s: Time at the start of a graceful stop during which new
            callers are still served, until the balancer has seen two failed
            checks.
        attempt_notice_s: Age of a job from which its leader tells other leaders
            of it, so that they start no later attempt beside it; 0 for never.
            It must be shorter than the time after which callers submit a job
            again, by the time that the notice takes.
        graceful_stop_s: Longest duration of a graceful stop.
    """

    heartbeat_s: _PositiveSeconds = 0.25
    idle_heartbeat_s: _PositiveSeconds = 2.0
    peer_timeout_s: _PositiveSeconds = 0.75
    claim_pause_s: _PositiveSeconds = 0.15
    platform_timeout_s: _PositiveSeconds = 1.0
    configuration_wait_s: _PositiveSeconds = 1.0
    list_period_s: _PositiveSeconds = 0.8
    idle_list_period_s: _PositiveSeconds = 4.0
    announce_period_s: _PositiveSeconds = 2.0
    stop_notice_s: _PositiveSeconds = 2.5
    graceful_stop_s: _PositiveSeconds = 5.3
    attempt_notice_s: Annotated[float, msgspec.Meta(ge=0)] = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Interference:
    """Detection of queues whose tasks slow each other down on one endpoint.

    Attributes:
        enabled: Whether a leader detects such queues and keeps them apart where
            there is capacity.
        half_life_s: Time in seconds in which evidence loses half of its weight.
        min_delay: Smallest extra run time that is detected, as a fraction of
            the run time.
        apart: Pairs of queues that are kept apart without evidence.
        harmless: Pairs of queues that are not kept apart whatever the evidence.
    """

    enabled: bool = False
    half_life_s: _PositiveSeconds = 300.0
    min_delay: Annotated[float, msgspec.Meta(gt=0)] = 0.1
    apart: tuple[tuple[_Name, _Name], ...] = ()
    harmless: tuple[tuple[_Name, _Name], ...] = ()

    def __post_init__(self) -> None:
        apart = {frozenset(pair) for pair in self.apart}
        for pair in self.harmless:
            if frozenset(pair) in apart:
                raise ValueError(
                    f"{' and '.join(pair)} are both apart and harmless"
                )


@dataclasses.dataclass(slots=True, frozen=True)
class NodeSettings:
    """Settings of one instance.

    Attributes:
        instance_id: Name of this instance, unique in the fleet.
        data_centre: Data centre where it runs.
        data_centres: Region of each data centre, by its name.
        web: Address of the HTTP service for callers.
        ready: Address of the readiness check.
        peer: Address of the peer service.
        metrics: Address of the metrics, which are served at /metrics.
        platform: Address of the store.
        max_lease_ms: Longest lease that an endpoint grants.
        processor_share: Share of one processor core that a thread gets.
        timing: Periods and timeouts.
        scheduling: Options of a leader for a shortage of capacity.
        interference: Detection of tasks that slow each other down.
    """

    instance_id: _Name
    data_centre: _Name
    data_centres: dict[_Name, str]
    web: _HostPort
    ready: _HostPort
    peer: _HostPort
    metrics: _HostPort
    platform: _HostPort
    max_lease_ms: _PositiveMs
    processor_share: _PositiveSeconds = 1.0
    timing: Timing = Timing()
    scheduling: scheduling_module.Scheduling = scheduling_module.Scheduling()
    interference: Interference = Interference()

    @property
    def processor_millicores(self) -> int:
        """Processor time that a thread of this process gets."""
        return int(self.processor_share * _MILLICORES)

    @classmethod
    def from_json(cls, text: bytes, *, source: str = "") -> Self:
        """Decodes and validates settings; unknown fields are ignored.

        A newer platform may add fields, and a rolling change of the settings
        must not stop instances of the previous release.

        Raises:
            SettingsError: If a field is missing or out of range; the message
                names the field.
        """
        try:
            return strict_json.decode(text, cls)
        except errors.MalformedError as error:
            raise errors.SettingsError(
                str(error), step="read settings", peer=source
            ) from error

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Reads settings from a file.

        Raises:
            SettingsError: If the file cannot be read or is invalid.
        """
        try:
            text = pathlib.Path(path).read_bytes()
        except OSError as error:
            raise errors.SettingsError(
                str(error), step="read settings", peer=path
            ) from error
        return cls.from_json(text, source=path)


def host_port(address: str) -> tuple[str, int]:
    """Splits an address of the form "host:port"."""
    host, _, port = address.rpartition(":")
    return host, int(port)
