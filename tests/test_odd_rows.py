"""Instances whose tables hold rows that another writer has left there."""

import asyncio
import base64
import json

from standins import deployment
from tests import test_serve

_DEEP = b"[" * 100_000 + b"]" * 100_000
_DIGITS = b"9" * 401
# Longer than the period in which an instance that leads nothing reads the list.
_READ_S = 4.0

_GOOD = {
    "service": "service",
    "address": "127.0.0.1:9",
    "zone": "dc1",
    "state": "ready",
    "slots": 8,
    "born": 1_000,
    "capacity": {"cpu": 16_000, "mem-mb": 32_768, "gpu": 0},
    "labels": [],
}


def _changed(entry, **changes):
    return json.dumps({**entry, **changes}).encode()


def _nested(entry):
    return json.dumps(entry)[:-1].encode() + b',"x":' + _DEEP + b"}"


def _with_number(entry, field, digits):
    text = json.dumps({**entry, field: "@"}).encode()
    return text.replace(b'"@"', digits)


ENDPOINT_ROWS = {
    "nested": _nested(_GOOD),
    "cpu of 401 digits": json.dumps(_GOOD).encode().replace(b"16000", _DIGITS),
    "negative cpu": _changed(_GOOD, capacity={"cpu": -1}),
    "port 99999": _changed(_GOOD, address="127.0.0.1:99999"),
    "port 0": _changed(_GOOD, address="127.0.0.1:0"),
    "port in other digits": _changed(_GOOD, address="127.0.0.1:\u0661\u0662"),
    "host": _changed(_GOOD, address="a b/..@c:80"),
    "many slots": _changed(_GOOD, slots=10**30),
    "unsigned slots": _changed(_GOOD, slots=2**64 - 1),
    "negative slots": _changed(_GOOD, slots=-8),
    "negative born": _changed(_GOOD, born=-1),
    "large born": _with_number(_GOOD, "born", _DIGITS),
    "no JSON": b"\xff\xfe",
    "empty": b"",
}
_INSTANCE = {"data_centre": "dc1", "address": "127.0.0.1:9", "beat": 1}
INSTANCE_ROWS = {
    "nested": _nested(_INSTANCE),
    "port 99999": _changed(_INSTANCE, address="127.0.0.1:99999"),
    "no port": _changed(_INSTANCE, address="nowhere"),
    "host": _changed(_INSTANCE, address="a b/..@c:80"),
    "beat": _with_number(_INSTANCE, "beat", _DIGITS),
    "written": _with_number(_INSTANCE, "written_ms", _DIGITS),
    "token": _changed(_INSTANCE, tokens={"dc1": 2**63 - 1}),
    "negative token": _changed(_INSTANCE, tokens={"dc1": -5}),
    "no JSON": b"\xff\xfe",
}
_DOCUMENT = {"version": 9, "routes": []}
CONFIGURATIONS = {
    "nested": _nested(_DOCUMENT),
    "version": _with_number(_DOCUMENT, "version", _DIGITS),
    "negative version": _changed(_DOCUMENT, version=-1),
    "limit": _changed(_DOCUMENT, limits={"idle-timeout-ms": -1}),
    "no JSON": b"\xff\xfe",
}


class OddRowsTest(test_serve.InstancesTest):
    """Guards against instances that end, or stop following, at odd rows."""

    async def _check_serving(self, prefix=deployment.PATH_PREFIX):
        for number, instance in enumerate(self.deployment.instances):
            self.assertTrue(instance.running, instance.name)
            for key in range(4):
                status, _ = await self.call(
                    "POST",
                    f"{prefix}{number:08x}{key:08x}",
                    instance=number,
                    body=test_serve.job_body(run_s=0.05),
                )
                self.assertEqual(status, 200)

    def _logs(self):
        return [
            json.loads(line)
            for instance in self.deployment.instances
            for line in instance.log.read_text().splitlines()
            if line.startswith("{")
        ]

    def _check_logs(self):
        failures = [
            line
            for line in self._logs()
            if "background loop failed" in line["message"]
            or "unexpected" in line["message"]
        ]
        self.assertEqual(failures, [])

    def _put(self, table, key, value):
        text = base64.b64encode(value).decode()
        row = {"table": table, "key": key, "value": text}
        self.deployment.store.transact({"puts": [row]})

    async def test_rows_of_endpoints(self):
        for name, value in ENDPOINT_ROWS.items():
            self._put("servers", name, value)
        await asyncio.sleep(_READ_S)
        await self._check_serving()
        # An instance that still follows the list uses an endpoint added later.
        await self.deployment.add_endpoint("later")
        for name in ("e0", "e1"):
            await self.deployment.remove_endpoint(name)
        await asyncio.sleep(_READ_S)
        await self._check_serving()
        self._check_logs()
        reported = [
            (line["instance"], line["peer"])
            for line in self._logs()
            if "names no endpoint" in line["message"]
        ]
        self.assertEqual(
            sorted(reported),
            sorted(
                (instance.name, name)
                for instance in self.deployment.instances
                for name in ENDPOINT_ROWS
            ),
            "each row is reported once by each instance",
        )

    async def test_rows_of_instances(self):
        for name, value in INSTANCE_ROWS.items():
            self._put("instances", name, value)
        await asyncio.sleep(_READ_S)
        await self._check_serving()
        self._check_logs()

    async def test_configurations(self):
        for value in CONFIGURATIONS.values():
            self._put("op", "config", value)
            await asyncio.sleep(0.3)
        await self._check_serving()
        await self.deployment.configure(version=10, prefix="/moved/")
        await asyncio.sleep(_READ_S)
        await self._check_serving("/moved/")
        self._check_logs()
