"""Tests of the time that messages spend on their way."""

import asyncio

import pytest

from citronshelf_common import fleet
from citronshelf_instance import peer_messages
from citronshelf_instance import reader_group
from citronshelf_instance import transit_times
import peer_fleet

SENDER = peer_messages.Member(
    'i1', 'n1', fleet.Address('127.0.0.1', 7001), fleet.Location('r', 'z'), 0.0
)
# The clocks of sender and receiver differ by this time.
OFFSET_S = 500.0
FASTEST_S = 0.02


class TestDelay:
    """A message that was slower than others is older by the difference."""

    def age_s(self, transit, clock, way_s, age_s=0.1):
        """Return the age of what a message tells that took ``way_s``."""
        sent_s = clock() - way_s + OFFSET_S
        return transit.age_s(SENDER, sent_s, age_s)

    @pytest.mark.parametrize('before', [1, 3])
    def test_delayed_message_is_older(self, clock, before):
        """Guards against lists that count as new behind a busy link."""
        transit = transit_times.TransitTimes(clock=clock)
        for _ in range(before):
            age_s = self.age_s(transit, clock, FASTEST_S)
            assert age_s == pytest.approx(0.1)
            clock.advance(1.0)
        delayed_s = self.age_s(transit, clock, FASTEST_S + 0.7)
        assert delayed_s == pytest.approx(0.8)

    def test_clock_that_stopped_is_forgotten(self, clock):
        """Guards against a suspended machine that nobody believes again."""
        transit = transit_times.TransitTimes(clock=clock)
        self.age_s(transit, clock, FASTEST_S)
        ages_s = []
        for _ in range(30):
            clock.advance(1.0)
            ages_s.append(self.age_s(transit, clock, FASTEST_S + 5.0))
        assert ages_s[0] == pytest.approx(5.1)
        assert ages_s[-1] == pytest.approx(0.1)

    def test_message_without_a_time_is_taken_as_it_is(self, clock):
        transit = transit_times.TransitTimes(clock=clock)
        assert transit.age_s(SENDER, None, 0.3) == 0.3
        assert transit.age_s(SENDER, 5.0, None) is None

    def test_memory_is_bounded(self, clock):
        transit = transit_times.TransitTimes(clock=clock)
        for number in range(2 * transit_times.MAX_INSTANCES):
            transit.age_s(SENDER._replace(nonce=f'n{number}'), 1.0, 0.0)
        assert len(transit.offsets) <= transit_times.MAX_INSTANCES


class TestReport:
    """A report that was held up on its way covers nobody."""

    @pytest.mark.parametrize('held_s, is_covered', [(0.0, True), (3.0, False)])
    def test_old_report_does_not_cover(self, clock, held_s, is_covered):
        """Guards against followers that rely on a reader behind a cut."""

        async def run():
            group = peer_fleet.Fleet(clock, count=9)
            await group.step(rounds=4)
            near = [
                one
                for one in group.instances
                if one.own.location.region == 'kolkata'
            ]
            reader = next(one for one in near if one.readers.is_reader())
            follower = next(one for one in near if not one.readers.is_reader())
            report = peer_messages.ReaderReport(
                reader.own, 1, None, reader.state.empty_delta(), 0.0, clock()
            )
            follower.handle_report(report)
            clock.advance(reader_group.FOLLOWER_AGE_LIMIT_S + held_s)
            late = report._replace(sent_s=clock() - held_s)
            follower.handle_report(late)
            return follower.readers.is_covered()

        assert asyncio.run(run()) is is_covered
