"""Tests the parser of the operators' language."""

import unittest

import hypothesis
from hypothesis import strategies

from sesameroad import errors
from sesameroad.operators import commands
from sesameroad.operators import grammar

_WORDS = (
    *("show", "running", "late", "where", "kind", "=", "and", "limit", "5"),
    *("set", "team", "quota", "weight", "if", "version", "drain", "rack"),
    *("data", "centre", '"a b"', "explain", "cancel", "ms", "1e999", "\x00"),
)


class GrammarTest(unittest.TestCase):
    """Guards against misread commands and unhelpful error messages."""

    def test_commands_are_parsed(self):
        cases = {
            "show late where kind = checkout and age_ms > 500 limit 5": (
                commands.Statement(
                    commands.ShowWork(
                        commands.State.LATE,
                        (
                            commands.Condition(
                                commands.Field.KIND,
                                commands.Comparison.EQUAL,
                                "checkout",
                            ),
                            commands.Condition(
                                commands.Field.AGE,
                                commands.Comparison.GREATER,
                                500.0,
                            ),
                        ),
                        5,
                    )
                )
            ),
            "set kind lookup urgency 2 target 500 ms if version 7": (
                commands.Statement(
                    commands.SetKind("lookup", urgency=2, target_ms=500), 7
                )
            ),
            "set team t quota 3 weight 1.5": commands.Statement(
                commands.SetTeam("t", 3, 1.5)
            ),
            "set ceiling lookup none": commands.Statement(
                commands.SetCeiling("lookup", None)
            ),
            "DRAIN data  centre dc1": commands.Statement(
                commands.Drain(commands.Level.DATA_CENTRE, "dc1")
            ),
            'cancel "a b"': commands.Statement(commands.Cancel("a b")),
        }
        for text, expected in cases.items():
            with self.subTest(text):
                self.assertEqual(grammar.parse(text), expected)

    def test_errors_give_position_and_expected_tokens(self):
        cases = {
            "show rnning": "column 6: expected .*queued.*found 'rnning'",
            "set spill 5": "column 12: expected ms, found the end",
            "set retries 101": "column 13: expected a number from 0 to 100",
            "set kind a/b share 1": "column 10: expected a name",
            "set kind a share 1 share 2": "column 20: share is given twice",
            "show late where kind > x": "column 22: expected = or !=",
            "show fleet if version 1": "column 12: expected the end",
            "x" * 3_000: "longer than",
        }
        for text, expected in cases.items():
            with (
                self.subTest(text),
                self.assertRaisesRegex(errors.CommandError, expected),
            ):
                grammar.parse(text)

    @hypothesis.given(
        strategies.text()
        | strategies.binary().map(lambda b: b.decode("latin-1"))
        | strategies.lists(strategies.sampled_from(_WORDS)).map(" ".join)
    )
    def test_any_text_is_a_command_or_a_command_error(self, text):
        """Guards against other exceptions, which lead to HTTP status 500."""
        try:
            statement = grammar.parse(text)
        except errors.CommandError:
            return
        self.assertIsInstance(statement, commands.Statement)
