"""Tests of server choice and subsets."""

import collections

from citronshelf_common import fleet
import pytest

from citronshelf_traffic import choosing
from citronshelf_traffic import subsetting
from citronshelf_traffic import work as work_module

Ending = work_module.Ending


def count_choices(chooser, work, times=200, tried=frozenset()):
    """Count the servers of several choices; none of them is begun."""
    counts = collections.Counter()
    for _ in range(times):
        result = chooser.choose(work, tried)
        counts[result.ok.server.server_id if result.is_ok() else None] += 1
    return counts


def send(chooser, work, ending=Ending.ANSWERED, load=None, **fields):
    placement = chooser.choose(work).ok
    chooser.begin(placement)
    chooser.end(placement, load, ending=ending, **fields)
    return placement.server.server_id


class TestStanding:
    """Requests go only to servers whose standing permits them."""

    @pytest.mark.parametrize('standing', ['leaving', 'ejected', 'avoided'])
    def test_unusable_server_is_never_chosen(self, build, standing):
        chooser = build.chooser(('a', standing), 'b')
        assert set(count_choices(chooser, build.work())) == {'b'}
        assert set(count_choices(chooser, build.work(), tried={'b'})) == {None}

    def test_probation_only_for_idempotent_work(self, build):
        chooser = build.chooser(('a', 'probation', 0.1))
        work = build.work(idempotent=False)
        assert chooser.choose(work).error.reason == 'not-usable'
        assert chooser.choose(build.work()).is_ok()

    def test_probation_weight_reduces_the_share(self, build):
        chooser = build.chooser(('a', 'probation', 0.2), 'b')
        share = count_choices(chooser, build.work(), 1000)['a'] / 1000
        # It is a candidate in a fifth of the choices and wins half of them.
        assert 0.05 < share < 0.15

    def test_unknown_pool_has_no_servers(self, build):
        chooser = build.chooser('a')
        result = chooser.choose(build.work(pool='other'))
        assert result.error.reason == 'no-servers'


class TestCounts:
    """Each placement is counted once."""

    def test_end_without_begin_and_second_begin_raise(self, build):
        chooser = build.chooser('a')
        placement = chooser.choose(build.work()).ok
        with pytest.raises(choosing.PlacementStateError):
            chooser.end(placement)
        chooser.begin(placement)
        with pytest.raises(choosing.PlacementStateError):
            chooser.begin(placement)

    def test_request_ends_after_server_left_the_view(self, build):
        chooser = build.chooser('a', 'b')
        placement = chooser.choose(build.work()).ok
        chooser.begin(placement)
        chooser.set_view(build.view('c'))
        chooser.end(placement)
        assert not chooser.running
        assert chooser.states['c'].outstanding == 0


class TestLoad:
    """Load decides between equal servers, and reports expire."""

    def test_own_outstanding_work_counts_as_load(self, build):
        chooser = build.chooser('a', 'b')
        first = chooser.choose(build.work()).ok
        chooser.begin(first)
        other = {'a', 'b'} - {first.server.server_id}
        assert set(count_choices(chooser, build.work())) == other

    def test_report_counts_and_expires(self, build):
        chooser = build.chooser('a', 'b', long_work_percent=100)
        full = fleet.LoadReport(2, 2, 3)
        name = send(chooser, build.work(), load=full)
        other = ({'a', 'b'} - {name}).pop()
        assert set(count_choices(chooser, build.work())) == {other}
        build.now += 5
        assert set(count_choices(chooser, build.work())) == {'a', 'b'}

    def test_shed_response_moves_work_to_another_server(self, build):
        chooser = build.chooser('a', 'b', long_work_percent=100)
        name = send(chooser, build.work(), ending=Ending.SHED)
        assert name not in count_choices(chooser, build.work())


