"""Decodes the configuration that the operator writes to the store."""

from typing import Any

import msgspec

from sesameroad import errors
from sesameroad.jobs import catalogue
from sesameroad.model import strict_json

TABLE = "op"
KEY = "config"
_MS = 1_000
_DEFAULTS = catalogue.Limits()


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    service: str
    priority: strict_json.Count = 0
    max_attempts: strict_json.Count = 1
    stretch: strict_json.Amount = 1.0
    # Not the whole target: time allowed in addition to stretch times the
    # job's own work.
    target_latency_ms: strict_json.Amount = 0
    # Present if only the advice service decides which endpoints may run a task.
    advice: Any = None


class _Limits(msgspec.Struct, rename="kebab"):
    max_body_bytes: strict_json.Count = _DEFAULTS.max_body_bytes
    idle_timeout_ms: strict_json.Amount = _DEFAULTS.idle_timeout_s * _MS


class _Document(msgspec.Struct, rename="kebab"):
    version: strict_json.Count
    routes: list[_Route] = msgspec.field(default_factory=list)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode(content: bytes) -> catalogue.Catalogue:
    """Decodes a configuration document into a catalogue of queues.

    Raises:
        ConfigurationError: If the document is malformed.
    """
    try:
        document = strict_json.decode(content, _Document)
    except errors.MalformedError as error:
        raise errors.ConfigurationError(
            str(error), step="read configuration", peer="platform"
        ) from error
    return catalogue.Catalogue(
        version=document.version,
        queues=[
            catalogue.Queue(
                name=route.name,
                host=route.host,
                prefix=route.path_prefix,
                service=route.service,
                priority=min(route.priority, strict_json.MAX_INT32),
                max_attempts=min(
                    max(1, route.max_attempts), strict_json.MAX_INT32
                ),
                stretch=route.stretch,
                allowance_s=route.target_latency_ms / _MS,
                advised=route.advice is not None,
            )
            for route in document.routes
        ],
        limits=catalogue.Limits(
            max_body_bytes=document.limits.max_body_bytes,
            idle_timeout_s=document.limits.idle_timeout_ms / _MS,
        ),
    )
