"""The event catalogue of each package lists exactly its log events."""

import importlib
from pathlib import Path
import re

import pytest

from citronshelf_common import events

ROOT = Path(__file__).resolve().parent.parent
ROW = re.compile(r'^\| (\d+) \| ([a-z0-9-]+) \| ([A-Z]+) \|', re.MULTILINE)
FIRST_NUMBER = {
    'common': 1000,
    'document': 1100,
    'health': 1200,
    'traffic': 1300,
    'peering': 1400,
    'entry': 1500,
    'control': 1600,
    'client': 1700,
    'standins': 1800,
    'instance': 1900,
}
PACKAGES = [
    name
    for name in FIRST_NUMBER
    if (
        ROOT / f'libs/citronshelf_{name}/citronshelf_{name}/events.py'
    ).exists()
]


def declared_events(package):
    module = importlib.import_module(f'citronshelf_{package}.events')
    return {
        (value.number, value.name, events.logging.getLevelName(value.level))
        for value in vars(module).values()
        if isinstance(value, events.Event)
    }


class TestCatalogue:
    """The catalogue and the code list the same events."""

    @pytest.mark.parametrize('package', PACKAGES)
    def test_page_lists_exactly_the_declared_events(self, package):
        page = ROOT / f'docs/events/citronshelf_{package}.md'
        rows = ROW.findall(page.read_text(encoding='utf-8'))
        listed = {(int(number), name, level) for number, name, level in rows}
        assert listed == declared_events(package)

    @pytest.mark.parametrize('package', PACKAGES)
    def test_numbers_are_in_range(self, package):
        first = FIRST_NUMBER[package]
        for number, _name, _level in declared_events(package):
            assert first <= number < first + 100
