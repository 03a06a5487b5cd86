"""Requests issued keys from an entry and prints them, one per line.

usage: sesameroad keys --url=URL --count=N

A request that is sent with a key can be resent safely.
"""

import sys

from absl import flags

from sesameroad.command_line import _client
from sesameroad.command_line import exits

FLAGS = flags.FlagValues()
_client.define_connection(FLAGS, token=False)
flags.DEFINE_integer(
    "count",
    1,
    "Number of keys.",
    lower_bound=1,
    upper_bound=1_000,
    flag_values=FLAGS,
)


def run(arguments: list[str]) -> int:
    """Prints the keys; returns the exit code."""
    if arguments:
        print("sesameroad: keys takes flags only", file=sys.stderr)
        return exits.USAGE
    reply = _client.call(FLAGS, "POST", "/v1/keys", {"count": FLAGS.count})
    if reply.code != exits.OK:
        return reply.code
    for key in reply.body["keys"]:
        print(key)
    return exits.OK
