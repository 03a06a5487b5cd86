"""Puts together what several instances logged about one request."""

from collections.abc import Iterable
import dataclasses
import json
from typing import Any

_HIDDEN = {"time", "level", "logger", "message", "instance", "data_centre"}
# Line of the instance that the caller was connected to.
_ANSWERED = "caller answered"
# Line of each steward that ran the request or a part of it.
_ENDED = "job ended"
# Causes for which a home refuses a job without asking any steward.
_REFUSED_AT_HOME = ("no-endpoint", "unsupported", "invalid", "stopping")


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """One log line.

    Attributes:
        time: Time of day of the instance; clocks of instances differ.
        instance: Instance that wrote it.
        message: What happened.
        fields: All other fields.
    """

    time: str
    instance: str
    message: str
    fields: dict[str, Any]


def read(lines: Iterable[str], request: str) -> tuple[list[Line], int]:
    """Returns the lines about a request by time, and how many were unreadable.

    Args:
        lines: Log lines of any number of instances; text before the first brace
            of a line, such as a prefix of a log collector, is ignored.
        request: Id of the request.
    """
    found = []
    unreadable = 0
    for text in lines:
        start = text.find("{")
        if start < 0 or request not in text:
            continue
        try:
            fields = json.loads(text[start:])
        except json.JSONDecodeError:
            unreadable += 1
            continue
        if isinstance(fields, dict) and fields.get("request") == request:
            found.append(_line(fields))
    return sorted(found, key=lambda line: line.time), unreadable


def render(lines: list[Line]) -> str:
    """Returns the life of a request as text, with its cause at the end."""
    text = []
    for line in lines:
        details = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name not in _HIDDEN
            and name not in {"request", "runs"}
            and value not in ("", [], None)
        )
        text.append(f"{line.time}  {line.instance}  {line.message}  {details}")
        text += [f"    run {run}" for run in line.fields.get("runs", ())]
    text += [f"missing: {gap}" for gap in gaps(lines)]
    text.append(f"cause: {cause(lines)}")
    return "\n".join(text)


def gaps(lines: list[Line]) -> list[str]:
    """Returns what must have been logged and is not among the lines."""
    messages = {line.message for line in lines}
    found = []
    if not lines:
        return [
            "every line: wrong id, or the logs of its instances are not here"
        ]
    if _ANSWERED not in messages:
        found.append(
            f"the line {_ANSWERED!r}: its home was killed, cut off, or its log"
            " is not here"
        )
    answered = [line for line in lines if line.message == _ANSWERED]
    refused_at_home = any(
        line.fields.get("cause", "").startswith(_REFUSED_AT_HOME)
        for line in answered
    )
    if _ENDED not in messages and not refused_at_home:
        found.append(
            f"the line {_ENDED!r}: its steward was killed, or its log is not"
            " here"
        )
    return found


def cause(lines: list[Line]) -> str:
    """Returns in one line why a request ended as it did."""
    answered = [line for line in lines if line.message == _ANSWERED]
    ended = [line for line in lines if line.message == _ENDED]
    if not lines:
        return "not known here"
    if not answered:
        return "never answered: its home wrote no answer"
    last = answered[-1].fields
    outcome = last.get("outcome", "")
    if outcome != "complete":
        return f"{outcome}: {last.get('cause') or 'the caller left first'}"
    took_ms, objective_ms = last.get("took_ms", 0), last.get("objective_ms", 0)
    if took_ms <= objective_ms:
        return f"answered in time, {took_ms} of {objective_ms} ms"
    waited = max(
        (line.fields.get("first_send_ms", 0) for line in ended), default=0
    )
    trouble = [
        run
        for line in ended
        for run in line.fields.get("runs", ())
        if not run.endswith(" done")
    ]
    if trouble:
        return f"answered late, {took_ms} of {objective_ms} ms: {trouble[0]}"
    return (
        f"answered late, {took_ms} of {objective_ms} ms: waited {waited} ms for"
        " room, the rest is run time"
    )


def _line(fields: dict[str, Any]) -> Line:
    return Line(
        time=str(fields.get("time", "")),
        instance=str(fields.get("instance", "")),
        message=str(fields.get("message", "")),
        fields=fields,
    )
