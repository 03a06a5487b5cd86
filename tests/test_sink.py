"""Tests of the log sink with a pipe that is not read."""

import asyncio
import json
import os
import subprocess
import sys
import unittest

from sesameroad.telemetry import sink as sink_module
from tests import _virtual


class SinkTest(unittest.TestCase):
    """Guards against a slow log reader that affects the dispatcher."""

    def setUp(self):
        self.reader, writer = os.pipe()
        self.sink = sink_module.Sink(writer, max_bytes=200_000)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)

    def test_full_pipe_neither_blocks_nor_grows_without_bound(self):
        """Guards against a dispatcher that stops when its log reader stops."""
        for number in range(10_000):
            self.sink.write(f'{{"line": {number}}}{" " * 60}\n')
            self.sink.flush()
        self.assertGreater(self.sink.dropped, 0)
        self.assertLessEqual(self.sink._buffered_bytes, 200_000)

    def test_dropped_lines_are_counted_and_reported(self):
        """Guards against lines that are lost without a trace in the log."""
        for number in range(10_000):
            self.sink.write(f'{{"line": {number}}}{" " * 60}\n')
            self.sink.flush()
        dropped = self.sink.dropped
        text = b""
        while self.sink._lines:
            text += os.read(self.reader, 1 << 20)
            self.sink.drain()
        self.sink.write('{"line": "last"}\n')
        self.sink.drain()
        text += os.read(self.reader, 1 << 20)
        lines = [json.loads(line) for line in text.decode().splitlines()]
        self.assertEqual(
            lines[-2], {"message": "log lines dropped", "count": dropped}
        )
        self.assertEqual(len(lines) - 2 + dropped, 10_000)


_LOGGING_PROCESS = """
from absl import flags
from sesameroad.telemetry import log
from sesameroad.telemetry import sink
flags.FLAGS(["process"])
log.configure(instance_id="i1", data_centre="dc1", stream=sink.Sink(1))
log.event("instance stopped", step="stop")
"""


class ExitTest(unittest.TestCase):
    """Guards against a traceback among the logs of each stopped process."""

    def test_process_that_logs_to_a_sink_exits_without_an_error(self):
        process = subprocess.run(
            [sys.executable, "-c", _LOGGING_PROCESS],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual(process.stderr, "")
        self.assertEqual(
            json.loads(process.stdout)["message"], "instance stopped"
        )


class DelayTest(_virtual.VirtualTimeTest):
    """Guards against one system call per log line."""

    async def test_lines_are_written_together(self):
        reader, writer = os.pipe()
        sink = sink_module.Sink(writer)
        for _ in range(3):
            sink.write("x\n")
            sink.flush()
        self.assertTrue(sink._lines)
        await asyncio.sleep(0.1)
        self.assertEqual(os.read(reader, 100), b"x\nx\nx\n")
        os.close(reader)
        os.close(writer)
