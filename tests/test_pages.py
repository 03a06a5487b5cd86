"""Tests that the documentation pages are complete."""

import dataclasses
import pathlib
import unittest

from sesameroad.command_line import exits
from sesameroad.configuration import document
from sesameroad.model import instances
from sesameroad.model import outcomes
from sesameroad.operators import commands
from sesameroad.settings import node
from sesameroad.settings import settings

_DOCS = pathlib.Path(__file__).parent.parent / "docs"


class PagesTest(unittest.TestCase):
    """Guards against settings, causes and commands missing from the pages."""

    def test_settings_page_has_every_field(self):
        page = (_DOCS / "settings.md").read_text()
        classes = (
            *(settings.Settings, settings.Limits),
            *(settings.Timing, settings.Operator),
            *(document.Kind, document.Product, document.Operations),
            *(document.DrainedSet, instances.Instance),
        )
        for settings_class in classes:
            for field in dataclasses.fields(settings_class):
                self.assertRegex(page, rf"`([a-z.*]+\.)?{field.name}(\.|`)")

    def test_settings_page_has_every_field_of_an_instance(self):
        page = (_DOCS / "settings.md").read_text()
        page = page.partition("# Settings of an instance on the platform")[2]
        for settings_class in (node.Node, node.Timing):
            for field in dataclasses.fields(settings_class):
                if field.name != "timing":
                    self.assertRegex(page, rf"`(timing\.)?{field.name}`")

    def test_callers_page_has_every_cause(self):
        page = (_DOCS / "callers.md").read_text()
        for cause in outcomes.Cause:
            self.assertIn(f"`{cause.value}`", page)

    def test_operators_page_has_the_whole_language(self):
        page = (_DOCS / "operators.md").read_text()
        names = [*commands.State, *commands.Topic, *commands.Level]
        for name in names:
            self.assertIn(name.value, page)
        for code, text in exits.MEANINGS.items():
            self.assertIn(
                f"| {code} | {text.replace('burn --check', '`burn --check`')} |",
                page,
            )
