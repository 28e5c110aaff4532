"""Tests of callers' accounts at the dispatch to servers."""

import asyncio

import pytest

from citronshelf_common import outcomes
from citronshelf_instance import caller_identity
from citronshelf_instance import routing
from instance_builders import make_account
from instance_builders import make_route
from instance_builders import make_state
from instance_builders import publish
import test_forwarding

GOOD = test_forwarding.GOOD
SHED = test_forwarding.SHED
LOST = test_forwarding.CLOSE
FIRST = make_account('first', 'key-1')
SECOND = make_account('second', 'key-1')
KEYLESS = FIRST._replace(key_digests=())
KEY = ('X-Account-Key', 'key-1')


class Harness(test_forwarding.Harness):
    """Forwarder that identifies callers by a configuration.

    Parameters
    ----------
    accounts : tuple of Account
        In force when requests are first identified.
    """

    def __init__(self, *scripts, accounts=(FIRST,), **options):
        super().__init__(*scripts, **options)
        self.state = make_state(accounts=accounts)
        self.identifier = caller_identity.CallerIdentifier(
            state=self.state,
            is_up_to_date=lambda: True,
            names=test_forwarding.NAMES,
        )
        # Called between the identification and the first dispatch.
        self.before_dispatch = lambda: None
        # Called just before a request is written to a server.
        self.before_send = lambda: None

    def publish(self, *accounts):
        revision = self.state.revision + 1
        publish(self.state, revision=revision, accounts=accounts)

    async def run(self, request=None, **route):
        request = request or make_request(KEY)
        made = make_route(**route)
        caller = self.identifier.identify(request.head, made).ok
        self.forwarder.identifier = self.identifier
        self.before_dispatch()
        self.call_before_send()
        routed = routing.RoutedService(made, 'ledger')
        return await self.forwarder.run(request, routed, caller)

    def call_before_send(self):
        """Call ``before_send`` when libcurl is about to write."""
        start = self.client.start

        def start_later(upstream_request):
            def may_send():
                self.before_send()
                return upstream_request.may_send()

            return start(upstream_request._replace(may_send=may_send))

        self.client.start = start_later


def make_request(*extra):
    request = test_forwarding.make_request()
    pairs = request.head.headers + extra
    return request._replace(head=request.head._replace(headers=pairs))


def run_with(harness, request=None, **route):
    """Return the outcome and the heads received by servers."""

    async def run():
        async with harness:
            outcome = await harness.run(request, **route)
            await asyncio.sleep(0.02)
        return outcome, [head for _, head in harness.servers.heads]

    return asyncio.run(run())


class TestHeaders:
    """Headers for the account and the key that servers get."""

    # Guards against a server that takes the caller's word for its account.
    def test_account_replaces_what_the_caller_sent(self):
        request = make_request(
            ('X-Account', 'other'),
            ('x-aCCOUNT', 'another'),
            ('x-account-KEY', 'key-1'),
            ('Connection', 'x-account, X-Account-Key'),
        )
        _, [head] = run_with(Harness(GOOD), request)
        lines = head.lower().split('\r\n')
        assert [li for li in lines if 'account' in li] == ['x-account: first']
        assert 'key-1' not in head

    def test_anonymous_caller_has_no_account(self):
        request = make_request(
            ('X-Account', 'other'), ('X-Account-Key', 'wrong')
        )
        _, [head] = run_with(Harness(GOOD), request, allow_anonymous=True)
        assert 'account' not in head.lower()
        assert 'wrong' not in head

    def test_headers_are_passed_on_without_accounts(self):
        request = make_request(('X-Account', 'other'), KEY)
        _, [head] = run_with(Harness(GOOD, accounts=()), request)
        assert 'X-Account: other\r\n' in head
        assert 'X-Account-Key: key-1\r\n' in head


class TestWithdrawnKey:
    """The configuration in force decides before each dispatch."""

    REFUSED = caller_identity.Refused(caller_identity.KEY_UNKNOWN)

    # Guards against work in the name of an account that lost the key, while
    # the request waited for its turn or for the connection to a server.
    @pytest.mark.parametrize('step', ['before_dispatch', 'before_send'])
    def test_request_that_was_not_sent_is_refused(self, step):
        harness = Harness(GOOD, GOOD)
        setattr(harness, step, lambda: harness.publish(KEYLESS))
        outcome, heads = run_with(harness, idempotent=False)
        assert outcome == self.REFUSED
        assert heads == []
        assert harness.observations == []

    def test_kept_key_is_served(self):
        harness = Harness(GOOD)
        harness.before_send = lambda: harness.publish(FIRST, make_account('x'))
        outcome, heads = run_with(harness)
        assert outcome.status == 200
        assert len(heads) == 1

    def test_response_to_a_request_that_was_sent_is_delivered(self):
        harness = Harness(GOOD)

        async def run():
            async with harness:
                request = asyncio.create_task(harness.run())
                while not harness.servers.heads:
                    await asyncio.sleep(0.001)
                harness.publish(KEYLESS)
                return await request

        assert asyncio.run(run()).status == 200

    # Guards against 401, which promises that nothing ran, for lost work.
    @pytest.mark.parametrize(
        'script, expected',
        [
            (SHED, REFUSED),
            (LOST, outcomes.Unknown),
        ],
    )
    def test_no_retry_after_the_withdrawal(self, script, expected):
        harness = Harness(script, GOOD)
        sends = []

        def withdraw():
            sends.append(1)
            if len(sends) == 2:
                harness.publish(KEYLESS)

        harness.before_send = withdraw
        outcome, heads = run_with(harness)
        if expected is outcomes.Unknown:
            assert isinstance(outcome, outcomes.Unknown)
        else:
            assert outcome == expected
        assert len(heads) == 1

    # Guards against one request at two servers for two accounts.
    def test_account_may_change_only_before_the_request_is_sent(self):
        harness = Harness(GOOD)
        harness.before_dispatch = lambda: harness.publish(SECOND)
        _, [head] = run_with(harness)
        assert 'X-Account: second\r\n' in head
        harness = Harness(SHED, GOOD)
        moves = iter([lambda: None, lambda: harness.publish(SECOND)])
        harness.before_send = lambda: next(moves)()
        outcome, heads = run_with(harness)
        assert outcome.reason == 'account-changed'
        assert len(heads) == 1
