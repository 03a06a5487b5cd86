"""Measures the processor time of the start of an instance.

usage: python -m benchmarks.startup [--against=PATH] [--repeat=N]

Starts `serve` as the platform does, without a store, and reads the processor time of
the process when its port for callers accepts a connection, and when it has loaded and
its metrics can be read. With --against, a second checkout is measured in turn, so that
other load on the machine affects both alike. The libraries are those of the running
interpreter in both cases. Bytecode is compiled before the first measurement.

Figures are the least of all repetitions: load of other processes can only add to them.
"""

import compileall
import dataclasses
import json
import os
import pathlib
import socket
import subprocess
import sys
import sysconfig
import tempfile
import time
from typing import Self

from absl import app
from absl import flags

from standins import fleet

_AGAINST = flags.DEFINE_string(
    "against", None, "Path of another checkout to measure as well."
)
_REPEAT = flags.DEFINE_integer("repeat", 7, "Number of starts per checkout.")

_HERE = pathlib.Path(__file__).resolve().parents[1]
_TICK_S = 1 / os.sysconf("SC_CLK_TCK")
_PAGE_MIB = os.sysconf("SC_PAGE_SIZE") / 1024**2
_TIMEOUT_S = 20.0
# Fields of /proc/PID/stat after the command: user and system time in ticks, and
# resident pages.
_USER, _SYSTEM, _RESIDENT = 11, 12, 21
_COUNT_MODULES = (
    "import sys; import sesameroad.command_line.main as m;"
    " m._load_module('serve'); {}; print(len(sys.modules))"
)
_MODULE_COUNTS = {
    "modules, listening": "pass",
    "modules, loaded": "import sesameroad.node.service",
}


@dataclasses.dataclass(slots=True)
class _Usage:
    """Use of resources by a process: seconds and MiB."""

    processor_s: float
    memory_mib: float

    @classmethod
    def read(cls, pid: int) -> Self:
        """Reads the use of a live process."""
        text = pathlib.Path(f"/proc/{pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        ticks = int(fields[_USER]) + int(fields[_SYSTEM])
        return cls(ticks * _TICK_S, int(fields[_RESIDENT]) * _PAGE_MIB)


def _environment(checkout: pathlib.Path) -> dict[str, str]:
    return {
        **os.environ,
        "PYTHONPATH": f"{checkout}:{sysconfig.get_path('purelib')}",
        # As in deploy/system.toml.
        "SSL_CERT_FILE": "/dev/null",
    }


def _base_interpreter() -> str:
    """Returns the interpreter without a virtual environment.

    The platform runs `python3` with the libraries on the path.
    """
    return str(getattr(sys, "_base_executable", sys.executable))


def _connect(address: str, due_at: float) -> socket.socket:
    host, _, port = address.partition(":")
    while True:
        try:
            return socket.create_connection((host, int(port)), _TIMEOUT_S)
        except ConnectionRefusedError:
            if time.monotonic() > due_at:
                raise
            time.sleep(0.001)


def _measure_start(checkout: pathlib.Path) -> dict[str, float]:
    """Starts an instance once and returns its figures."""
    ports = {
        name: f"127.0.0.1:{fleet.free_port()}"
        for name in ("web", "ready", "peer", "metrics", "platform")
    }
    settings = {
        "instance_id": "i1",
        "data_centre": "dc1",
        "data_centres": {"dc1": "region"},
        "max_lease_ms": 1_000,
        **ports,
    }
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory, "settings.json")
        path.write_text(json.dumps(settings))
        began_at = time.monotonic()
        process = subprocess.Popen(
            [
                _base_interpreter(),
                *("-m", "sesameroad.command_line.main", "serve"),
                f"--settings={path}",
            ],
            cwd=checkout,
            env=_environment(checkout),
            stdout=subprocess.DEVNULL,
        )
        try:
            due_at = began_at + _TIMEOUT_S
            with _connect(ports["web"], due_at):
                listening = _Usage.read(process.pid)
                listening_s = time.monotonic() - began_at
            with _connect(ports["metrics"], due_at) as connection:
                connection.sendall(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
                if not connection.recv(1):
                    raise ConnectionError("the request was not answered")
                loaded = _Usage.read(process.pid)
                loaded_s = time.monotonic() - began_at
        finally:
            process.kill()
            process.wait()
    return {
        "processor time to listening, s": listening.processor_s,
        "time to listening, s": listening_s,
        "processor time to loaded, s": loaded.processor_s,
        "time to loaded, s": loaded_s,
        "memory when loaded, MiB": loaded.memory_mib,
    }


def _measure(checkouts: dict[str, pathlib.Path]) -> None:
    """Prints the figures of all checkouts side by side."""
    rows: dict[str, dict[str, float]] = {}
    for name, checkout in checkouts.items():
        compileall.compile_dir(checkout / "sesameroad", quiet=1)
        for label, statement in _MODULE_COUNTS.items():
            counted = subprocess.run(
                [
                    _base_interpreter(),
                    "-c",
                    _COUNT_MODULES.format(statement),
                ],
                cwd=checkout,
                env=_environment(checkout),
                check=True,
                capture_output=True,
            )
            rows.setdefault(label, {})[name] = int(counted.stdout)
    for _ in range(_REPEAT.value):
        for name, checkout in checkouts.items():
            for label, figure in _measure_start(checkout).items():
                row = rows.setdefault(label, {})
                row[name] = min(figure, row.get(name, figure))
    print(f"{'':32}" + "".join(f"{name:>12}" for name in checkouts))
    for label, row in rows.items():
        print(f"{label:32}" + "".join(f"{row[n]:12.2f}" for n in checkouts))


def main(arguments: list[str]) -> None:
    """Runs the benchmark."""
    del arguments  # All options are flags.
    checkouts = {"here": _HERE}
    if _AGAINST.value:
        checkouts["against"] = pathlib.Path(_AGAINST.value).resolve()
    _measure(checkouts)


if __name__ == "__main__":
    app.run(main)
