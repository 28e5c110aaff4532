"""Tests of parsing and validating documents."""

import pytest

from citronshelf_document import parsing

VALID = """\
format = 1
[pools.serial-mint]
slots_per_server = 2
connections_per_server = 330
floor_percent = 70
[services.mint]
pool = "serial-mint"
[classes.issue]
idempotent = false
expected_ms = 40
deadline_ms = 5000
[routes.issue-serials]
methods = ["POST"]
path = "/mint/issue"
service = "mint"
class = "issue"
[accounts]
default_requests_per_second = 50
default_burst = 100
"""


def faults_of(text):
    result = parsing.parse_document(text.encode(), 'd.toml')
    return [(f.line, f.key) for f in result.error]


class TestParseDocument:
    """Valid documents are accepted; faults are reported with their place."""

    def test_defaults_are_filled_in(self):
        document = parsing.parse_document(VALID.encode(), 'd.toml').ok
        assert document.pools['serial-mint'].minimum_servers == 1
        assert document.classes['issue'].key == 'optional'
        assert document.cross_region.policy == 'spare'

    @pytest.mark.parametrize(
        ('old', 'new', 'fault'),
        [
            (
                'floor_percent = 70',
                'floor_percent = 101',
                (5, 'floor_percent'),
            ),
            ('_server = 330', '_server = 1', (4, 'connections_per_server')),
            ('pool = "serial-mint"', 'pool = "mint"', (7, 'pool')),
            ('= 5000', '= 39', (11, 'deadline_ms')),
            ('= 5000', '= 5000\nidempotent = 1', (12, '')),
            ('= false', '= true\nkey = "required"', (10, 'key')),
            ('= false', '= false\nworth = nan', (10, 'worth')),
            ('["POST"]', '["POST", "POST"]', (13, 'methods')),
            ('["POST"]', '["BREW"]', (13, 'methods')),
            ('["POST"]', '[]', (13, 'methods')),
            ('/mint/issue', '/mint/../issue', (14, 'path')),
            ('/mint/issue', '/mint/%69ssue', (14, 'path')),
            ('path =', 'prefix =', (14, 'prefix')),
            ('path =', 'prefix = "/"\npath =', (12, 'issue-serials')),
            ('service = "mint"', 'service = "x"', (15, 'service')),
            ('class = "issue"', 'class = "x"', (16, 'class')),
            ('class = "issue"', 'class = "issue"\nhost = "A:1"', (17, 'host')),
            ('[pools.serial-mint]', '[pools."a b"]', (2, 'a b')),
            ('= 50\n', '= 0\n', (18, 'default_requests_per_second')),
            ('format = 1', 'format = 2', (1, 'format')),
        ],
    )
    def test_fault_names_line_and_key(self, old, new, fault):
        assert old in VALID
        found = faults_of(VALID.replace(old, new, 1))
        assert (found[0][0], found[0][1].rpartition('.')[2]) == fault

    def test_every_semantic_fault_is_reported(self):
        text = VALID.replace('"serial-mint"', '"x"').replace('= 5000', '= 1')
        text = text.replace('class = "issue"', 'class = "y"')
        assert [key for _, key in faults_of(text)] == [
            'services.mint.pool',
            'classes.issue.deadline_ms',
            'routes.issue-serials.class',
        ]

    def test_second_of_duplicate_routes_is_a_fault(self):
        copy = VALID[VALID.index('[routes') : VALID.index('[accounts]')]
        copy = copy.replace('issue-serials', 'again').replace(
            '["POST"]', '["GET", "POST"]'
        )
        assert faults_of(VALID + copy) == [(20, 'routes.again')]

    def test_long_class_needs_a_share_for_long_work(self):
        text = VALID.replace('= 70', '= 70\nlong_work_percent = 0')
        text = text.replace('= false', '= false\nlong = true')
        assert faults_of(text) == [(18, 'routes.issue-serials.class')]

    def test_size_and_encoding_faults_are_reported(self):
        big = b'#' * (parsing.MAX_DOCUMENT_BYTES + 1)
        assert parsing.parse_document(big, 'd').is_error()
        fault = parsing.parse_document(b'a = 1\n\xff', 'd').error[0]
        assert (fault.line, fault.message) == (2, 'expected UTF-8 text')

    @pytest.mark.parametrize('line', ['a.' * 2000 + 'a=1', '#' * 5000])
    def test_lines_that_parse_slowly_are_refused(self, line):
        assert faults_of(f'{VALID}{line}') == [(20, '')]
