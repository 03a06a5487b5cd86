"""Errors of the library, each with the step and the peer where it occurred."""


class SesameroadError(Exception):
    """Base class of all errors of this library.

    Attributes:
        step: The operation that failed, for example "claim" or "send".
        peer: The instance, endpoint or service involved, empty if none.
    """

    def __init__(self, detail: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(detail)
        self.step = step
        self.peer = peer

    @property
    def detail(self) -> str:
        """The description without step and peer."""
        return super().__str__()

    def __str__(self) -> str:
        parts = [self.detail]
        if self.step:
            parts.append(f"step={self.step}")
        if self.peer:
            parts.append(f"peer={self.peer}")
        return " ".join(parts)


class SettingsError(SesameroadError):
    """The settings of a process are invalid."""


class KeyInvalidError(SesameroadError):
    """A key is malformed, or its signature does not match."""


class StartRefusedError(SesameroadError):
    """The ledger of this incarnation refuses the start of a task."""


class LedgerFullError(SesameroadError):
    """A limit on the records or bytes of the ledger is reached."""


class LedgerStoppedError(SesameroadError):
    """The incarnation is stopping and starts no more tasks."""


class KeyExpiredError(SesameroadError):
    """A key has expired, or may have been dropped, and is no longer run."""


class KeyReusedError(SesameroadError):
    """A key was used again with a different body."""


class MalformedError(SesameroadError):
    """Content that another process has written cannot be used."""


class PlatformError(SesameroadError):
    """The platform did not answer, or answered with an error."""


class PeerError(SesameroadError):
    """A peer did not answer, or the stream to it broke."""


class PeerNotSentError(PeerError):
    """A message was not sent to a peer."""


class CommandError(SesameroadError):
    """An operator's command cannot be parsed or carried out."""


class RoleError(SesameroadError):
    """An operator's role may not make the change that a command asks for."""


class ConfigurationError(SesameroadError):
    """A configuration document is invalid."""


class ConflictError(SesameroadError):
    """A concurrent configuration change was written first."""


class ChangeUnknownError(SesameroadError):
    """A configuration change may or may not have taken effect."""
