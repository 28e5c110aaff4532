"""Which tests run one after another in the same worker of xdist."""

from xdist.scheduler import loadscope

# Tests that start fleets of processes and wait for them within bounds of
# time; they run one after another, beside the others.
PROCESS_TESTS = (
    'tests/',
    'platform/tests/test_program.py',
    'platform/tests/test_soak.py',
)


def group_of(test: str) -> str:
    """Return the group of a test's node identifier.

    Tests of one file may share a fixture, so that they stay together.
    """
    if test.startswith(PROCESS_TESTS):
        return 'processes'
    return test.split('::')[0]


class GroupScheduling(loadscope.LoadScopeScheduling):
    """Gives whole groups to workers.

    The groups of xdist itself are lost with pytest 9.2: xdist 3.8 writes
    them into an attribute that pytest no longer reads.
    """

    def _split_scope(self, nodeid):
        return group_of(nodeid)
