"""Command lines of the programs."""

import importlib.metadata
import subprocess
import sys

import pytest

DAEMONS = ('citronshelf-entry', 'citronshelf-control')
SCRIPTS = {
    entry.name: entry.value.partition(':')[0]
    for entry in importlib.metadata.entry_points(group='console_scripts')
    if entry.name.startswith('citronshelf')
}
BAD_SETTINGS = 3
BAD_DOCUMENT = 4


def run_program(name, *arguments):
    """Run a program and return its exit status and output."""
    code = f'import sys; from {SCRIPTS[name]} import main; sys.exit(main())'
    return subprocess.run(
        [sys.executable, '-c', code, *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


class TestPrograms:
    """Help and version of all programs, and errors in input files."""

    def test_number_of_programs(self):
        assert len(SCRIPTS) == 8

    @pytest.mark.parametrize('name', sorted(SCRIPTS))
    def test_help_and_version(self, name):
        assert name in run_program(name, '--help').stdout
        version = run_program(name, '--version')
        assert (version.returncode, version.stdout) == (0, f'{name} 0.1.0\n')

    @pytest.mark.parametrize('name', DAEMONS)
    def test_error_names_the_line_of_a_bad_setting(self, name, tmp_path):
        path = tmp_path / 'settings.toml'
        path.write_text('[instance]\nname = "a"\nzome = "b"\n')
        result = run_program(name, '--settings', str(path))
        assert result.returncode == BAD_SETTINGS
        assert f'{path}:3: instance.zome' in result.stderr
        assert 'Traceback' not in result.stderr

    @pytest.mark.parametrize('name', DAEMONS)
    def test_error_names_the_missing_settings_file(self, name):
        result = run_program(name, '--settings', '/nonexistent/settings.toml')
        assert result.returncode == BAD_SETTINGS
        assert '/nonexistent/settings.toml' in result.stderr

    def test_check_names_the_line_of_a_bad_document(self, tmp_path):
        path = tmp_path / 'document.toml'
        path.write_text('format = 1\n[pools.p]\nslots = 2\n')
        result = run_program('citronshelf', 'check', str(path))
        assert result.returncode == BAD_DOCUMENT
        assert f'{path}:3' in result.stdout + result.stderr
