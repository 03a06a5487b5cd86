"""Text stream for logs that never blocks the event loop."""

import asyncio
import collections
import json
import os

# Maximum size of the lines that wait for a slow reader. 1 MiB is a third of a
# percent of the memory of the smallest instance.
_MAX_BUFFERED_BYTES = 1024 * 1024
# Lines that arrive within this delay are written by one system call. A system
# call for each line would take more processor time than producing the line.
_WRITE_DELAY_S = 0.02
# Delay before the next write to a full pipe.
_RETRY_DELAY_S = 0.1


class Sink:
    """Buffers lines and writes them to a non-blocking file descriptor.

    Lines that exceed the buffer are dropped. Their number is written before the
    next line that fits.
    """

    def __init__(
        self, descriptor: int, *, max_bytes: int = _MAX_BUFFERED_BYTES
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._dropped = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last count was written."""
        return self._dropped

    def write(self, text: str) -> int:
        """Adds text to the buffer, or drops it if the buffer is full."""
        data = text.encode()
        if self._buffered_bytes + len(data) > self._max_bytes:
            self._dropped += 1
            return len(text)
        if self._dropped:
            note = {"message": "log lines dropped", "count": self._dropped}
            self._append(json.dumps(note).encode() + b"\n")
            self._dropped = 0
        self._append(data)
        return len(text)

    def flush(self) -> None:
        """Schedules a write, or writes immediately if no event loop runs."""
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.drain()
            return
        self._timer = loop.call_later(_WRITE_DELAY_S, self._on_timer)

    def close(self) -> None:
        """Writes the rest of the buffer; the descriptor stays open.

        The logging library closes its stream when the process exits.
        """
        self.drain()

    def drain(self) -> None:
        """Writes as much of the buffer as the descriptor accepts now."""
        while self._lines:
            data = b"".join(self._lines)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the error cannot be logged.
                self._dropped += len(self._lines)
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._lines.clear()
            self._buffered_bytes -= written
            if written < len(data):
                self._lines.append(data[written:])
                return

    def _on_timer(self) -> None:
        self._timer = None
        self.drain()
        if self._lines:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_RETRY_DELAY_S, self._on_timer)

    def _append(self, data: bytes) -> None:
        self._lines.append(data)
        self._buffered_bytes += len(data)
