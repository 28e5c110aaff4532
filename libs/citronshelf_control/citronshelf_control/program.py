"""Command-line program ``citronshelf-control``."""

import sys

from citronshelf_common import program
from citronshelf_common import settings
from citronshelf_control import daemon

NAME = 'citronshelf-control'


def main(arguments: list[str] | None = None) -> int:
    """Run the control daemon.

    Parameters
    ----------
    arguments : list of str, optional
        Command-line arguments without the program's name.

    Returns
    -------
    int
        Exit status, see ``program.ExitStatus``.
    """
    parser = program.make_parser(
        name=NAME,
        package='citronshelf-control',
        about='Control daemon of one instance.',
    )
    parser.add_argument('--settings', metavar='FILE', required=True)
    options = parser.parse_args(arguments)
    table = program.read_settings(options.settings, settings.InstanceSettings)
    if table.is_error():
        return program.fail(
            table.error.render(), program.ExitStatus.BAD_SETTINGS
        )
    program.events.configure_logging()
    return program.run_daemon(
        name=NAME,
        serve=daemon.ControlDaemon(table=table.ok).serve,
        instance=table.ok['instance']['name'],
    )


if __name__ == '__main__':
    sys.exit(main())
