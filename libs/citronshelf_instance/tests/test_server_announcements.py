"""Tests of what servers announce in their responses."""

import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from citronshelf_entry import exchange
from citronshelf_entry import headers
from citronshelf_instance import caller_request
from citronshelf_instance import configuration
from citronshelf_instance import registrations
from citronshelf_instance import server_announcements
from instance_builders import FakeClock
from instance_builders import make_directory
from instance_builders import make_registration

NAMES = caller_request.HeaderNames()
ID = ('X-Request-Id', 'r1')
SIGNED = ('X-Signature', 's')
REFUSED = ('X-Not-Run', '1')
LEAVING = ('X-Leaving', '1')


def read(status, *pairs):
    head = exchange.ResponseHead(status, pairs, headers.Framing(0, False))
    return server_announcements.read_announcements(head, NAMES, 'r1')


class TestLeaving:
    """Only a response of the expected server says that it leaves."""

    @pytest.mark.parametrize(
        'status, pairs',
        [
            (200, (ID, SIGNED, LEAVING)),
            (500, (ID, SIGNED, LEAVING)),
            (503, (ID, REFUSED, LEAVING)),
            (200, (('x-request-id', 'r1'), SIGNED, ('x-leaving', '1'))),
        ],
    )
    def test_proved_response_counts(self, status, pairs):
        assert read(status, *pairs) == [server_announcements.Leaving()]

    @pytest.mark.parametrize(
        'status, pairs',
        [
            (200, (ID, SIGNED)),
            (200, (ID, SIGNED, ('X-Leaving', '0'))),
            (200, (ID, SIGNED, ('X-Leaving', ''))),
            (200, (ID, LEAVING)),
            (200, (SIGNED, LEAVING)),
            (200, (('X-Request-Id', 'r2'), SIGNED, LEAVING)),
            (421, (ID, SIGNED, LEAVING)),
            (421, (ID, REFUSED, LEAVING)),
            (502, (ID, LEAVING)),
        ],
    )
    def test_other_responses_do_not(self, status, pairs):
        assert read(status, *pairs) == []


class TestRetryAfter:
    """A refusal may name the seconds for which the server wants nothing."""

    @pytest.mark.parametrize(
        'text, seconds',
        [
            ('0', 0.0),
            ('4', 4.0),
            ('0.25', 0.25),
            ('.5', 0.5),
            ('2.', 2.0),
            ('999999999999999', 999999999999999.0),
        ],
    )
    def test_seconds_may_have_a_fraction(self, text, seconds):
        found = read(503, ID, REFUSED, ('Retry-After', text))
        assert found == [server_announcements.RetryLater(seconds=seconds)]

    @pytest.mark.parametrize(
        'text',
        [
            '-1',
            'soon',
            'nan',
            'inf',
            '1e3',
            '0x10',
            '.',
            '1 2',
            '\u0664',
            '9' * 400,
            'Fri, 31 Dec 1999 23:59:59 GMT',
        ],
    )
    def test_other_values_are_invalid(self, text):
        found = read(503, ID, REFUSED, ('Retry-After', text))
        assert found == [server_announcements.InvalidRetryAfter(text=text)]

    # Guards against requests to a server that asked for time in a rejection
    # without the proof that the request did not run.
    def test_signed_rejection_counts_without_that_proof(self):
        found = read(503, ID, SIGNED, ('Retry-After', '4'))
        assert found == [server_announcements.RetryLater(seconds=4.0)]

    @pytest.mark.parametrize(
        'status, pairs',
        [
            (503, (ID,)),
            (503, (SIGNED,)),
            (429, (ID, REFUSED)),
            (200, (ID, SIGNED)),
            (503, (REFUSED,)),
        ],
    )
    def test_only_a_proved_response_with_503_counts(self, status, pairs):
        assert read(status, *pairs, ('Retry-After', '4')) == []


class TestHerd:
    """Instances do not return to a server at the same moment."""

    def test_instances_return_at_different_times(self, clock):
        ends_s = set()
        for seed in range(20):
            directory = make_directory(clock, make_registration())
            state = directory.servers['s1']
            directory.record_retry_later(state, 5.0, random.Random(seed), 'r')
            ends_s.add(state.retry_at_s - clock.now)
        assert len(ends_s) == 20
        assert 5.0 <= min(ends_s) and max(ends_s) <= 6.0


class ModelServer:
    """Plain model of one registered incarnation."""

    def __init__(self, draining):
        self.draining = draining
        self.leaving = False
        self.earliest_s = 0.0
        self.latest_s = 0.0


