"""Tests of the look-up of accounts by key."""

import hashlib

import pytest

from citronshelf_instance import account_table
from citronshelf_instance import configuration
from citronshelf_instance import peer_messages
from instance_builders import make_account
from instance_builders import make_configuration
import peer_fleet


class TestLookUp:
    """An account is found by each of its whole keys only."""

    def test_each_key_finds_its_account(self):
        first = make_account('first', 'key-1', 'key-2')
        second = make_account('second', 'key-3')
        table = account_table.AccountTable(accounts=(first, second))
        found = [table.find(f'key-{n}') for n in (1, 2, 3)]
        assert found == [first, first, second]

    # Guards against a comparison of prefixes or without regard to case.
    def test_similar_key_finds_nothing(self):
        table = account_table.AccountTable(
            accounts=(make_account('first', 'key-1'),)
        )
        for key in ('key-', 'key-11', 'KEY-1', 'x'):
            assert table.find(key) is None

    # Guards against a table that holds keys, from which they could leak.
    def test_table_holds_digests_only(self):
        table = account_table.AccountTable(
            accounts=(make_account('first', 'key-1'),)
        )
        assert list(table.by_digest) == [hashlib.sha256(b'key-1').digest()]
        assert 'key-1' not in repr(vars(table))


class TestMessages:
    """Accounts in copies of the state for other instances."""

    def copy_of(self, account):
        made = make_configuration(accounts=(account,))
        [member] = peer_fleet.make_members(1)
        message = peer_messages.StateCopy(
            member, configuration.Snapshot(5, made, ())
        )
        data = peer_messages.CODEC.encode(message)
        return message, data, peer_messages.CODEC.decode(data)

    def test_copy_has_digests_only(self):
        account = make_account(
            'first', 'key-1', priority=2, rate_per_s=1.5, burst=3.0
        )
        message, data, decoded = self.copy_of(account)
        assert decoded.ok == message
        assert b'key-1' not in data

    # Guards against a peer's message that puts lines into requests.
    @pytest.mark.parametrize(
        'changes',
        [
            {'name': ''},
            {'name': 'a\r\nX-Other: 1'},
            {'name': 'a\n'},
            {'name': 'a' * 201},
            {'key_digests': (b'short',)},
            {'rate_per_s': -1.0},
            {'burst': -1.0},
        ],
    )
    def test_values_out_of_range_are_refused(self, changes):
        account = make_account('first', 'key-1')._replace(**changes)
        assert self.copy_of(account)[2].is_error()
