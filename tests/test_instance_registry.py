"""Which rows of the instance table belong to instances that may be alive."""

import json
import unittest

from sesameroad.node import instance_registry


class _Clock:
    now = 1_000.0
    wall = 1_780_000_000_000

    def monotonic(self):
        return self.now

    def wall_ms(self):
        return self.wall


class InstanceRegistryTest(unittest.TestCase):

    def setUp(self):
        self.clock = _Clock()
        self.registry = instance_registry.InstanceRegistry(
            clock=self.clock, fresh_s=5.0
        )

    def read(self, name, *, version=1, age_s=0.0):
        row = {
            "data_centre": "dc1",
            "address": "10.0.0.1:1",
            "written_ms": self.clock.wall - int(age_s * 1_000),
        }
        self.registry.update(
            name, version=version, value=json.dumps(row).encode()
        )

    def names(self):
        return {instance.id for instance in self.registry.instances}

    def test_row_of_a_replaced_instance_is_ignored(self):
        """Guards against connecting to an instance that is gone.

        Seen in a recorded run: all instances waited for the connection to fail.
        """
        self.read("gone", age_s=30.0)
        self.read("stopped-with-all-others", age_s=12.0)
        self.assertEqual(self.names(), {"stopped-with-all-others"})

    def test_instance_with_a_wrong_clock_counts_as_live_once_it_writes(self):
        self.read("i", age_s=3_600.0)
        self.read("i", version=2, age_s=3_600.0)
        self.assertEqual(self.names(), {"i"})
        self.assertEqual(set(self.registry.fresh_announcements()), {"i"})

    def test_row_is_abandoned_only_after_a_minute_without_a_change(self):
        """Guards against removing the row of a live instance.

        The other instances would not find it.
        """
        self.read("dead")
        self.read("alive")
        for version in range(2, 33):
            self.clock.now += 2.0
            self.read("dead")
            self.read("alive", version=version)
            if version <= 30:
                self.assertEqual(self.registry.abandoned, {})
        self.assertEqual(self.registry.abandoned, {"dead": 1})

    def test_malformed_row_is_skipped_and_logged_once(self):
        with self.assertLogs("absl", "WARNING") as logs:
            for _ in range(3):
                self.registry.update("i", version=7, value=b"{")
        self.assertEqual(self.names(), set())
        self.assertEqual(len(logs.output), 1)


if __name__ == "__main__":
    unittest.main()
