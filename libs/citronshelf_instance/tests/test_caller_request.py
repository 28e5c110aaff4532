"""Tests of parsing request heads."""

import pytest

from citronshelf_instance import caller_request

NAMES = caller_request.HeaderNames()


def parse(*lines, start='GET /a/x?q=1 HTTP/1.1'):
    data = '\r\n'.join((start, *lines, '', '')).encode('latin-1')
    return caller_request.parse_head(data, NAMES)


class TestHead:
    """Fields of a valid head."""

    def test_reads_a_plain_head(self):
        head = parse(
            'Host: a.example', 'X-Request-Id: r1', 'X-Deadline-Ms: 2500'
        ).ok
        assert head.path == '/a/x'
        assert head.target == '/a/x?q=1'
        assert (head.request_id, head.deadline_s) == ('r1', 2.5)
        assert head.framing.length == 0
        assert head.keep_alive

    # Guards against 400 for a target in absolute form, which HTTP/1.1
    # requires every server to accept.
    @pytest.mark.parametrize(
        'target, expected',
        [
            ('http://a.example/a/x?q=/', '/a/x?q=/'),
            ('HTTP://A.example', '/'),
            ('http://a.example?q', '/?q'),
        ],
    )
    def test_reads_a_target_in_absolute_form(self, target, expected):
        head = parse('Host: a.example', start=f'GET {target} HTTP/1.1').ok
        assert (head.target, head.host) == (expected, 'a.example')

    # Guards against 400 for two spellings of one host, which select the same
    # route.
    @pytest.mark.parametrize(
        'target, host',
        [
            ('http://a.example:80/a/x', 'a.example'),
            ('http://a.example/a/x', 'a.example:8080'),
            ('http://A.example./a/x', 'a.example'),
        ],
    )
    def test_port_and_final_dot_of_an_absolute_form_are_ignored(
        self, target, host
    ):
        head = parse(f'Host: {host}', start=f'GET {target} HTTP/1.1').ok
        assert (head.target, head.host) == ('/a/x', host)

    def test_generates_a_missing_request_id(self):
        assert len(parse('Host: a').ok.request_id) == 16

    @pytest.mark.parametrize('text', ['', 'soon', '-1', '1.5', '9' * 13])
    def test_ignores_a_malformed_deadline(self, text):
        assert parse('Host: a', f'X-Deadline-Ms: {text}').ok.deadline_s is None

    @pytest.mark.parametrize(
        'start, line, kept',
        [
            ('GET / HTTP/1.1', 'Connection: close', False),
            ('GET / HTTP/1.1', 'Connection: keep-alive', True),
            ('GET / HTTP/1.0', 'Accept: */*', False),
            ('GET / HTTP/1.0', 'Connection: Keep-Alive', True),
        ],
    )
    def test_recognises_a_persistent_connection(self, start, line, kept):
        assert parse('Host: a', line, start=start).ok.keep_alive is kept

    def test_reads_framing_and_expectation(self):
        head = parse(
            'Host: a',
            'Transfer-Encoding: chunked',
            'Expect: 100-continue',
            start='POST /a/ HTTP/1.1',
        ).ok
        assert head.framing.chunked
        assert head.expects_continue


class TestRefusals:
    """Heads that other parsers may interpret differently are refused."""

    @pytest.mark.parametrize(
        'start, lines, status',
        [
            ('GET / HTTP/1.1', (), 400),
            ('GET / HTTP/1.1', ('Host: a', 'Host: b'), 400),
            ('GET a HTTP/1.1', ('Host: a',), 400),
            ('GET http://b/ HTTP/1.1', ('Host: a',), 400),
            ('GET http://u@a/ HTTP/1.1', ('Host: a',), 400),
            ('GET https://a/ HTTP/1.1', ('Host: a',), 400),
            ('GET http:///a HTTP/1.1', ('Host: a',), 400),
            ('CONNECT /a HTTP/1.1', ('Host: a',), 501),
            ('GET / HTTP/1.1', ('Host: a', 'Content-Length: x'), 400),
            (
                'POST / HTTP/1.1',
                ('Host: a', 'Content-Length: 1', 'Transfer-Encoding: chunked'),
                400,
            ),
            ('POST / HTTP/1.1', ('Host: a', 'Bad Name: 1'), 400),
        ],
    )
    def test_is_refused(self, start, lines, status):
        assert parse(*lines, start=start).error.status == status
