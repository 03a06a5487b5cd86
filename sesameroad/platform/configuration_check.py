"""What a check of the operator's configuration needs of the platform."""

from typing import Any

import msgspec

from sesameroad import errors
from sesameroad.model import endpoints
from sesameroad.model import strict_json
from sesameroad.platform import configuration
from sesameroad.platform import endpoint_rows
from sesameroad.platform import platform_client
from sesameroad.platform import row_store

_STEP = "read configuration"
# Names in the document for the parts and attributes of a catalogue.
_PARTS: dict[str | int, str] = {
    "queues": "routes",
    "prefix": "path-prefix",
    "max_attempts": "max-attempts",
    "allowance_s": "target-latency-ms",
    "advised": "advice",
    "max_body_bytes": "max-body-bytes",
    "idle_timeout_s": "idle-timeout-ms",
}


def document_path(path: tuple[str | int, ...]) -> tuple[str | int, ...]:
    """Returns the path in the document of a part of its catalogue.

    Args:
        path: A part, and below it an index, an attribute or both.
    """
    if not path:
        return path
    first, *middle, last = (*path, "") if len(path) == 1 else path
    translated = (_PARTS.get(first, first), *middle, _PARTS.get(last, last))
    return translated[: len(path)]


def decode_endpoints(content: bytes) -> list[endpoints.Endpoint]:
    """Decodes the rows of endpoints, an object with a row for each id.

    Raises:
        ConfigurationError: If the content is not such an object, or a row names
            no endpoint to use.
    """
    try:
        rows = strict_json.decode(content, dict[str, Any])
        encoded = {
            name: row_store.Row(name, 0, msgspec.json.encode(row))
            for name, row in rows.items()
        }
    except errors.MalformedError as error:
        raise errors.ConfigurationError(
            str(error), step="read endpoints"
        ) from error
    listed = []
    for name, row in encoded.items():
        match endpoint_rows.decode(row):
            case endpoint_rows.Unusable(reason=reason):
                raise errors.ConfigurationError(
                    reason, step="read endpoints", peer=name
                )
            case endpoints.Endpoint() as endpoint:
                listed.append(endpoint)
    return listed


async def read_current(url: str, *, timeout_s: float) -> bytes:
    """Reads the document in force from the store.

    Raises:
        PlatformError: If the store does not answer or has no configuration.
    """
    client = platform_client.PlatformClient.open(url, timeout_s=timeout_s)
    try:
        store = row_store.RowStore(client)
        snapshot = await store.read(configuration.TABLE, step=_STEP)
    finally:
        await client.close()
    for row in snapshot.rows:
        if row.key == configuration.KEY and not row.removed:
            return row.value
    raise errors.PlatformError("no configuration in the store", step=_STEP)
