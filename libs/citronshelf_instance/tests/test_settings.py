"""Tests of the settings file."""

from pathlib import Path

import pytest

from citronshelf_common import checked_toml
from citronshelf_instance import settings

EXAMPLE = Path(__file__).resolve().parents[3] / 'examples' / 'instance.toml'


def load(text):
    return checked_toml.load_table(text, 'instance.toml', settings.Settings)


class TestExample:
    """The example is valid, and errors in it are located."""

    def test_is_valid(self):
        assert load(EXAMPLE.read_text(encoding='utf-8')).is_ok()

    def test_memory_is_optional(self):
        text = EXAMPLE.read_text(encoding='utf-8')
        assert load(text.replace('memory_mb = 300\n', '')).is_ok()

    @pytest.mark.parametrize(
        'good, bad, key',
        [
            ('memory_mb = 300', 'memory_mb = 1', 'instance.memory_mb'),
            ('ratio = 0.2', 'ratio = "much"', 'retries.ratio'),
            ('accept_s = 3.0', 'accept_s = -1', 'shutdown.accept_s'),
            ('"127.0.0.1:8384"', '"store"', 'store.address'),
            ('name = "howrah-1"', '', 'instance'),
            ('lines_per_s', 'lines', 'log'),
        ],
    )
    def test_fault_names_key_and_line(self, good, bad, key):
        text = EXAMPLE.read_text(encoding='utf-8')
        fault = load(text.replace(good, bad)).error
        assert fault.key.startswith(key)
        assert fault.line > 0


class TestHedging:
    """The table for second attempts is optional and checked."""

    def load_with(self, table):
        text = EXAMPLE.read_text(encoding='utf-8')
        return load(f'{text}\n[hedging]\n{table}')

    def test_values_by_service_and_route_are_valid(self):
        loaded = self.load_with(
            'limit = 0.02\nquantile = 0.95\n'
            '[hedging.services."a.b"]\nafter_s = 0.2\n'
            '[hedging.routes.lookup]\nlimit = 0.0\n'
        )
        assert loaded.ok['hedging']['services'] == {'a.b': {'after_s': 0.2}}

    # Guards against values that would allow any extra work or none.
    @pytest.mark.parametrize(
        'table, key',
        [
            ('limit = 2', 'hedging.limit'),
            ('quantile = 0.9', 'hedging'),
            ('limit = 0.1\nquantile = 1.0', 'hedging.quantile'),
            ('limit = 0.1\nafter_s = -1', 'hedging.after_s'),
            ('limit = 0.1\nshare = 1', 'hedging.share'),
            (
                'limit = 0.1\n[hedging.routes.a]\nlimit = 2',
                'hedging.routes.a.limit',
            ),
        ],
    )
    def test_fault_names_the_key(self, table, key):
        assert self.load_with(table).error.key == key
