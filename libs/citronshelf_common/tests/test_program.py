"""Tests of daemon startup, task failure and settings errors."""

import asyncio

from citronshelf_common import program


class TestProgram:
    """A failed task stops its daemon; a settings fault names its file."""

    def test_failed_task_stops_the_daemon(self):
        async def fail():
            raise ValueError('broken')

        async def serve(stopping):
            program.start_task(fail(), name='t')
            async with asyncio.timeout(5):
                await stopping.wait()
            return 0

        status = program.run_daemon(name='test', serve=serve)
        program.FAILED_TASKS.clear()
        assert status == program.ExitStatus.BROKEN_INVARIANT

    def test_settings_fault_names_the_file(self):
        result = program.read_settings('/nonexistent.toml', dict)
        assert result.error.source == '/nonexistent.toml'
