"""Fixtures shared by the tests of the instance."""

import pytest

from instance_builders import FakeClock


@pytest.fixture
def clock():
    return FakeClock()
