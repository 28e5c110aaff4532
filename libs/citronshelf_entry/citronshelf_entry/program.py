"""Command line of the entry daemon."""

from citronshelf_common import events as log_events
from citronshelf_common import program
from citronshelf_common import settings as instance_settings
from citronshelf_entry import daemon


def make_parser():
    """Return the command line parser."""
    parser = program.make_parser(
        name='citronshelf-entry',
        package='citronshelf-entry',
        about='Serves callers: the data path of one instance.',
    )
    parser.add_argument('--settings', required=True, metavar='FILE')
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon and return its exit status."""
    options = make_parser().parse_args(arguments)
    loaded = program.read_settings(
        options.settings, instance_settings.InstanceSettings
    )
    if loaded.is_error():
        return program.fail(
            loaded.error.render(), program.ExitStatus.BAD_SETTINGS
        )
    log_events.configure_logging()
    settings = loaded.ok

    async def serve(stopping) -> int:
        return await daemon.EntryDaemon(settings=settings).serve(stopping)

    return program.run_daemon(
        name='citronshelf-entry',
        serve=serve,
        instance=settings['instance']['name'],
    )
