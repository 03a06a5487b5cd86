"""Parser of the operators' language."""

from collections.abc import Iterable
import math

import lark

from sesameroad import errors
from sesameroad.operators import commands

MAX_LENGTH = 2_000
_STEP = "parse command"
_MAX_COUNT = 1_000_000
_MAX_MS = 600_000

_GRAMMAR = r"""
start: _statement
_statement: show_work | show | explain | cancel | change

show_work: "show"i STATE where? limit?
show: "show"i TOPIC
explain: "explain"i text
cancel: "cancel"i text
where: "where"i condition ("and"i condition)*
condition: FIELD COMPARISON text
limit: "limit"i NUMBER

change: _action ("if"i "version"i NUMBER)?
_action: set_kind | set_team | set_ceiling | set_retries | set_spill
    | drain | restore
set_kind: "set"i "kind"i text kind_value+
kind_value: URGENCY NUMBER | SHARE NUMBER | TARGET NUMBER "ms"i
    | OBJECTIVE NUMBER
set_team: "set"i "team"i text team_value+
team_value: QUOTA NUMBER | WEIGHT NUMBER
set_ceiling: "set"i "ceiling"i text (NUMBER | NONE)
set_retries: "set"i "retries"i NUMBER
set_spill: "set"i "spill"i NUMBER "ms"i
drain: "drain"i LEVEL text
restore: "restore"i LEVEL text
text: NAME | STRING

STATE: /(running|queued|late|refused|failed)\b/i
TOPIC: /(fleet|entries|endpoints|configuration|history|burn)\b/i
FIELD: /(key|kind|team|cause|entry|age_ms|tasks)\b/i
LEVEL: /(endpoint|worker|rack|data\s+centre)\b/i
COMPARISON: "!=" | "=" | "<" | ">"
URGENCY: "urgency"i
SHARE: "share"i
TARGET: "target"i
OBJECTIVE: "objective"i
QUOTA: "quota"i
WEIGHT: "weight"i
NONE: "none"i
NUMBER: /[0-9]+(\.[0-9]+)?/
NAME: /[A-Za-z0-9_.:\/@+-]+/
STRING: /"[^"\x00-\x1f\x7f]+"/
%import common.WS
%ignore WS
"""

_PARSER = lark.Lark(_GRAMMAR, parser="lalr", propagate_positions=True)

_TOKEN_DESCRIPTIONS = {
    "STATE": "running, queued, late, refused, failed",
    "TOPIC": "fleet, entries, endpoints, configuration, history, burn",
    "FIELD": "key, kind, team, cause, entry, age_ms, tasks",
    "LEVEL": "endpoint, worker, rack, data centre",
    "COMPARISON": "=, !=, <, >",
    "NUMBER": "a number",
    "NAME": "a name",
    "STRING": "a text in double quotes",
    "$END": "the end of the command",
}


def parse(text: str) -> commands.Statement:
    """Parses a command.

    Raises:
        CommandError: If the text is not a valid command; the message gives the
            column and what was expected there.
    """
    if len(text) > MAX_LENGTH:
        raise errors.CommandError(
            f"the command is longer than {MAX_LENGTH} characters", step=_STEP
        )
    try:
        tree = _PARSER.parse(text)
    except lark.UnexpectedToken as error:
        found = (
            "the end" if error.token.type == "$END" else repr(str(error.token))
        )
        raise _unexpected_input(error, text, error.accepts, found) from error
    except lark.UnexpectedCharacters as error:
        found = repr(text[error.pos_in_stream :][:20])
        raise _unexpected_input(error, text, error.allowed, found) from error
    return _build_statement(tree.children[0])


def _unexpected_input(
    error: lark.UnexpectedInput,
    text: str,
    expected: Iterable[str] | None,
    found: str,
) -> errors.CommandError:
    position = error.pos_in_stream
    at_end = isinstance(error, lark.UnexpectedToken) and found == "the end"
    column = len(text) + 1 if at_end or position is None else position + 1
    names = sorted(
        _TOKEN_DESCRIPTIONS.get(name, name.lower())
        for name in expected or ()
        if name != "WS"
    )
    return _error_at(column, f"expected {' or '.join(names)}, found {found}")


def _error_at(column: int | None, detail: str) -> errors.CommandError:
    return errors.CommandError(f"column {column}: {detail}", step=_STEP)


def _build_statement(tree: lark.Tree) -> commands.Statement:
    match tree.data, tree.children:
        case "change", [action]:
            return commands.Statement(_build_command(action))
        case "change", [action, version]:
            return commands.Statement(
                _build_command(action), _parse_integer(version, 0, 2**53)
            )
        case _:
            return commands.Statement(_build_command(tree))


