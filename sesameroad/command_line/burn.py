"""Prints the service-level burn report of the whole fleet.

usage: sesameroad burn --url=URL --token_file=FILE

Each row is a kind or a team. The columns 5m to 6h are burn rates: a rate of 1
uses up the error budget exactly. The alert "page" needs a person now, "warn"
within days.
"""

import sys

from absl import flags

from sesameroad.command_line import _client
from sesameroad.command_line import exits

FLAGS = flags.FlagValues()
_client.define_connection(FLAGS, token=True)
flags.DEFINE_bool(
    "check",
    False,
    f"Exit with {exits.PAGING} if any alert is in the state page.",
    flag_values=FLAGS,
)

_COLUMNS = [
    *("scope", "name", "alert", "5m", "30m", "1h", "6h", "budget_left"),
    *("answers", "bad", "median_ms", "p99_ms", "causes"),
]


def run(arguments: list[str]) -> int:
    """Prints the report; returns the exit code."""
    if arguments:
        print("sesameroad: burn takes flags only", file=sys.stderr)
        return exits.USAGE
    reply = _client.call(FLAGS, "GET", "/v1/operator/burn")
    if reply.code != exits.OK:
        return reply.code
    rows = reply.body["rows"]
    if FLAGS.json:
        _client.print_json(reply.body)
    elif rows:
        _client.print_table(_COLUMNS, [_table_row(row) for row in rows])
    else:
        print("no answers yet")
    missing = reply.body["not_answered"]
    if missing:
        print(f"no answer from {', '.join(missing)}", file=sys.stderr)
    if FLAGS.check and any(row["alert"] == "page" for row in rows):
        return exits.PAGING
    return exits.PARTIAL if missing else exits.OK


def _table_row(row: dict) -> dict:
    causes = ", ".join(f"{name} {n}" for name, n in row["causes"].items())
    return {**row, **row["rates"], "causes": causes}
