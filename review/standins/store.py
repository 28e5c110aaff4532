"""Stand-in for the platform's metadata store: range and watch."""

import asyncio
import base64
import json
from urllib import parse


class Store:
    """Serves items over HTTP on a loopback port.

    Attributes
    ----------
    port : int
    """

    def __init__(self):
        self.revision = 0
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.waits_s = []

    async def start(self):
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        """Write an item as JSON; this call is the acknowledgement."""
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(json.dumps(value).encode()).decode(),
            'mod-revision': self.revision,
            'create-rev': self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self.publish(item)

    def remove(self, key):
        """Remove an item."""
        del self.items[key]
        self.revision += 1
        self.publish(
            {'key': key, 'mod-revision': self.revision, 'removed': True}
        )

    def publish(self, event):
        """Add an event to the history and wake the watches."""
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        """Serve one request on a connection and close it."""
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            path, _, query = head.split(b' ')[1].decode().partition('?')
            fields = dict(parse.parse_qsl(query, keep_blank_values=True))
            if path == '/kv-range':
                answer = self.read_range(fields)
            else:
                answer = await self.watch(fields)
            body = json.dumps(answer).encode()
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    def read_range(self, fields):
        """Return one page of items."""
        after = fields.get('after', '')
        keys = sorted(
            key
            for key in self.items
            if key.startswith(fields['prefix']) and key > after
        )
        return {
            'items': [self.items[key] for key in keys[:500]],
            'has-more': len(keys) > 500,
            'at': self.revision,
        }

    async def watch(self, fields):
        """Return the events after a revision, waiting for the first one."""
        after = int(fields['after'])
        wait_s = int(fields.get('wait-ms', 0)) / 1000
        self.waits_s.append(wait_s)
        if not self.events_after(after) and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
        return {'events': self.events_after(after), 'at': self.revision}

    def events_after(self, after):
        """Return the events after a revision."""
        return [e for e in self.history if e['mod-revision'] > after]


def path_rule(name, prefix, kind, service):
    """Return one route in the published format."""
    return {
        'name': name,
        'prefix': prefix,
        'kind': kind,
        'timeout-ms': 1500,
        'target-latency-ms': 600,
        'priority': 1,
        'attempts': 2,
        'service': service,
    }


def configuration(version, rules, services):
    """Return a configuration in the published format."""
    return {
        'version': version,
        'services': [
            {'name': name, 'health-path': '/health', 'max-connections': 330}
            for name in services
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 1048576,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'virtual-hosts': [{'host': 'shop.example', 'path-rules': rules}],
    }
