"""HTTP client, its flags and the output of the commands that call an entry."""

import asyncio
import dataclasses
import pathlib
import sys
from typing import Any

from absl import flags
import aiohttp
import msgspec

from sesameroad import errors
from sesameroad.command_line import exits
from sesameroad.model import strict_json

_DEFAULT_URL = "http://127.0.0.1:8080"
_OK = 200


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """The result of a call to an entry.

    Attributes:
        code: Exit code; OK if the call succeeded.
        body: Decoded JSON body; None if the call failed.
    """

    code: int
    body: Any = None


def define_connection(values: flags.FlagValues, *, token: bool) -> None:
    """Defines the flags for the URL of an entry and, optionally, the token."""
    flags.DEFINE_string(
        "url",
        _DEFAULT_URL,
        "Base URL of any entry, or of the balancer in front of them.",
        flag_values=values,
    )
    flags.DEFINE_float(
        "timeout",
        10.0,
        "Seconds to wait for the answer.",
        lower_bound=0.1,
        flag_values=values,
    )
    if token:
        flags.DEFINE_string(
            "token_file",
            None,
            "Path of a file that holds the operator's bearer token.",
            flag_values=values,
        )
        flags.DEFINE_bool(
            "json",
            False,
            "Print the answer as JSON instead of a table.",
            flag_values=values,
        )


def call(
    values: flags.FlagValues,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
) -> Reply:
    """Calls an entry; prints an error message to standard error on failure."""
    headers = {}
    if "token_file" in values:
        if values.token_file is None:
            return _fail(exits.USAGE, "--token_file is required")
        try:
            token = pathlib.Path(values.token_file).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            return _fail(exits.USAGE, f"the token cannot be read: {error}")
        headers["Authorization"] = f"Bearer {token.strip()}"
    url = values.url.rstrip("/") + path
    try:
        status, text = asyncio.run(
            _send(method, url, headers, body, values.timeout)
        )
    except (aiohttp.InvalidURL, ValueError) as error:
        return _fail(exits.USAGE, f"invalid URL or token: {error}")
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = str(error) or type(error).__name__
        return _fail(exits.UNREACHABLE, f"no answer from {url}: {reason}")
    try:
        decoded = strict_json.decode(text, Any)
    except errors.MalformedError:
        return _fail(exits.FAILED, f"{url} answered {status} without JSON")
    if status != _OK:
        detail = decoded.get("detail", "") if isinstance(decoded, dict) else ""
        return _fail(exits.from_status(status), f"{status}: {detail}")
    return Reply(exits.OK, decoded)


def print_table(columns: list[str], rows: list[dict[str, Any]]) -> None:
    """Prints rows as a table; columns without values are left out."""
    shown = [
        column for column in columns if any(_cell(row, column) for row in rows)
    ]
    if not shown:
        return
    widths = {
        column: max(len(column), *(len(_cell(row, column)) for row in rows))
        for column in shown
    }
    numeric = {
        column
        for column in shown
        if all(isinstance(row.get(column), int | float | None) for row in rows)
    }
    for row in [dict(zip(shown, shown, strict=True)), *rows]:
        cells = [
            (
                _cell(row, column).rjust(widths[column])
                if column in numeric
                else _cell(row, column).ljust(widths[column])
            )
            for column in shown
        ]
        print("  ".join(cells).rstrip())


def print_json(value: Any) -> None:
    """Prints a value as one line of JSON."""
    print(msgspec.json.encode(value).decode())


def _cell(row: dict[str, Any], column: str) -> str:
    value = row.get(column)
    return "" if value is None else str(value)


def _fail(code: int, detail: str) -> Reply:
    print(f"sesameroad: {detail}", file=sys.stderr)
    return Reply(code)


async def _send(
    method: str,
    url: str,
    headers: dict[str, str],
    body: dict[str, Any] | None,
    timeout_s: float,
) -> tuple[int, bytes]:
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.request(method, url, json=body, headers=headers) as answer,
    ):
        return answer.status, await answer.read()
