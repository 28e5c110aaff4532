"""Tests of identifying callers by the configuration in force."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from citronshelf_entry import headers
from citronshelf_instance import caller_identity
from citronshelf_instance import caller_request
from instance_builders import make_account
from instance_builders import make_route
from instance_builders import make_state
from instance_builders import publish

NAMES = caller_request.HeaderNames()
ROUTE = make_route()
OPEN_ROUTE = make_route(allow_anonymous=True)
FIRST = make_account('first', 'key-1', 'key-2', priority=3)
SECOND = make_account('second', 'key-3')


def make_identifier(state, up_to_date=True):
    return caller_identity.CallerIdentifier(
        state=state, is_up_to_date=lambda: up_to_date, names=NAMES
    )


def make_head(*keys, name=NAMES.key):
    return caller_request.RequestHead(
        method='GET',
        target='/a/x',
        host='a.example',
        headers=tuple((name, key) for key in keys),
        framing=headers.Framing(0, False),
        request_id='r1',
        deadline_s=2.0,
        keep_alive=True,
        expects_continue=False,
    )


def identify(*keys, route=ROUTE, up_to_date=True, accounts=(FIRST, SECOND)):
    state = make_state(accounts=accounts)
    identifier = make_identifier(state, up_to_date)
    return identifier.identify(make_head(*keys), route)


class TestKeys:
    """Exactly one whole, known key identifies an account."""

    @pytest.mark.parametrize(
        'key, account, priority',
        [('key-1', 'first', 3), ('key-2', 'first', 3), ('key-3', 'second', 1)],
    )
    @pytest.mark.parametrize('route', [ROUTE, OPEN_ROUTE])
    def test_known_key_identifies(self, key, account, priority, route):
        caller = identify(key, route=route).ok
        assert caller.account == account
        assert caller.priority_on(route) == priority

    @pytest.mark.parametrize(
        'keys, refusal',
        [
            ((), caller_identity.KEY_MISSING),
            (('key-1', 'key-1'), caller_identity.KEY_REPEATED),
            (('key-1', 'nothing'), caller_identity.KEY_REPEATED),
            (('',), caller_identity.KEY_MALFORMED),
            (('key-1 key-1',), caller_identity.KEY_MALFORMED),
            (('k\xe9y',), caller_identity.KEY_MALFORMED),
            (('k' * 201,), caller_identity.KEY_MALFORMED),
            (('key-1,key-1',), caller_identity.KEY_UNKNOWN),
            (('Key-1',), caller_identity.KEY_UNKNOWN),
            (('k' * 200,), caller_identity.KEY_UNKNOWN),
        ],
    )
    def test_other_keys_are_refused_unless_anonymous(self, keys, refusal):
        assert identify(*keys).error == refusal
        caller = identify(*keys, route=OPEN_ROUTE).ok
        assert caller.account is None
        assert caller.hides_headers

    # Guards against 401, which callers do not retry, for a key that a newer
    # configuration may contain. No configuration contains a malformed key.
    @pytest.mark.parametrize(
        'keys, status', [(('new',), 503), ((), 401), (('a b',), 401)]
    )
    def test_unknown_key_of_an_outdated_instance(self, keys, status):
        assert identify(*keys, up_to_date=False).error.status == status

    def test_without_accounts_nobody_is_identified(self):
        caller = identify('key-1', accounts=()).ok
        assert caller.account is None
        assert not caller.hides_headers

    # Guards against an exception, and so a 502, for any header value.
    @given(st.lists(st.text(st.characters(max_codepoint=255)), max_size=2))
    def test_any_other_value_is_refused(self, keys):
        expected = ['key-1'] == keys
        assert identify(*keys, accounts=(FIRST,)).is_ok() == expected


class TestNewConfiguration:
    """Waiting callers are identified again."""

    def confirm(self, keys, before, after, routes=()):
        state = make_state(accounts=before)
        identifier = make_identifier(state)
        head = make_head(*keys)
        caller = identifier.identify(head, ROUTE).ok
        publish(state, revision=9, routes=routes, accounts=after)
        return identifier.confirm(caller, head, ROUTE)

    def test_withdrawn_key_is_refused(self):
        confirmed = self.confirm(['key-3'], (FIRST, SECOND), (FIRST,))
        assert confirmed.error == caller_identity.KEY_UNKNOWN

    def test_kept_key_has_the_new_priority(self):
        changed = FIRST._replace(priority=0)
        confirmed = self.confirm(['key-1'], (FIRST,), (changed,))
        assert confirmed.ok == caller_identity.Caller('first', 0, 9, True)

    def test_first_accounts_refuse_callers_without_a_key(self):
        confirmed = self.confirm([], (), (FIRST,))
        assert confirmed.error == caller_identity.KEY_MISSING

    # Guards against 401 by the route of the old configuration, which did not
    # say that it needs no key.
    def test_new_route_decides_whether_a_key_is_needed(self):
        confirmed = self.confirm([], (), (FIRST,), routes=(OPEN_ROUTE,))
        assert confirmed.ok.account is None

    # Guards against passing on a key that was in use when it arrived.
    def test_headers_stay_hidden_without_accounts(self):
        confirmed = self.confirm(['key-1'], (FIRST,), ())
        assert confirmed.ok == caller_identity.Caller(None, None, 9, True)
