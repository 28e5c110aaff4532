"""Fixtures for the tests that run a fleet of real processes."""

import fleet_factory
import load_generator
import pytest


@pytest.fixture
def fleets(tmp_path):
    """Return a factory of fleets, which are stopped after the test."""
    factory = fleet_factory.FleetFactory(tmp_path)
    yield factory
    factory.stop()


@pytest.fixture(scope='class')
def shared_fleet(tmp_path_factory):
    """Return a running fleet that the tests of a class share.

    These tests must not inject faults or change the fleet.
    """
    factory = fleet_factory.FleetFactory(tmp_path_factory.mktemp('fleet'))
    yield factory.start()
    factory.stop()


@pytest.fixture
def make_load():
    """Return a function that creates a load generator for a fleet."""

    def make(fleet, **options):
        return load_generator.LoadGenerator(
            addresses=fleet_factory.caller_addresses(fleet),
            paths=fleet_factory.PATHS,
            **options,
        )

    return make


@pytest.fixture
def report_load(record_property):
    """Return a function that checks the outcomes of a load.

    The function prints the report, records it as a property of the test and
    returns it. It does not fail on violations; the test has to check them.
    """

    def summarize(name, load, fleet):
        report = load_generator.make_report(
            load.items, fleet.logged_executions()
        )
        print(f'\n{name}: {report}')
        record_property(name, report._asdict())
        return report

    return summarize
