"""Open connections go silent; then a configuration moves a route.

Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
"""

import asyncio
import os
from pathlib import Path
import sys
import tempfile
import time

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import backend  # noqa: E402
from standins import caller  # noqa: E402
from standins import fleet  # noqa: E402
from standins import relay  # noqa: E402
from standins import store  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
INSTANCES = 36
# The instances have run for this long when connections go silent.
SETTLING_S = 14.0
STABLE_WINDOW_S = 3.0
# Beyond the window after which the instances are in touch again.
IN_TOUCH_SLACK_S = 0.6
CONFIG_APPLY_S = 2.5
# Requests begin this long after the bound.
SEND_MARGIN_S = 0.03
WATCHED_S = 6.0
REQUEST_INTERVAL_S = 0.5
# Time that a peer connection of this project waits for an acknowledgement.
PEER_USER_TIMEOUT_S = 3.0


def rules(service):
    """Return the routes; ``/issue/`` leads to the given service."""
    return [
        store.path_rule('issue', '/issue/', 'unsafe', service),
        store.path_rule('look', '/look/', 'safe', 'desk'),
    ]


class Case:
    """The stand-ins, the instances and what was seen."""

    def __init__(self, folder):
        self.record = fleet.Record(HERE / 'record.txt')
        self.store = store.Store()
        self.backends = [
            backend.Backend(server_id=f'{service}-{n}', service=service)
            for service in ('mint', 'desk')
            for n in range(4)
        ]
        self.instances = [
            fleet.Instance(folder=folder, number=n, zone=zone)
            for zone in fleet.ZONES
            for n in range(INSTANCES // len(fleet.ZONES))
        ]
        self.relays = []
        self.answers = []

    async def start(self):
        """Start stand-ins and instances; wait until all are ready."""
        await self.store.start()
        for server in self.backends:
            await server.start()
            self.store.put(f'servers/{server.server_id}', server.entry())
        services = ('mint', 'desk')
        self.services = services
        self.store.put(
            'op/config', store.configuration(1, rules('mint'), services)
        )
        store_relay = relay.Relay(
            listen=('127.0.0.1', 0), target=('127.0.0.1', self.store.port)
        )
        self.relays.append(store_relay)
        for instance in self.instances:
            self.relays.append(
                relay.Relay(
                    listen=('127.0.0.2', instance.control),
                    target=('127.0.0.1', instance.control),
                    replaced=(b'127.0.0.1', b'127.0.0.2'),
                    unacknowledged_s=PEER_USER_TIMEOUT_S,
                )
            )
        for one in self.relays:
            await one.start()
        for n, instance in enumerate(self.instances):
            seeds = [
                f'127.0.0.2:{other.control}'
                for other in (self.instances[0], self.instances[-1])
                if other is not instance
            ]
            instance.write_settings(
                seeds=seeds,
                store=f'127.0.0.1:{store_relay.port}',
                metrics_ip=f'127.0.32.{n + 1}',
            )
            await instance.start()
        for instance in self.instances:
            await instance.wait_ready()

    async def call(self, instance):
        """Send requests on the moved route to one instance until cancelled."""
        client = caller.Caller(instance.front)
        count = 0
        while True:
            count += 1
            request_id = f'{instance.name}.{count}'
            answer = await client.send(
                'POST', '/issue/book', request_id, b'book'
            )
            answer['instance'] = instance.name
            self.answers.append(answer)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def run(self):
        """Play the case; return the exit status."""
        record = self.record
        await self.start()
        record.write(f'{len(self.instances)} instances are ready')
        await asyncio.sleep(SETTLING_S)
        if TROUBLE:
            counts = [one.silence() for one in self.relays]
            record.write(
                f'silent from now on: {counts[0]} connections to the store'
                f' and {sum(counts[1:])} between instances'
            )
        await asyncio.sleep(STABLE_WINDOW_S + IN_TOUCH_SLACK_S)
        self.store.put(
            'op/config',
            store.configuration(2, rules('desk'), self.services),
        )
        acknowledged_s = time.monotonic()
        record.write('store acknowledged version 2: /issue/ moves to desk')
        await asyncio.sleep(CONFIG_APPLY_S + SEND_MARGIN_S)
        callers = [
            asyncio.create_task(self.call(instance))
            for instance in self.instances
        ]
        await asyncio.sleep(WATCHED_S)
        for task in callers:
            task.cancel()
        return self.judge(acknowledged_s)

    def judge(self, acknowledged_s):
        """Write what was seen; return 1 if the rule was broken."""
        runs = {}
        for server in self.backends:
            for arrival in server.arrivals:
                runs.setdefault(arrival['request'], []).append(arrival)
        bound_s = acknowledged_s + CONFIG_APPLY_S
        late, judged = [], 0
        for answer in sorted(self.answers, key=lambda one: one['sent']):
            servers = [
                run['server'] for run in runs.get(answer['request'], [])
            ]
            self.record.write(
                f'{answer["request"]} sent, answered {answer["status"]} after'
                f' {answer["ended"] - answer["sent"]:.3f} s,'
                f' run by {", ".join(servers) or "none"}',
                answer['sent'],
            )
            if answer['sent'] <= bound_s:
                continue
            judged += 1
            late += [answer for name in servers if name.startswith('mint')]
        if not judged:
            self.record.write('no request was judged')
            return 2
        names = {answer['instance'] for answer in late}
        longest_s = max(
            (answer['sent'] - acknowledged_s for answer in late), default=0
        )
        text = (
            f'CONFIG: {len(late)} of {judged} requests sent later than'
            f' {CONFIG_APPLY_S} s after the acknowledgement were run by the'
            f' old service, through {len(names)} instances, the last'
            f' {longest_s:.1f} s after it'
        )
        self.record.write(text)
        print(text)
        return 1 if late else 0

    async def end(self):
        """End all processes and connections of the case."""
        for instance in self.instances:
            await instance.end()
        for one in self.relays:
            await one.end()


async def main():
    """Play the case in a temporary folder; return the exit status."""
    with tempfile.TemporaryDirectory() as name:
        case = Case(Path(name))
        try:
            async with asyncio.timeout(110):
                return await case.run()
        finally:
            await case.end()


if __name__ == '__main__':
    try:
        status = asyncio.run(main())
    except Exception as error:
        print(f'could not run: {error!r}')
        status = 2
    sys.exit(status)
