"""Tests changes to the configuration document."""

import unittest

from sesameroad import errors
from sesameroad.operators import edits
from sesameroad.operators import grammar
from standins import fleet


def _apply_commands(*texts):
    content = fleet.default_document()
    for text in texts:
        content = edits.apply(grammar.parse(text).command, content)
    return content


class EditTest(unittest.TestCase):
    """Guards against changes that lose or alter unrelated settings."""

    def test_changes_affect_only_the_named_settings(self):
        content = _apply_commands(
            "set kind lookup urgency 5",
            "set kind fresh share 2",
            "set team storefront quota 7",
            "set team estates weight 3",
            "set ceiling lookup 9",
            "set ceiling checkout 4",
            "set ceiling lookup none",
            "set retries 2.5",
            "set spill 40 ms",
            "drain rack r1",
            "drain rack r2",
            "restore rack r1",
            "drain data centre dc1",
        )
        product, operations = content.product, content.operations
        self.assertEqual(product.kinds["lookup"].urgency, 5)
        self.assertEqual(product.kinds["lookup"].target_ms, 500)
        self.assertEqual(product.kinds["fresh"].share, 2)
        self.assertEqual(product.team_weights, {"estates": 3.0})
        self.assertEqual(
            operations.team_quotas, {"storefront": 7, "estates": 200}
        )
        self.assertEqual(operations.kind_ceilings, {"checkout": 4})
        self.assertEqual(operations.retry_percent, 2.5)
        self.assertEqual(operations.spill_wait_ms, 40)
        self.assertEqual(operations.drained.racks, ("r2",))
        self.assertEqual(operations.drained.data_centres, ("dc1",))

    def test_unknown_names_are_refused(self):
        for text in (
            "set ceiling x 3",
            "set team x weight 2",
            "restore worker w1",
        ):
            with self.subTest(text), self.assertRaises(errors.CommandError):
                _apply_commands(text)

    def test_number_of_teams_is_bounded(self):
        texts = [f"set team t{n} quota 1" for n in range(319)]
        self.assertEqual(
            len(_apply_commands(*texts[:318]).operations.team_quotas), 320
        )
        with self.assertRaises(errors.CommandError):
            _apply_commands(*texts)
