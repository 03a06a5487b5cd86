"""Merges the log lines of several instances about one request."""

from collections.abc import Iterable
import dataclasses
from typing import Any

from sesameroad import errors
from sesameroad.model import strict_json

_OMITTED_FIELDS = {
    "time",
    "level",
    "logger",
    "message",
    "instance",
    "data_centre",
}
# Logged by the origin: the instance that the caller was connected to.
_ANSWERED_MESSAGE = "caller answered"
# Logged by each leader that ran the request or a part of it.
_ENDED_MESSAGE = "job ended"
# Causes for which the origin refuses a job without asking a leader.
_ORIGIN_REFUSAL_CAUSES = ("no-endpoint", "unsupported", "invalid", "stopping")


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """One log line.

    Attributes:
        time: Wall time at the instance; the clocks of instances differ.
        instance: Instance that wrote the line.
        message: Log message.
        fields: All fields of the line.
    """

    time: str
    instance: str
    message: str
    fields: dict[str, Any]


def read(lines: Iterable[str], request: str) -> tuple[list[Line], int]:
    """Returns the lines of a request by time and the number of unreadable ones.

    Args:
        lines: Log lines of any number of instances. Text before the first brace
            of a line, such as the prefix of a log collector, is ignored.
        request: Id of the request.
    """
    matching = []
    unreadable = 0
    for text in lines:
        start = text.find("{")
        if start < 0 or request not in text:
            continue
        try:
            fields = strict_json.decode(text[start:].strip(), Any)
        except errors.MalformedError:
            unreadable += 1
            continue
        if isinstance(fields, dict) and fields.get("request") == request:
            matching.append(_line(fields))
    return sorted(matching, key=lambda line: line.time), unreadable


def render(lines: list[Line]) -> str:
    """Formats the timeline of a request, with its cause in the last line."""
    text = []
    for line in lines:
        details = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name not in _OMITTED_FIELDS
            and name not in {"request", "runs"}
            and value not in ("", [], None)
        )
        text.append(f"{line.time}  {line.instance}  {line.message}  {details}")
        text += [f"    run {run}" for run in line.fields.get("runs", ())]
    text += [f"missing: {gap}" for gap in gaps(lines)]
    text.append(f"cause: {cause(lines)}")
    return "\n".join(text)


def gaps(lines: list[Line]) -> list[str]:
    """Describes the lines that must exist and are missing."""
    messages = {line.message for line in lines}
    missing = []
    if not lines:
        return [
            "every line: wrong id, or the logs of its instances are not here"
        ]
    if _ANSWERED_MESSAGE not in messages:
        missing.append(
            f"the line {_ANSWERED_MESSAGE!r}: its home was killed, cut off, or"
            " its log is not here"
        )
    answered = [line for line in lines if line.message == _ANSWERED_MESSAGE]
    refused_by_origin = any(
        line.fields.get("cause", "").startswith(_ORIGIN_REFUSAL_CAUSES)
        for line in answered
    )
    if _ENDED_MESSAGE not in messages and not refused_by_origin:
        missing.append(
            f"the line {_ENDED_MESSAGE!r}: its leader was killed, or its log is"
            " not here"
        )
    return missing


def cause(lines: list[Line]) -> str:
    """Returns the cause of the result of a request as one line."""
    answered = [line for line in lines if line.message == _ANSWERED_MESSAGE]
    ended = [line for line in lines if line.message == _ENDED_MESSAGE]
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
    first_send_ms = max(
        (line.fields.get("first_send_ms", 0) for line in ended), default=0
    )
    failed_runs = [
        run
        for line in ended
        for run in line.fields.get("runs", ())
        if not run.endswith(" done")
    ]
    if failed_runs:
        return (
            f"answered late, {took_ms} of {objective_ms} ms: {failed_runs[0]}"
        )
    return (
        f"answered late, {took_ms} of {objective_ms} ms: waited"
        f" {first_send_ms} ms for room, the rest is run time"
    )


def _line(fields: dict[str, Any]) -> Line:
    return Line(
        time=str(fields.get("time", "")),
        instance=str(fields.get("instance", "")),
        message=str(fields.get("message", "")),
        fields=fields,
    )
