"""A text stream for logs that never blocks the event loop."""

import asyncio
import collections
import json
import os

# Lines that a slow reader leaves are kept up to this size; 1 MiB is a third of a
# percent of the memory of the smallest instance.
_MAX_BYTES = 1024 * 1024
# Lines of this time are written together: one system call for each would cost
# more processor time than the lines themselves.
_DELAY_S = 0.02
# Pause before a full pipe is tried again.
_RETRY_S = 0.1


class Sink:
    """Collects lines and writes them to a file descriptor as it takes them.

    A line that does not fit any more is dropped and counted, and the count is
    written with the next line that fits.
    """

    def __init__(self, descriptor: int, *, max_bytes: int = _MAX_BYTES) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._lines: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._dropped = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def dropped(self) -> int:
        """Lines dropped since the last count was written."""
        return self._dropped

    def write(self, text: str) -> int:
        """Takes text for writing."""
        data = text.encode()
        if self._size + len(data) > self._max_bytes:
            self._dropped += 1
            return len(text)
        if self._dropped:
            note = {"message": "log lines dropped", "count": self._dropped}
            self._append(json.dumps(note).encode() + b"\n")
            self._dropped = 0
        self._append(data)
        return len(text)

    def flush(self) -> None:
        """Schedules a write, or writes at once where no loop is running."""
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.drain()
            return
        self._timer = loop.call_later(_DELAY_S, self._drain_later)

    def drain(self) -> None:
        """Writes what the descriptor takes now."""
        while self._lines:
            data = b"".join(self._lines)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; there is nowhere to report it.
                self._dropped += len(self._lines)
                self._lines.clear()
                self._size = 0
                return
            self._lines.clear()
            self._size -= written
            if written < len(data):
                self._lines.append(data[written:])
                return

    def _drain_later(self) -> None:
        self._timer = None
        self.drain()
        if self._lines:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_RETRY_S, self._drain_later)

    def _append(self, data: bytes) -> None:
        self._lines.append(data)
        self._size += len(data)
