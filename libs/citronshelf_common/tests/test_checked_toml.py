"""Tests of the validation of TOML texts."""

from typing import Annotated
from typing import NotRequired
from typing import TypedDict

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from citronshelf_common import checked_toml


class Pool(TypedDict):
    """Nested table of the test schema."""

    slots: Annotated[int, msgspec.Meta(ge=1)]


class Shape(TypedDict):
    """Top-level table of the test schema."""

    name: str
    pools: NotRequired[dict[str, Pool]]


def fault_of(text):
    return checked_toml.load_table(text, 'f.toml', Shape).error


class TestLoadTable:
    """Valid text is loaded; each fault reports its place or its message."""

    def test_good_text(self):
        text = 'name = "a"\n[pools.x]\nslots = 2\n'
        table = checked_toml.load_table(text, 'f.toml', Shape).ok
        assert table['pools']['x']['slots'] == 2

    def test_unknown_key(self):
        fault = fault_of('name = "a"\n[pools.x]\nslots = 1\nslot = 2\n')
        assert (fault.line, fault.key) == (4, 'pools.x.slot')
        assert 'slots' in fault.message

    def test_wrong_type_names_the_table(self):
        fault = fault_of(
            'name = "a"\n[pools.x]\nslots = 1\n[pools.y]\nslots = "2"\n'
        )
        assert (fault.line, fault.key) == (5, 'pools.y.slots')
        assert 'int' in fault.message

    def test_out_of_range(self):
        fault = fault_of('name = "a"\n[pools.x]\nslots = 0\n')
        assert (fault.line, fault.key) == (3, 'pools.x.slots')

    def test_missing_key(self):
        assert 'name' in fault_of('[pools.x]\nslots = 1\n').message

    def test_syntax(self):
        assert fault_of('name = "a"\n[pools\n').line == 2

    @pytest.mark.parametrize(
        'value', ['[' * 5000, '{a=' * 5000, '1' * 5000, 'nan', 'inf']
    )
    def test_values_that_raise_in_tomllib_are_faults(self, value):
        assert fault_of(f'name = {value}').message

    @pytest.mark.parametrize('line', ['[' + ' ' * 5000, 'a.' * 50_000])
    def test_long_lines_take_linear_time(self, line):
        # Backtracking patterns would take cubic and quadratic time here.
        assert fault_of(f'x = """\n{line}\n"""\n').key == 'x'

    def test_lines_of_keys_in_other_spellings(self):
        text = 'name = "\u2028"\n[ pools . "x y" ]\n"slots" = 0\n'
        fault = fault_of(text)
        assert (fault.line, fault.key) == (3, 'pools.x y.slots')

    @settings(derandomize=True, max_examples=300)
    @given(st.text(max_size=80))
    def test_random_text_never_raises(self, text):
        checked_toml.load_table(text, 'f.toml', Shape)
