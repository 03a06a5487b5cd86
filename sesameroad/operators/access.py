"""Authenticates operators by the bearer tokens in the settings."""

from collections.abc import Iterable
import hashlib
import hmac

from sesameroad.operators import interpreter
from sesameroad.settings import settings

_SCHEME = "bearer"


class Access:
    """Finds the operator to whom a bearer token belongs."""

    __slots__ = ("_operators",)

    def __init__(self, operators: Iterable[settings.Operator]) -> None:
        self._operators = [
            (
                _digest(operator.token),
                interpreter.Author(operator.name, operator.role),
            )
            for operator in operators
        ]

    def find(self, authorization: str | None) -> interpreter.Author | None:
        """Returns the operator of an Authorization header, or None.

        Digests of equal length are compared in constant time, and all of them
        every time, so that the response time reveals nothing about the tokens.
        """
        scheme, _, token = (authorization or "").partition(" ")
        if scheme.lower() != _SCHEME:
            return None
        given = _digest(token.strip())
        found = None
        for digest, author in self._operators:
            if hmac.compare_digest(digest, given):
                found = author
        return found


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode(errors="surrogateescape")).digest()