class AnnouncementMachine(stateful.RuleBasedStateMachine):
    """Compares which servers accept work with a plain model."""

    SERVERS = st.sampled_from(['s1', 's2', 's3'])

    def __init__(self):
        super().__init__()
        self.clock = FakeClock()
        self.directory = registrations.Directory(clock=self.clock)
        self.rng = random.Random(1)
        self.model = {}
        self.known = {}
        self.departed = {}
        self.revision = 1
        self.directory.confirm(0.0)

    def apply(self, server_id, registration):
        self.revision += 1
        self.directory.confirm(0.0)
        self.directory.apply(
            configuration.Changes(
                self.revision, None, {server_id: registration}
            )
        )

    @stateful.rule(server=SERVERS, started_ms=st.integers(1, 3))
    def register(self, server, started_ms):
        """Register a server, or repeat its registration."""
        self.apply(server, make_registration(server, started_ms=started_ms))
        known = self.known.get(server)
        if known != started_ms or server not in self.model:
            if server in self.model:
                self.departed[server, known] = self.model[server]
            # The same incarnation has not taken back what it announced.
            self.model[server] = self.departed.pop(
                (server, started_ms), ModelServer(False)
            )
        self.model[server].draining = False
        self.known[server] = started_ms

    @stateful.rule(server=SERVERS)
    def drain(self, server):
        if server in self.model:
            self.apply(
                server,
                make_registration(
                    server, started_ms=self.known[server], draining=True
                ),
            )
            self.model[server].draining = True

    @stateful.rule(server=SERVERS)
    def remove(self, server):
        if server in self.model:
            self.apply(server, None)
            key = server, self.known[server]
            self.departed[key] = self.model.pop(server)

    @stateful.rule(server=SERVERS)
    def announce_leaving(self, server):
        if server in self.model:
            state = self.directory.servers[server]
            is_new = self.directory.record_leaving(state, 'r')
            assert is_new is not self.model[server].leaving
            self.model[server].leaving = True

    @stateful.rule(server=SERVERS, seconds=st.floats(0, 20))
    def ask_for_time(self, server, seconds):
        if server in self.model:
            state = self.directory.servers[server]
            self.directory.record_retry_later(state, seconds, self.rng, 'r')
            one = self.model[server]
            now = self.clock.now
            spread_s = max(0.2, 0.2 * seconds) if seconds else 0.0
            one.earliest_s = max(one.earliest_s, now + seconds)
            one.latest_s = max(one.latest_s, now + seconds + spread_s)

    @stateful.rule(server=SERVERS, text=st.text(max_size=5))
    def send_invalid_time(self, server, text):
        if server in self.model:
            state = self.directory.servers[server]
            self.directory.record_invalid_time(state, text, 'r')

    @stateful.rule(server=SERVERS)
    def answer_of_an_earlier_incarnation(self, server):
        """It comes after the server was registered again."""
        earlier = registrations.RegisteredServer(
            registration=make_registration(server), now=self.clock.now
        )
        assert not self.directory.record_leaving(earlier, 'r')

    @stateful.rule(seconds=st.floats(0.01, 10))
    def pass_time(self, seconds):
        self.clock.advance(seconds)
        self.directory.confirm(0.0)

    @stateful.invariant()
    def usable_servers_are_those_of_the_model(self):
        now = self.clock.now
        usable = {one.server_id for one in self.directory.usable('ledger')}
        for server, one in self.model.items():
            if one.draining or one.leaving or now < one.earliest_s:
                assert server not in usable
            elif now >= one.latest_s:
                assert server in usable
        assert usable <= set(self.model)

    @stateful.invariant()
    def callers_are_told_when_to_return(self):
        wait_s = self.directory.retry_after_s('ledger')
        if not self.model or self.directory.usable('ledger'):
            assert wait_s is None
        else:
            assert wait_s > 0


AnnouncementMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)


class TestMachine(AnnouncementMachine.TestCase):
    """Announcements in any order, with registrations and time."""


def forget_leaving(directory, state, request_id, source=''):
    """Mutation: a server that announces its leaving stays in use."""
    return not state.leaving


def forget_time(directory, state, seconds, rng, request_id):
    """Mutation: a server that asks for time gets requests at once."""


def shorten_time(directory, state, seconds, rng, request_id):
    """Mutation: a shorter time replaces one that ends later."""
    state.retry_at_s = directory.clock() + seconds


def believe_an_earlier_incarnation(directory, state, request_id, source=''):
    """Mutation: announcements of ended incarnations count."""
    current = directory.servers.get(state.server_id)
    if current is None or current.leaving:
        return False
    current.leaving = True
    return True


class TestMutations:
    """The machine detects each mutation of ``Directory``."""

    @pytest.mark.parametrize(
        'method, mutation',
        [
            ('record_leaving', forget_leaving),
            ('record_leaving', believe_an_earlier_incarnation),
            ('record_retry_later', forget_time),
            ('record_retry_later', shorten_time),
        ],
    )
    def test_is_detected(self, monkeypatch, method, mutation):
        monkeypatch.setattr(registrations.Directory, method, mutation)
        mutant_settings = settings(
            AnnouncementMachine.TestCase.settings,
            phases=['generate'],
            print_blob=False,
            max_examples=300,
        )
        with pytest.raises(AssertionError):
            stateful.run_state_machine_as_test(
                AnnouncementMachine, settings=mutant_settings
            )
