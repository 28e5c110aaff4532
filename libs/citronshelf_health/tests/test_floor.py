"""Tests of the capacity floor and of the logged decisions."""

import json
import logging

import health_fleet
import pytest

from citronshelf_common import events as common_events
from citronshelf_common import fleet
from citronshelf_health import decisions

Standing = fleet.Standing


class TestFloor:
    """Ejections never take a pool below its floor.

    This holds at once, even when the floor rises or servers leave.
    """

    @pytest.mark.parametrize('servers', [1, 2, 3])
    def test_small_pools_eject_no_server(self, servers):
        fleet_ = health_fleet.Fleet(servers=servers)
        fleet_.faults[0] = {'errored': 1.0}
        fleet_.run(20.0)
        assert not fleet_.without_load()

    def test_floor_of_half_lets_one_of_two_be_ejected(self):
        fleet_ = health_fleet.Fleet(servers=2, floor_percent=50)
        fleet_.inject_fault(0, {'errored': 1.0})
        fleet_.faults[1] = {'errored': 1.0}
        fleet_.run(3.0)
        assert fleet_.without_load() == {0}

    def test_least_severe_returns_when_list_shrinks(self):
        fleet_ = health_fleet.Fleet()
        fleet_.inject_fault(0, {'errored': 1.0})
        fleet_.inject_fault(1, {'errored': 0.2})
        assert fleet_.without_load() == {0, 1}
        fleet_.list_servers(range(6))
        assert fleet_.without_load() == {0}

    def test_least_severe_returns_when_servers_leave(self):
        fleet_ = health_fleet.Fleet()
        fleet_.inject_fault(0, {'errored': 1.0})
        fleet_.inject_fault(1, {'errored': 0.2})
        fleet_.list_servers(range(8), leaving=(7,))
        assert fleet_.without_load() == {0, 7}
        assert fleet_.standing(7) == Standing.LEAVING

    def test_all_return_when_document_raises_floor(self):
        fleet_ = health_fleet.Fleet()
        fleet_.inject_fault(0, {'errored': 1.0})
        fleet_.set_pool(100)
        assert not fleet_.without_load()
        change = fleet_.board.step(fleet_.now)[-1]
        assert change.reason == decisions.Reason.FLOOR

    def test_worse_server_replaces_less_severe_one(self):
        health_fleet.check_worse_replaces()

    def test_instances_agree(self):
        health_fleet.check_agreement()


class TestLog:
    """Each decision is logged with the values behind it."""

    def test_ejection_is_logged_with_its_values(self, caplog):
        caplog.set_level(logging.INFO)
        health_fleet.Fleet().inject_fault(3, {'errored': 1.0})
        record = caplog.records[-1]
        assert (record.event, record.server) == (1200, 's3')
        assert record.score >= record.threshold
        assert (record.capacity, record.floor) == (16.0, 12)
        formatter = common_events.MsgspecFormatter()
        line = json.loads(formatter.format(record))
        assert line['reason'] == 'errors'

    def test_kept_server_is_logged_once_and_cleared(self, caplog):
        caplog.set_level(logging.INFO)
        fleet_ = health_fleet.Fleet(servers=2)
        fleet_.faults[0] = {'errored': 1.0}
        fleet_.run(20.0)
        fleet_.faults.clear()
        fleet_.run(120.0)
        names = [r.event_name for r in caplog.records]
        assert names.count('server-kept') == 1
        assert names.count('suspicion-cleared') == 1
