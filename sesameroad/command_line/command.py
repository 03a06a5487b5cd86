"""Sends an operator's command to the fleet and prints the answer.

usage: sesameroad command --url=URL --token_file=FILE COMMAND

COMMAND is one quoted argument or several words, for example:
  show running where kind = checkout limit 20
  show queued|late|refused|failed [where FIELD = VALUE and ...] [limit N]
  show fleet|entries|endpoints|configuration|history|burn
  explain KEY
  cancel KEY
  set kind NAME [urgency N] [share X] [target N ms] [objective X]
  set team NAME [quota N] [weight X]
  set ceiling KIND N|none
  set retries PERCENT
  set spill N ms
  drain|restore endpoint|worker|rack|data centre NAME
A change may end with "if version N". Quote < and > for the shell.
"""

import sys

from absl import flags

from sesameroad.command_line import _client
from sesameroad.command_line import exits

FLAGS = flags.FlagValues()
_client.define_connection(FLAGS, token=True)


def run(arguments: list[str]) -> int:
    """Sends the command; returns the exit code."""
    text = " ".join(arguments)
    if not text:
        print("sesameroad: no command given", file=sys.stderr)
        return exits.USAGE
    reply = _client.call(
        FLAGS, "POST", "/v1/operator/commands", {"command": text}
    )
    if reply.code != exits.OK:
        return reply.code
    answer = reply.body
    if FLAGS.json:
        _client.print_json(answer)
    else:
        _client.print_table(answer["columns"], answer["rows"])
        for note in answer["notes"]:
            print(note)
        if answer["more"]:
            print(f"first {len(answer['rows'])} rows; there are more")
        elif answer["columns"] and not answer["rows"]:
            print("no rows")
    if answer["not_answered"]:
        names = ", ".join(answer["not_answered"])
        print(f"no answer from {names}", file=sys.stderr)
        return exits.PARTIAL
    return exits.OK
