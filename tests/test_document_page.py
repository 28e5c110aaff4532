"""The document reference lists every key with its default."""

from pathlib import Path
import re
import typing

import pytest

from citronshelf_document import model
from citronshelf_document import shapes

PAGE = Path(__file__).resolve().parent.parent / 'docs/document.md'
KEY = re.compile(r'`(\w+)`')
SECTIONS = {
    'Top level': (shapes.DocumentTable, None),
    '`[pools.<name>]`': (shapes.PoolTable, model.Pool),
    '`[services.<name>]`': (shapes.ServiceTable, model.Service),
    '`[classes.<name>]`': (shapes.ClassTable, model.RequestClass),
    '`[routes.<name>]`': (shapes.RouteTable, None),
    '`[accounts]`': (shapes.AccountsTable, None),
    '`[accounts.named.<account>]`': (shapes.LimitTable, model.AccountLimit),
    '`[cross_region]`': (shapes.CrossRegionTable, model.CrossRegion),
}


def parse_rows(section):
    text = PAGE.read_text(encoding='utf-8')
    section_text = text.partition(f'\n## {section}\n')[2].partition('\n## ')[0]
    rows = [
        [cell.strip() for cell in line.split('|')[1:-1]]
        for line in section_text.splitlines()
    ]
    return {
        KEY.fullmatch(row[0])[1]: row[2].strip('`"')
        for row in rows
        if len(row) == 5 and KEY.fullmatch(row[0])
    }


class TestDocumentPage:
    """The reference matches the types that validate the document."""

    @pytest.mark.parametrize('section', SECTIONS)
    def test_keys_and_defaults(self, section):
        table_type, model_type = SECTIONS[section]
        rows = parse_rows(section)
        hints = typing.get_type_hints(table_type, include_extras=True)
        assert set(rows) == set(hints)
        for key, hint in hints.items():
            optional = typing.get_origin(hint) is typing.NotRequired
            assert bool(rows[key]) == optional, key
            if optional and model_type is not None and key != 'key':
                default = str(model_type._field_defaults[key]).lower()
                assert rows[key] == default, key
