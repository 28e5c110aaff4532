"""Tests of the grouping of tests by xdist worker."""

import pathlib
import subprocess
import sys

import worker_groups

TESTS_FOLDER = pathlib.Path(worker_groups.__file__).parent
CONFTEST = """
import worker_groups

def pytest_xdist_make_scheduler(config, log):
    return worker_groups.GroupScheduling(config, log)
"""
TESTS = """
import os, pathlib, time
import pytest

@pytest.mark.parametrize('number', range(12))
def test_worker(number):
    name = os.environ['PYTEST_XDIST_WORKER']
    (pathlib.Path(__file__).parent / f'{name}.txt').touch()
    time.sleep(0.02)
"""


class TestGroups:
    """Tests of one file share a group; some groups contain several files."""

    def test_tests_of_one_file_share_a_group(self):
        first = worker_groups.group_of_test(
            'libs/a/tests/test_b.py::TestC::test_d'
        )
        second = worker_groups.group_of_test(
            'libs/a/tests/test_b.py::TestE::x[@]'
        )
        other = worker_groups.group_of_test(
            'libs/a/tests/test_c.py::TestC::test_d'
        )
        assert first == second != other

    def test_process_tests_share_a_group(self):
        groups = [
            worker_groups.group_of_test(test)
            for test in (
                'tests/test_servers.py::TestA::test_b',
                'tests/test_path.py::TestA::test_b',
                'platform/tests/test_soak.py::TestA::test_b',
                'platform/tests/test_program.py::TestA::test_b',
                'platform/tests/test_translation.py::TestA::test_b',
            )
        ]
        assert groups[0] == groups[1]
        assert groups[2] == groups[3]
        assert len({groups[0], groups[2], groups[4]}) == 3


class TestScheduling:
    """xdist runs all tests of a group on the same worker."""

    def test_file_runs_in_one_worker(self, tmp_path):
        (tmp_path / 'conftest.py').write_text(CONFTEST, 'utf-8')
        (tmp_path / 'test_workers.py').write_text(TESTS, 'utf-8')
        subprocess.run(
            [sys.executable, '-m', 'pytest', '-n', '2', '--dist', 'loadgroup']
            + ['-o', f'pythonpath={TESTS_FOLDER}', '.'],
            cwd=tmp_path,
            check=True,
            timeout=60.0,
        )
        assert len(list(tmp_path.glob('gw*.txt'))) == 1
