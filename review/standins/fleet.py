"""Starts instances with the command and the template of the deploy file."""

import asyncio
import json
import os
from pathlib import Path
import random
import re
import shlex
import signal
import socket
import time
import tomllib

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
ROLE = DEPLOY['roles']['instance']
TEMPLATE = (ROOT / ROLE['template']).read_text()
START_TIMEOUT_S = 30.0
SECTION = re.compile(r'\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
PLACEHOLDER = re.compile(r'\{\{([\w.-]+)(\|json)?\}\}')
BOUNDS = {
    'stable-window-ms': 3000,
    'drain-ms': 2500,
    'grace-s': 6,
    'config-apply-ms': 2500,
    'retry-budget-ratio': 0.2,
    'budget-window-s': 10,
    'budget-slack': 58,
}
ZONES = {
    'howrah': 'kolkata',
    'sealdah': 'kolkata',
    'sevoke-rd': 'siliguri',
    'matigara': 'siliguri',
}
CHOSEN_PORTS = set()


def free_port(*addresses):
    """Return a port below the ephemeral range that all addresses have free."""
    while True:
        port = random.randrange(12000, 30000)
        if port in CHOSEN_PORTS:
            continue
        try:
            for address in addresses or ('127.0.0.1',):
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        CHOSEN_PORTS.add(port)
        return port


def look_up(fields, name):
    """Return a value of nested tables by its dotted name."""
    value = fields
    for part in name.split('.'):
        value = value[part]
    return value


def render(template, fields):
    """Fill in a template as the platform does."""

    def fill(match):
        value = look_up(fields, match[1])
        if match[2]:
            return json.dumps(value)
        return str(value)

    def expand(match):
        table = look_up(fields, match[1])
        return ''.join(
            match[2].replace('{{@}}', key).replace('{{.}}', value)
            for key, value in table.items()
        )

    return PLACEHOLDER.sub(fill, SECTION.sub(expand, template))


class Instance:
    """One instance process.

    Parameters
    ----------
    folder : Path
    number : int
    """

    def __init__(self, *, folder, number, zone='howrah'):
        self.folder = folder
        self.name = f'front-{zone}-{number}'
        self.zone = zone
        self.front = free_port()
        self.ready = free_port()
        self.control = free_port('127.0.0.1', '127.0.0.2')
        self.process = None

    def write_settings(self, *, seeds, store, metrics_ip):
        """Write the settings file as the platform renders it."""
        fields = {
            'node-name': self.name,
            'region': ZONES[self.zone],
            'zone': self.zone,
            'zones': ZONES,
            'ip': metrics_ip,
            'limits': {'max-fds': 4100, 'memory-mb': 300},
            'listen': {
                'front': f'127.0.0.1:{self.front}',
                'ready': f'127.0.0.1:{self.ready}',
                'control': f'127.0.0.1:{self.control}',
            },
            'seeds': seeds,
            'provider': {'address': store},
            'bounds': BOUNDS,
        }
        self.settings = self.folder / f'{self.name}.toml'
        self.settings.write_text(render(TEMPLATE, fields))

    async def start(self):
        """Start the process with the command of the deploy file."""
        environment = {
            'PATH': os.environ.get('PATH', '/usr/bin:/bin'),
            'HOME': str(self.folder),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'CITRONSHELF_NODE_FILE': str(self.settings),
        }
        with (self.folder / f'{self.name}.log').open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(ROLE['run']),
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env=environment,
            )

    async def wait_ready(self):
        """Wait until the readiness page answers 200.

        Raises ``RuntimeError`` with the end of the log if it does not.
        """
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while await self.ready_status() != 200:
                    await asyncio.sleep(0.1)
        except TimeoutError:
            log = (self.folder / f'{self.name}.log').read_text()
            raise RuntimeError(
                f'{self.name} is not ready, exit status'
                f' {self.process.returncode}, end of its log: {log[-2000:]}'
            ) from None

    async def ready_status(self):
        """Return the status of the readiness page; 0 without an answer."""
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.ready
            )
            writer.write(b'GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n')
            line = await reader.readline()
            writer.close()
            return int(line.split()[1])
        except (OSError, IndexError, ValueError):
            return 0

    async def end(self):
        """Kill the process, if it runs, and wait for its end."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


class Record:
    """Writes what was sent, answered and run to ``record.txt``.

    Parameters
    ----------
    path : Path
    """

    def __init__(self, path):
        self.file = path.open('w', encoding='utf-8')
        self.started_s = time.monotonic()

    def write(self, text, at_s=None):
        """Write one line with its time in seconds since the start."""
        now = time.monotonic() if at_s is None else at_s
        self.file.write(f'{now - self.started_s:9.3f} s  {text}\n')
        self.file.flush()
