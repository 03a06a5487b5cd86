"""Issued keys: signed names of work that contain their home and expiry."""

import dataclasses
import hashlib
import hmac
import re
import secrets
from typing import Self

from sesameroad import errors
from sesameroad.model import clocks

PREFIX = "sr1"
# Starts the nonce of keys that were not given to a caller.
_NOT_HELD_PREFIX = "u"
_CHOSEN_KEY = re.compile(r"[!-.0-~]{1,200}")
_FIELD_COUNT = 6
_MAC_HEX_DIGITS = 32


@dataclasses.dataclass(slots=True, frozen=True)
class IssuedKey:
    """An issued key and its parts.

    Attributes:
        text: The whole key, as given to callers.
        data_centre: Data centre of the home.
        incarnation: The one incarnation that may start the key's tasks.
        expiry_ms: Wall time after which the home starts no tasks of the key.
        held: Whether a caller may submit work under the key. False for keys of
            work that was submitted without one: the ledger drops them once the
            work is answered, so it could not detect a second submission.
    """

    text: str
    data_centre: str
    incarnation: str
    expiry_ms: int
    held: bool = True


def is_issued(text: str) -> bool:
    """Returns whether a key has the form of an issued key."""
    return text.startswith(PREFIX + ".")


def chosen_name(team: str, key: str) -> str:
    """Returns the fleet-wide name of a key that a caller chose.

    Teams choose keys independently of each other, so the name includes both.

    Raises:
        KeyInvalidError: If the key is not 1 to 200 visible ASCII characters
            other than a slash, which separates the parts of names.
    """
    if not _CHOSEN_KEY.fullmatch(key):
        raise errors.KeyInvalidError(
            "a key is 1 to 200 visible ASCII characters without a slash",
            step="check key",
        )
    return f"{team}/{key}"


class Issuer:
    """Issues keys of this incarnation and verifies keys of all incarnations."""

    __slots__ = (
        "_clock",
        "_data_centre",
        "_incarnation",
        "_lifetime_ms",
        "_secret",
    )

    def __init__(
        self,
        *,
        secret: bytes,
        data_centre: str,
        incarnation: str,
        lifetime_ms: int,
        clock: clocks.Clock,
    ) -> None:
        self._secret = secret
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._lifetime_ms = lifetime_ms
        self._clock = clock

    @classmethod
    def from_secret(
        cls,
        secret: str,
        *,
        data_centre: str,
        incarnation: str,
        lifetime_s: float,
        clock: clocks.Clock,
    ) -> Self:
        """Returns an issuer for a secret from the settings."""
        return cls(
            secret=secret.encode(),
            data_centre=data_centre,
            incarnation=incarnation,
            lifetime_ms=int(lifetime_s * 1_000),
            clock=clock,
        )

    def issue(self, *, not_before_ms: int = 0, held: bool = True) -> IssuedKey:
        """Returns a new key whose home is this incarnation.

        Args:
            not_before_ms: Wall time before which the key does not expire.
            held: Whether a caller may submit work under the key.
        """
        expiry_ms = max(
            self._clock.wall_ms() + self._lifetime_ms, not_before_ms
        )
        nonce = ("" if held else _NOT_HELD_PREFIX) + secrets.token_hex(8)
        body = (
            f"{PREFIX}.{self._data_centre}.{self._incarnation}"
            f".{expiry_ms}.{nonce}"
        )
        return IssuedKey(
            text=f"{body}.{self._sign(body)}",
            data_centre=self._data_centre,
            incarnation=self._incarnation,
            expiry_ms=expiry_ms,
            held=held,
        )

    def verify(self, text: str) -> IssuedKey:
        """Returns the parts of a key.

        Raises:
            KeyInvalidError: If the key is malformed or its signature is wrong.
        """
        parts = text.split(".")
        if len(parts) != _FIELD_COUNT or parts[0] != PREFIX:
            raise errors.KeyInvalidError("malformed key", step="verify key")
        body, _, mac = text.rpartition(".")
        if not hmac.compare_digest(self._sign(body).encode(), mac.encode()):
            raise errors.KeyInvalidError("wrong signature", step="verify key")
        return IssuedKey(
            text=text,
            data_centre=parts[1],
            incarnation=parts[2],
            expiry_ms=int(parts[3]),
            held=not parts[4].startswith(_NOT_HELD_PREFIX),
        )

    def _sign(self, body: str) -> str:
        mac = hmac.new(self._secret, body.encode(), hashlib.sha256)
        return mac.hexdigest()[:_MAC_HEX_DIGITS]


def new_incarnation() -> str:
    """Returns a random 64-bit identifier as hexadecimal digits."""
    return secrets.token_hex(8)