class TestBackoff:
    """The backoff grows with each refused connection."""

    def test_doubles_up_to_a_maximum(self, build):
        chooser = build.chooser('a')
        for hold in (0.5, 1, 2, 4, 8, 8):
            send(chooser, build.work(), ending=Ending.REFUSED)
            build.now += hold - 0.01
            assert chooser.choose(build.work()).is_error()
            build.now += 0.02
        send(chooser, build.work())
        send(chooser, build.work(), ending=Ending.REFUSED)
        build.now += 0.51
        assert chooser.choose(build.work()).is_ok()

    def test_simultaneous_refusals_count_once(self, build):
        chooser = build.chooser('a')
        placements = [chooser.choose(build.work()).ok for _ in range(5)]
        for placement in placements:
            chooser.begin(placement)
        for placement in placements:
            chooser.end(placement, ending=Ending.REFUSED)
        build.now += 0.51
        assert chooser.choose(build.work()).is_ok()


class TestLocation:
    """Servers nearby are preferred; the link budget limits the others."""

    def test_other_region_only_when_full(self, build):
        chooser = build.chooser('a', ('b', 'admitted', 1.0, 'far'))
        work = build.work()
        assert set(count_choices(chooser, work)) == {'a'}
        held = [chooser.choose(work).ok for _ in range(1)]
        for _ in range(5):
            chooser.begin(chooser.choose(work).ok._replace(reservation=None))
        assert 'b' in count_choices(chooser, work, 2)
        large = build.work(body_bytes=1_000_000)
        assert set(count_choices(chooser, large)) == {'a'}
        assert held[0].reservation is None

    def test_preferred_region_is_chosen(self, build):
        servers = ('near', ('store', 'admitted', 1.0, 'siliguri'))
        for prefer, expected in (
            ('store-region', 'store'),
            ('nearest', 'near'),
        ):
            chooser = build.chooser(*servers, prefer=prefer)
            chooser.network_latencies.store_region = 'siliguri'
            assert set(count_choices(chooser, build.work(), 3)) == {expected}

    def test_policy_never_keeps_requests_in_region(self, build):
        link = build.link(policy='never')
        far = ('b', 'admitted', 1.0, 'far')
        chooser = build.chooser(far, link=link)
        assert chooser.choose(build.work()).error.reason == 'cross-region'


class TestLongWork:
    """All instances send long work to the same servers."""

    def test_instances_use_only_the_share_of_the_servers(self, build):
        names = [f's{number}' for number in range(16)]
        used = set()
        for seed in range(5):
            chooser = build.chooser(*names, seed=seed)
            chooser.instance = f'e{seed}'
            used |= set(count_choices(chooser, build.work(long=True)))
        assert len(used) == 4

    def test_share_moves_when_its_server_is_ejected(self, build):
        names = [f's{number}' for number in range(4)]
        chooser = build.chooser(*names)
        (first,) = count_choices(chooser, build.work(long=True))
        views = [(n, 'ejected') if n == first else n for n in names]
        chooser.set_view(build.view(*views))
        (second,) = count_choices(chooser, build.work(long=True))
        assert second not in (first, None)


class TestSubset:
    """The connections of all instances stay within what servers accept."""

    @pytest.mark.parametrize(
        'servers, instances', [(17, 36), (29, 600), (29, 6400), (8, 36)]
    )
    def test_connections_fit(self, servers, instances):
        size = subsetting.subset_size(
            servers=servers,
            entry_instances=instances,
            connections_per_server=330,
        )
        used = max(1, int(size.share * servers))
        mean = instances * used * size.connections / servers
        assert mean <= 330 * 0.8

    def test_instances_spread_over_the_servers(self, build):
        names = [f's{number}' for number in range(29)]
        counts = collections.Counter()
        for number in range(600):
            ranks = {
                name: subsetting.rendezvous_rank(f'e{number}', name)
                for name in names
            }
            counts.update(sorted(names, key=ranks.get)[:3])
        assert max(counts.values()) <= 1.5 * 600 * 3 / 29
        assert len(counts) == 29

    def test_small_subset_falls_back_to_other_servers(self, build):
        names = [f's{number}' for number in range(20)]
        chooser = build.chooser(*names, instances=6400)
        work = build.work()
        tried = frozenset()
        for _ in range(20):
            # With a subset of one, the next server by rank is used.
            (name,) = count_choices(chooser, work, 20, tried)
            tried |= {name}
        assert tried == set(names)
