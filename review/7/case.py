"""A heartbeat that is carried out late brings back a server that left.

Its answers had announced that it leaves, after its entry had been removed.
"""

import asyncio
from pathlib import Path
import sys

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import standins  # noqa: E402

BEAT_S = 1.5
# platform_lost, how late, for_s 4.5: a write gets no answer and is done 1 to
# 6 s later. Here one of about nine writes of that time.
LOST_BEAT_AT_S = 3.9
LATE_S = 5.8
# While requests of a round are in progress at the server.
LEAVES_AT_S = 4.06
# An entry is removed after three heartbeat intervals of silence.
LEASE_S = 3 * BEAT_S
ENDS_AT_S = 15.0
# Requests are sent together at this interval, and end within 0.2 s.
INTERVAL_S = 0.4
REQUESTS = 20


async def scenario(record, trouble):
    async with standins.Fleet(record=record, instances=2) as fleet:
        store = fleet.store
        rules = [standins.path_rule('issue', '/lepu270/', 'unsafe', 'huvo11a')]
        store.put('op/config', standins.configuration(7, rules))
        servers = [
            standins.Server(
                name=f'i-{n}', service='huvo11a', store=store, record=record
            )
            for n in range(3)
        ]
        for server in servers:
            await server.start()
            server.beat()
        await fleet.start_instances()
        await asyncio.sleep(2.0)
        start_s = record.now()

        def now():
            return record.now() - start_s

        async def wait_until(time_s):
            await asyncio.sleep(max(0.0, time_s - now()))

        sent = {}
        answers = []
        tasks = []
        # When each instance first passed on an answer with Server-Leaving.
        passed_on_s = {}

        async def request(number):
            request_id = f'r{number:05d}'
            instance = number % 2
            port = fleet.instances[instance].ports['callers']
            sent[request_id] = now()
            record.write(f'client: {request_id} sent to instance {instance}')
            data = standins.request_bytes(
                'POST', f'/lepu270/{number}', request_id
            )
            fields = {}
            try:
                status, fields, _ = await standins.exchange(port, data)
            except (OSError, asyncio.IncompleteReadError) as error:
                status = repr(error)
            answers.append(status)
            leaving = fields.get('server-leaving', '')
            record.write(
                f'client: {request_id} gets {status}'
                + (f', Server-Leaving: {leaving}' if leaving else '')
            )
            if leaving == '1':
                passed_on_s.setdefault(instance, now())

        async def send_requests():
            number = 0
            while now() < ENDS_AT_S:
                await asyncio.sleep(INTERVAL_S - now() % INTERVAL_S)
                for _ in range(REQUESTS):
                    number += 1
                    tasks.append(asyncio.create_task(request(number)))

        async def beats(server, phase_s):
            number = 0
            while server.state == 'ready':
                await wait_until(phase_s + BEAT_S * number)
                number += 1
                if server.state == 'ready':
                    server.beat()

        sending = asyncio.create_task(send_requests())
        beating = [
            asyncio.create_task(beats(server, phase_s))
            for server, phase_s in zip(servers[1:], (0.5, 1.0), strict=True)
        ]
        leaving = servers[0]
        for time_s in (LOST_BEAT_AT_S - 2 * BEAT_S, LOST_BEAT_AT_S - BEAT_S):
            await wait_until(time_s)
            leaving.beat()
        await wait_until(LOST_BEAT_AT_S)
        late_entry = leaving.entry()
        if trouble:
            record.write(
                f'{leaving.name}: heartbeat {late_entry["sequence"]} gets no'
                f' answer; done {LATE_S} s later'
            )
        else:
            leaving.beat(late_entry)
        # The server never reports draining: its entry is removed, and it
        # continues to serve for some seconds.
        await wait_until(LEAVES_AT_S)
        leaving.state = 'draining'
        store.remove(f'servers/{leaving.name}')
        record.write(f'{leaving.name} leaves')
        if trouble:
            await wait_until(LOST_BEAT_AT_S + LATE_S)
            leaving.beat(late_entry)
            await wait_until(LOST_BEAT_AT_S + LATE_S + LEASE_S)
            store.remove(f'servers/{leaving.name}')
        await sending
        await asyncio.gather(*tasks)
        for task in beating:
            task.cancel()
        for server in servers:
            server.stop()
        served = answers.count(200)
        if len(answers) < 500 or served < 0.9 * len(answers):
            raise RuntimeError(f'{served} of {len(answers)} served')
        if not passed_on_s:
            raise RuntimeError('no answer with Server-Leaving')
        print(f'{served} of {len(answers)} requests served')
        violations = []
        for arrived_s, request_id in leaving.arrivals:
            instance = int(request_id[1:]) % 2
            passed_s = passed_on_s.get(instance, float('inf'))
            if sent[request_id] > passed_s + standins.DRAIN_S:
                violations.append(
                    f'DRAIN: {request_id} was sent'
                    f' {sent[request_id] - passed_s:.3f} s after instance'
                    f' {instance} had passed on an answer of {leaving.name}'
                    ' with Server-Leaving, and reached it at'
                    f' {arrived_s:.3f}'
                )
        return violations


standins.run(scenario, FOLDER)
