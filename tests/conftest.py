"""Fixtures of the failure tests."""

import fleet_factory
import load_generator
import pytest


@pytest.fixture
def fleets(tmp_path):
    """Give one test its fleets."""
    factory = fleet_factory.FleetFactory(tmp_path)
    yield factory
    factory.stop()


@pytest.fixture(scope='class')
def shared_fleet(tmp_path_factory):
    """Give the tests of one class a fleet without faults."""
    factory = fleet_factory.FleetFactory(tmp_path_factory.mktemp('fleet'))
    yield factory.start()
    factory.stop()


@pytest.fixture
def make_load():
    """Return a function that makes the callers of a fleet."""

    def make(fleet, **options):
        return load_generator.LoadGenerator(
            addresses=fleet_factory.caller_addresses(fleet),
            paths=fleet_factory.PATHS,
            **options,
        )

    return make


@pytest.fixture
def report_load(record_property):
    """Return a function that judges a load and prints its counts."""

    def summarize(name, load, fleet):
        report = load_generator.make_report(
            load.items, fleet.executions_logged()
        )
        print(f'\n{name}: {report}')
        record_property(name, report._asdict())
        return report

    return summarize
