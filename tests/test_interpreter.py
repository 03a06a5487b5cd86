"""Tests operators' commands over several entries."""

import unittest

from sesameroad import errors
from sesameroad.configuration import document
from sesameroad.model import outcomes
from sesameroad.operators import answers
from sesameroad.operators import interpreter as interpreter_module
from sesameroad.operators import recent_events as recent_events_module
from standins import fleet as fleet_module

_OMAR = interpreter_module.Author("omar", document.Role.OPERATIONS)
_PAOLA = interpreter_module.Author("paola", document.Role.PRODUCT)


class _Inspection:

    def __init__(self, entry):
        self.entry = entry

    def work(self):
        return [
            {"entry": self.entry, "key": f"{self.entry}-{kind}", "kind": kind,
             "team": "t", "age_ms": age_ms, "running": 1, "queued": 0}
            for kind, age_ms in (("checkout", 900), ("lookup", 10))
        ]  # fmt: skip

    def summary(self):
        numbers = ("running", "queued", "records", "slots_used", "slots")
        return {
            "entry": self.entry,
            "data_centre": "dc1",
            **dict.fromkeys(numbers, 2),
        }

    def endpoints(self):
        return [{"endpoint": "e", "slots_used": 1, "state": "live"}]

    def explain(self, key):
        return [{"at_ms": 1, "entry": self.entry, "step": key, "detail": ""}]

    def cancel(self, key):
        return key == f"{self.entry}-lookup"

    def burn(self):
        return []


class _Fleet:
    """One entry that answers, one that does not, and two with bad answers."""

    async def ask(self, text):
        other = interpreter(_Inspection("two")).answer_peer(text)
        failing = answers.EntryAnswer("old", error="unknown command").to_json()
        return {"two": other, "old": failing, "bad": b"{"}, ["gone"]

    def listed(self):
        return [{"entry": "gone"}, {"entry": "one"}]


UNCONFIRMED = "set retries 99"


class _Changer:
    """Applies edits in memory, by compare and set."""

    def __init__(self):
        self.current = document.Version(
            3,
            "paola",
            document.Role.PRODUCT,
            "",
            "s",
            fleet_module.default_document(),
        )

    async def change(self, edit, *, author, role, summary, expected_version):
        if expected_version not in {None, self.current.number}:
            raise errors.ConflictError("version 3 by paola came first")
        if summary == UNCONFIRMED:
            raise errors.ChangeUnknownError("the write got no answer")
        self.current = document.Version(
            4, author, role, "", summary, edit(self.current.document)
        )
        return self.current


def interpreter(inspection=None, recent_events=None):
    changer = _Changer()
    return interpreter_module.Interpreter(
        inspection=inspection or _Inspection("one"),
        fleet=_Fleet(),
        recent_events=recent_events or recent_events_module.RecentEvents(),
        configuration=changer,
        changer=changer,
    )


class InterpreterTest(unittest.IsolatedAsyncioTestCase):
    """Guards against partial answers that look complete, and wrong changes."""

    async def _run(self, text, author=_OMAR, **dependencies):
        return await interpreter(**dependencies).run(text, author)

    async def test_answers_are_merged_and_missing_entries_named(self):
        answer = await self._run("show running where kind = lookup")
        self.assertEqual(
            {row["key"] for row in answer.rows}, {"one-lookup", "two-lookup"}
        )
        self.assertEqual(answer.not_answered, ("bad", "gone", "old"))
        limited = await self._run("show running limit 1")
        self.assertEqual((len(limited.rows), limited.more), (1, True))
        self.assertEqual(limited.rows[0]["age_ms"], 900)

    async def test_topics_are_merged(self):
        fleet = await self._run("show fleet")
        self.assertEqual(
            (fleet.rows[0]["entries"], fleet.rows[0]["slots"]), (2, 2)
        )
        endpoints = await self._run("show endpoints")
        self.assertEqual([r["slots_used"] for r in endpoints.rows], [2])
        entries = await self._run("show entries")
        self.assertEqual(
            {r["entry"] for r in entries.rows}, {"one", "two", "gone"}
        )
        self.assertEqual(len((await self._run("explain k")).rows), 2)
        settings = {r["setting"]: r["value"]
                    for r in (await self._run("show configuration")).rows}  # fmt: skip
        self.assertEqual(settings["product.kinds.lookup.target_ms"], 500)

    async def test_cancel_reports_whether_the_key_is_known(self):
        known = await self._run("cancel two-lookup")
        self.assertEqual(known.rows, ({"entry": "two"},))
        self.assertIn("no entry", (await self._run("cancel x")).notes[0])

    async def test_many_events_of_one_cause_keep_those_of_another(self):
        recent_events = recent_events_module.RecentEvents()
        causes = [outcomes.Cause.PLATFORM_DOWN] + [
            outcomes.Cause.OVERLOAD
        ] * 9_999
        for number, cause in enumerate(causes):
            recent_events.record_answer(
                key=str(number), kind="lookup", team="t", tasks=1,
                outcome=outcomes.NotRun(cause, "x" * 999), seconds=0.0,
                target_ms=1, now_ms=number,
            )  # fmt: skip
        text = "show refused where entry = one and cause = {} limit 1000"
        for cause, total in (("platform-down", 1), ("overload", 500)):
            answer = await self._run(
                text.format(cause), recent_events=recent_events
            )
            self.assertEqual(len(answer.rows), total)
        self.assertEqual(answer.rows[0]["key"], "9999")

    async def test_late_is_measured_against_the_target(self):
        answer = await self._run("show late")
        self.assertEqual({r["kind"] for r in answer.rows}, {"checkout"})

    async def test_role_decides_which_settings_may_be_changed(self):
        for text, allowed, refused in (
            ("set kind lookup share 3", _PAOLA, _OMAR),
            ("set team storefront weight 2", _PAOLA, _OMAR),
            ("set team storefront quota 2", _OMAR, _PAOLA),
            ("drain rack r1", _OMAR, _PAOLA),
            ("set ceiling lookup 4", _OMAR, _PAOLA),
        ):
            with self.subTest(text):
                self.assertEqual((await self._run(text, allowed)).version, 4)
                with self.assertRaises(errors.RoleError):
                    await self._run(text, refused)
        with self.assertRaises(errors.RoleError):
            await self._run("set team storefront quota 2 weight 2")

    async def test_version_condition_is_passed_on(self):
        await self._run("set retries 5 if version 3")
        with self.assertRaises(errors.ConflictError):
            await self._run("set retries 5 if version 2")

    async def test_change_at_a_peer_is_refused(self):
        """Guards against changes that bypass an entry's compare-and-set."""
        answer = answers.decode_entry_answer(
            interpreter().answer_peer("set retries 5"), entry="one"
        )
        self.assertIn("one entry", answer.error)