def _build_command(tree: lark.Tree) -> commands.Command:
    match tree.data, tree.children:
        case "show_work", [state, *clauses]:
            return _build_show_work(commands.State(state.lower()), clauses)
        case "show", [topic]:
            return commands.Show(commands.Topic(topic.lower()))
        case "explain", [key]:
            return commands.Explain(_parse_text(key))
        case "cancel", [key]:
            return commands.Cancel(_parse_text(key))
        case "set_kind", [name, *settings]:
            return _build_set_kind(name, _values_by_name(settings))
        case "set_team", [name, *settings]:
            return _build_set_team(name, _values_by_name(settings))
        case "set_ceiling", [kind, lark.Token("NONE")]:
            return commands.SetCeiling(_parse_text(kind), None)
        case "set_ceiling", [kind, slots]:
            return commands.SetCeiling(
                _parse_text(kind), _parse_integer(slots, 0, _MAX_COUNT)
            )
        case "set_retries", [percent]:
            return commands.SetRetries(_parse_number(percent, 0.0, 100.0))
        case "set_spill", [wait]:
            return commands.SetSpill(_parse_integer(wait, 0, _MAX_MS))
        case "drain", [level, name]:
            return commands.Drain(_parse_level(level), _parse_text(name))
        case "restore", [level, name]:
            return commands.Restore(_parse_level(level), _parse_text(name))
        case other, _:
            raise errors.CommandError(f"unknown command {other}", step=_STEP)


def _build_show_work(
    state: commands.State, clauses: list[lark.Tree]
) -> commands.ShowWork:
    conditions: tuple[commands.Condition, ...] = ()
    limit = commands.DEFAULT_LIMIT
    for clause in clauses:
        match clause.data, clause.children:
            case "where", trees:
                conditions = tuple(_build_condition(tree) for tree in trees)
            case "limit", [count]:
                limit = _parse_integer(count, 1, commands.MAX_LIMIT)
    return commands.ShowWork(state, conditions, limit)


def _build_condition(tree: lark.Tree) -> commands.Condition:
    name, comparison, value = tree.children
    field = commands.Field(name.lower())
    text = _parse_text(value)
    if field.is_numeric:
        try:
            number = float(text)
        except ValueError as error:
            raise _error_at(
                value.meta.column, f"expected a number, found {text!r}"
            ) from error
        return commands.Condition(
            field, commands.Comparison(str(comparison)), number
        )
    if str(comparison) in {"<", ">"}:
        raise _error_at(
            comparison.column, f"expected = or != for {field.value}"
        )
    return commands.Condition(field, commands.Comparison(str(comparison)), text)


def _values_by_name(settings: list[lark.Tree]) -> dict[str, lark.Token]:
    values: dict[str, lark.Token] = {}
    for setting in settings:
        name, value = setting.children
        if name.lower() in values:
            raise _error_at(name.column, f"{name.lower()} is given twice")
        values[name.lower()] = value
    return values


def _build_set_kind(
    name: lark.Tree, values: dict[str, lark.Token]
) -> commands.SetKind:
    return commands.SetKind(
        _parse_new_name(name),
        urgency=_parse_optional_integer(values.get("urgency"), 0, 1_000),
        share=_parse_optional_number(values.get("share"), 0.001, _MAX_COUNT),
        target_ms=_parse_optional_integer(values.get("target"), 1, _MAX_MS),
        objective=_parse_optional_number(values.get("objective"), 0.0, 0.99999),
    )


def _build_set_team(
    name: lark.Tree, values: dict[str, lark.Token]
) -> commands.SetTeam:
    return commands.SetTeam(
        _parse_new_name(name),
        quota=_parse_optional_integer(values.get("quota"), 0, _MAX_COUNT),
        weight=_parse_optional_number(values.get("weight"), 0.001, _MAX_COUNT),
    )


def _parse_level(token: lark.Token) -> commands.Level:
    return commands.Level(" ".join(token.lower().split()))


def _parse_text(tree: lark.Tree) -> str:
    token = tree.children[0]
    return token[1:-1] if token.type == "STRING" else str(token)


def _parse_new_name(tree: lark.Tree) -> str:
    """Returns the name of a kind or team that a command may add.

    Names are used as metric labels and in the names of claim rows, where "/"
    separates the team from the key.
    """
    name = _parse_text(tree)
    if len(name) > 64 or not name.replace("-", "_").isidentifier():
        raise _error_at(
            tree.meta.column,
            "expected a name of at most 64 letters, digits, - and _ that does"
            f" not start with a digit, found {name!r}",
        )
    return name


def _parse_number(token: lark.Token, minimum: float, maximum: float) -> float:
    number = float(token)
    if not math.isfinite(number) or not minimum <= number <= maximum:
        raise _error_at(
            token.column,
            f"expected a number from {minimum:g} to {maximum:g}",
        )
    return number


def _parse_integer(token: lark.Token, minimum: int, maximum: int) -> int:
    if "." in token or not minimum <= int(token) <= maximum:
        raise _error_at(
            token.column, f"expected a whole number from {minimum} to {maximum}"
        )
    return int(token)


def _parse_optional_number(
    token: lark.Token | None, minimum: float, maximum: float
) -> float | None:
    return None if token is None else _parse_number(token, minimum, maximum)


def _parse_optional_integer(
    token: lark.Token | None, minimum: int, maximum: int
) -> int | None:
    return None if token is None else _parse_integer(token, minimum, maximum)
