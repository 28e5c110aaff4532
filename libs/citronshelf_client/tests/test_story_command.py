"""Tests of the command ``story``."""

import io
import json
import sys

from citronshelf_client import program

CHOSEN = {'event_name': 'server-chosen', 'request_id': 'r1', 'server': 's1'}
ENDED = {'event_name': 'request-ended', 'request_id': 'r1', 'status': 500}
SUSPECTED = {'event_name': 'server-suspected', 'server': 's1', 'failing': 0.9}


def make_line(second, fields, origin=''):
    minute, second = divmod(second, 60)
    time = f'2026-12-04 10:{minute:02.0f}:{second:06.3f}'.replace('.', ',')
    return origin + json.dumps({'time': time, 'message': 'm'} | fields)


def run_story(monkeypatch, capsys, *lines, request_id='r1'):
    """Run the command; return exit status, output lines and error text."""
    monkeypatch.setattr(sys, 'stdin', io.StringIO('\n'.join(lines)))
    status = program.main(['story', request_id])
    captured = capsys.readouterr()
    return status, captured.out.splitlines(), captured.err


class TestStory:
    """Selects, orders and groups the log lines of a request."""

    def test_lines_in_time_order(self, monkeypatch, capsys):
        status, shown, errors = run_story(
            monkeypatch, capsys, make_line(31.5, ENDED), make_line(30, CHOSEN)
        )
        assert (status, errors) == (0, '')
        assert [row.split()[2] for row in shown] == [
            'server-chosen',
            'request-ended',
        ]
        assert shown[1].startswith('+1.500 s')
        assert 'status=500' in shown[1]

    def test_origin_is_kept(self, monkeypatch, capsys):
        _, shown, _ = run_story(
            monkeypatch, capsys, make_line(30, CHOSEN, 'front-howrah-1 ')
        )
        assert 'front-howrah-1' in shown[0]

    def test_events_of_its_servers_just_before(self, monkeypatch, capsys):
        other = SUSPECTED | {'server': 's2'}
        _, shown, _ = run_story(
            monkeypatch,
            capsys,
            make_line(10, SUSPECTED),
            make_line(25, SUSPECTED),
            make_line(26, other),
            make_line(30, CHOSEN),
            make_line(40, SUSPECTED),
        )
        assert len(shown) == 2
        assert shown[0].startswith('-5.000 s')
        assert 'failing=0.9' in shown[0]

    def test_same_event_from_many_instances_is_one_row(
        self, monkeypatch, capsys
    ):
        _, shown, _ = run_story(
            monkeypatch,
            capsys,
            *(make_line(25 + n / 100, SUSPECTED, f'i{n} ') for n in range(36)),
            make_line(30, CHOSEN),
            make_line(30.01, CHOSEN),
        )
        assert len(shown) == 3
        assert shown[0].endswith('(and 35 more)')

    def test_other_requests_are_left_out(self, monkeypatch, capsys):
        other = CHOSEN | {'request_id': 'r2'}
        _, shown, _ = run_story(
            monkeypatch, capsys, make_line(30, CHOSEN), make_line(30, other)
        )
        assert len(shown) == 1

    def test_control_characters_are_not_printed(self, monkeypatch, capsys):
        _, shown, _ = run_story(
            monkeypatch, capsys, make_line(30, CHOSEN | {'reason': '\x1b[2J'})
        )
        assert '\x1b' not in shown[0]


class TestAnnouncements:
    """Shows which announcement of a server decided."""

    LEAVING = {'event_name': 'server-leaving', 'server': 's1'}
    ASKED = {
        'event_name': 'server-asked-for-time',
        'server': 's1',
        'request_id': 'r0',
        'seconds': 20.0,
        'held_s': 22.0,
    }
    REGISTERED = {
        'event_name': 'server-registered',
        'server': 's1',
        'service': 'ledger',
    }
    NO_SERVER = {
        'event_name': 'no-server',
        'request_id': 'r1',
        'service': 'ledger',
    }

    def shown_events(self, monkeypatch, capsys, *lines):
        _, shown, _ = run_story(monkeypatch, capsys, *lines)
        return [row.split()[2] for row in shown]

    def test_announcement_of_its_server(self, monkeypatch, capsys):
        other = self.LEAVING | {'server': 's2'}
        assert self.shown_events(
            monkeypatch,
            capsys,
            make_line(2, self.LEAVING),
            make_line(2, other),
            make_line(30, CHOSEN),
        ) == ['server-leaving', 'server-chosen']

    # Guards against a 503 without a server whose story shows no cause.
    def test_announcements_of_the_service_without_a_server(
        self, monkeypatch, capsys
    ):
        other = self.REGISTERED | {'server': 's2', 'service': 'other'}
        leaving = self.LEAVING | {'server': 's2'}
        assert self.shown_events(
            monkeypatch,
            capsys,
            make_line(1, self.REGISTERED),
            make_line(1, other),
            make_line(10, self.ASKED),
            make_line(11, leaving),
            make_line(30, self.NO_SERVER),
        ) == ['server-asked-for-time', 'no-server']

    def test_time_that_is_over_is_left_out(self, monkeypatch, capsys):
        assert self.shown_events(
            monkeypatch,
            capsys,
            make_line(2, self.ASKED),
            make_line(30, CHOSEN),
        ) == ['server-chosen']


class TestBadInput:
    """Reports unknown requests and lines that cannot be decoded."""

    def test_unknown_request(self, monkeypatch, capsys):
        status, shown, errors = run_story(
            monkeypatch, capsys, make_line(30, CHOSEN), request_id='r9'
        )
        assert (status, shown) == (1, [])
        assert errors == 'no log line names request r9\n'

    def test_lines_that_are_no_log_lines_are_counted(
        self, monkeypatch, capsys
    ):
        status, shown, errors = run_story(
            monkeypatch,
            capsys,
            'Traceback (most recent call last):',
            '{"time": "yesterday"}',
            '[1]',
            '{"a": 1}',
            '',
            make_line(30, CHOSEN),
        )
        assert (status, len(shown)) == (0, 1)
        assert errors == 'skipped 4 lines that are not log lines\n'

    def test_values_of_other_types_are_no_log_lines(self, monkeypatch, capsys):
        status, shown, errors = run_story(
            monkeypatch,
            capsys,
            make_line(29, CHOSEN | {'server': ['s1']}),
            make_line(29, CHOSEN | {'event_name': {}}),
            make_line(29, CHOSEN)[:-1] + ', "a": ' + '[' * 100_000,
            make_line(30, CHOSEN),
        )
        assert (status, len(shown)) == (0, 1)
        assert errors == 'skipped 3 lines that are not log lines\n'
