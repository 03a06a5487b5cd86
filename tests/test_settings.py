"""Tests the validation of an entry's settings."""

import unittest

import msgspec

from sesameroad import errors
from sesameroad.settings import settings

_VALID = {
    "instance_id": "dc1-entry1",
    "data_centre": "dc1",
    "web": {"host": "127.0.0.1", "port": 8080},
    "peer": {"host": "127.0.0.1", "port": 8081},
    "platform_url": "http://127.0.0.1:9000",
    "key_secret": "a secret of the fleet",
}
_OPERATOR = {"name": "omar", "role": "operations", "token": "t" * 16}


def _read(**changes):
    text = msgspec.json.encode({**_VALID, **changes})
    return settings.Settings.from_json(text, source="test")


class SettingsTest(unittest.TestCase):
    """Guards against mistakes that would silently keep a setting's default."""

    def test_valid_settings_are_read(self):
        self.assertEqual(_read(operators=[_OPERATOR]).operators[0].name, "omar")

    def test_mistakes_are_refused_with_name_and_path(self):
        cases = {
            "`poll`": {"timing": {"poll": 1}},
            r"\$\.fallback\.operations": {
                "fallback": {"operations": {"team_quota": {}}}
            },
            r"\$\.fallback\.product\.kinds\.x": {
                "fallback": {"product": {"kinds": {"x": {"target": 1}}}}
            },
            r"\$\.operators\[0\]": {"operators": [{**_OPERATOR, "x": 1}]},
            "same name": {"operators": [_OPERATOR, _OPERATOR]},
            "heartbeat_s": {"timing": {"heartbeat_s": 2.0}},
            "platform_url": {"platform_url": "127.0.0.1:9000"},
            "max_records": {"limits": {"max_records": 0}},
            "max_held_bytes": {"limits": {"max_held_bytes": 1}},
        }
        for text, changes in cases.items():
            with (
                self.subTest(text),
                self.assertRaisesRegex(errors.SettingsError, text),
            ):
                _read(**changes)
