"""Tests of issued keys."""

import unittest

from sesameroad import errors
from sesameroad.model import clocks
from sesameroad.ownership import keys


def _issuer(secret: str) -> keys.Issuer:
    return keys.Issuer.from_secret(
        secret,
        data_centre="dc1",
        incarnation="00ff",
        lifetime_s=60.0,
        clock=clocks.Clock(),
    )


class IssuerTest(unittest.TestCase):
    """Guards against accepting changed keys and keys of other fleets."""

    def test_genuine_key_is_verified(self):
        issued = _issuer("a secret of the fleet").issue()
        self.assertEqual(
            _issuer("a secret of the fleet").verify(issued.text), issued
        )

    def test_changed_expiry_is_refused(self):
        issuer = _issuer("a secret of the fleet")
        text = issuer.issue().text
        parts = text.split(".")
        parts[3] = str(int(parts[3]) + 1)
        with self.assertRaises(errors.KeyInvalidError):
            issuer.verify(".".join(parts))

    def test_key_of_another_fleet_is_refused(self):
        text = _issuer("a secret of the fleet").issue().text
        with self.assertRaises(errors.KeyInvalidError):
            _issuer("another fleet's secret").verify(text)
