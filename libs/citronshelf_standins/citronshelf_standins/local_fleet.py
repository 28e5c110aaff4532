"""Starts and stops the processes of a development fleet on one machine."""

import json
from pathlib import Path
import secrets
import signal
import subprocess
import sys
import time

import tornado.httpclient
import zmq

from citronshelf_standins import events
from citronshelf_standins import layout as layouts

PROGRAM_MODULES = {
    'entry': 'citronshelf_entry.program',
    'control': 'citronshelf_control.program',
    'backend': 'citronshelf_standins.backend_program',
    'platform': 'citronshelf_standins.platform_program',
    'relay': 'citronshelf_standins.relay_program',
}
REQUEST_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 30.0

SETTINGS_TEMPLATE = """\
[instance]
name = "{name}"
region = "{region}"
zone = "{zone}"
store_region = "{store_region}"
region_link_megabits = 30.0

[entry]
listen = "{ip}:{callers}"
admin = "{ip}:{entry_admin}"
forward = "{ip}:{forward}"
balancer_lag_s = {balancer_lag_s}
grace_s = {grace_s}

[control]
peer = "{ip}:{peer}"
admin = "{ip}:{control_admin}"
local = "{ip}:{local}"

[platform]
address = "{platform}"

[peers]
seeds = {seeds}

[secrets]
curve_public = "{curve_public}"
curve_secret = "{curve_secret}"
key_signing = "{key_signing}"
"""


class FleetNotReadyError(Exception):
    """A condition, such as the start of a process, timed out."""


class LocalFleet:
    """The processes of one fleet, each known by a name.

    Process names are ``platform``, the name of a server,
    ``<instance>/entry``, ``<instance>/control`` and, for relays,
    ``<instance>/peer-path`` and ``<instance>/platform-path``.

    Parameters
    ----------
    directory : Path
        Receives settings files and logs; created if missing.
    layout : layouts.Layout
    document : bytes
        Configuration document that ``start`` publishes.
    balancer_lag_s : float
        Value of the setting ``entry.balancer_lag_s``, in seconds.
    grace_s : float
        Value of the setting ``entry.grace_s``, in seconds.
    server_options : tuple of str
        Additional command-line options of every backend server.
    """

    def __init__(
        self,
        *,
        directory: Path,
        layout: layouts.Layout,
        document: bytes,
        balancer_lag_s: float = 5.0,
        grace_s: float = 30.0,
        server_options: tuple[str, ...] = (),
    ):
        self.directory = directory
        self.layout = layout
        self.document = document
        self.balancer_lag_s = balancer_lag_s
        self.grace_s = grace_s
        self.server_options = server_options
        self.platform_relays: dict[str, str] = {}
        self.peer_relays: dict[str, str] = {}
        self.relay_admins: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self.listed_states: dict[str, str] = {}
        public, secret = zmq.curve_keypair()
        self.curve_keys = (public.decode(), secret.decode())
        self.key_signing = secrets.token_hex(32)
        self.client = tornado.httpclient.HTTPClient()

    def start(self) -> None:
        """Start every process; publish the document and the instance list.

        Returns when every instance is ready.

        Raises
        ------
        FleetNotReadyError
            If the platform or an instance does not become ready in time.
        """
        self.directory.mkdir(parents=True, exist_ok=True)
        self.start_platform()
        for server in self.layout.servers:
            self.start_server(server)
        self.wait_until(self.platform_responds, 'platform')
        self.publish('document', self.document)
        self.publish_list()
        for instance in self.layout.instances:
            self.start_control(instance)
            self.start_entry(instance)
        self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until every instance reports to the balancer that it is ready.

        Raises
        ------
        FleetNotReadyError
            If an instance does not become ready in time.
        """
        for instance in self.layout.instances:
            self.wait_until(
                lambda current=instance: self.is_ready(current), instance.name
            )

    def is_ready(self, instance: layouts.InstanceSpec) -> bool:
        """Return whether an instance is ready for callers."""
        return self.responds_ok(f'http://{instance.entry_admin()}/ready')

    def platform_responds(self) -> bool:
        """Return whether the platform stand-in responds."""
        return self.responds_ok(
            f'http://{self.layout.platform}/_standin/faults'
        )

    def responds_ok(self, url: str) -> bool:
        """Return whether a GET request gets a response with status 200."""
        try:
            return self.request('GET', url).code == 200
        except OSError:
            return False

    def wait_until(self, condition, description: str, timeout_s: float = 30.0):
        """Poll a condition until it holds.

        Parameters
        ----------
        condition : callable
            Returns whether the condition holds.
        description : str
            Names the condition in the error message.
        timeout_s : float
            Timeout in seconds.

        Raises
        ------
        FleetNotReadyError
            If it does not hold after ``timeout_s`` seconds.
        """
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise FleetNotReadyError(
                    f'{description} not ready after {timeout_s} s; '
                    f'logs are in {self.directory}'
                )
            time.sleep(POLL_INTERVAL_S)

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        self.spawn('platform', 'platform', ['--listen', self.layout.platform])

    def start_server(self, server: layouts.ServerSpec, *options: str) -> None:
        """Start one backend server stand-in."""
        arguments = ['--listen', server.address(), '--name', server.name]
        arguments += ['--slots', str(server.slots), *self.server_options]
        self.spawn(server.name, 'backend', [*arguments, *options])

    def start_entry(self, instance: layouts.InstanceSpec) -> None:
        """Start the entry daemon of an instance."""
        path = self.write_settings(instance)
        self.spawn(f'{instance.name}/entry', 'entry', ['--settings', path])

    def start_control(self, instance: layouts.InstanceSpec) -> None:
        """Start the control daemon of an instance."""
        path = self.write_settings(instance)
        self.spawn(f'{instance.name}/control', 'control', ['--settings', path])

    def relay_peer(self, instance: layouts.InstanceSpec) -> None:
        """Route traffic to the peer address of an instance through a relay.

        Has to be called before ``start``.
        """
        listen = layouts.relay_address(instance, layouts.PEER_PORT)
        self.start_relay(f'{instance.name}/peer-path', listen, instance.peer())
        self.peer_relays[instance.name] = listen

    def relay_platform(self, instance: layouts.InstanceSpec) -> None:
        """Route the traffic of an instance to the platform through a relay.

        Has to be called before ``start``.
        """
        listen = layouts.relay_address(instance, layouts.PLATFORM_PORT)
        name = f'{instance.name}/platform-path'
        self.start_relay(name, listen, self.layout.platform)
        self.platform_relays[instance.name] = listen

    def start_relay(self, name: str, listen: str, target: str) -> None:
        """Start a relay and wait until it responds.

        ``set_cut_directions`` controls it.
        """
        ip, _, port = listen.rpartition(':')
        admin = f'{ip}:{int(port) + layouts.RELAY_ADMIN_OFFSET}'
        self.relay_admins[name] = admin
        arguments = ['--listen', listen, '--target', target, '--admin', admin]
        self.directory.mkdir(parents=True, exist_ok=True)
        self.spawn(name, 'relay', arguments)
        url = f'http://{admin}/_standin/cut'
        self.wait_until(lambda: self.responds_ok(url), name)

    def set_cut_directions(self, name: str, *directions: str) -> None:
        """Cut these directions of a relay and open the others.

        Parameters
        ----------
        name : str
            Process name of the relay.
        *directions : str
            ``to_target`` or ``back``.
        """
        url = f'http://{self.relay_admins[name]}/_standin/cut'
        self.request('PUT', url, json.dumps(directions).encode())

    def write_settings(self, instance: layouts.InstanceSpec) -> str:
        """Write the settings file of an instance and return its path."""
        others = [i for i in self.layout.instances if i != instance]
        seeds = [self.peer_relays.get(i.name, i.peer()) for i in others][:3]
        text = SETTINGS_TEMPLATE.format(
            name=instance.name,
            region=instance.location.region,
            zone=instance.location.zone,
            store_region=self.layout.locations[0].region,
            ip=instance.ip,
            callers=layouts.CALLER_PORT,
            entry_admin=layouts.ENTRY_ADMIN_PORT,
            forward=layouts.FORWARD_PORT,
            peer=layouts.PEER_PORT,
            control_admin=layouts.CONTROL_ADMIN_PORT,
            local=layouts.LOCAL_LINK_PORT,
            balancer_lag_s=float(self.balancer_lag_s),
            grace_s=float(self.grace_s),
            platform=self.platform_relays.get(
                instance.name, self.layout.platform
            ),
            seeds=json.dumps(seeds),
            curve_public=self.curve_keys[0],
            curve_secret=self.curve_keys[1],
            key_signing=self.key_signing,
        )
        path = self.directory / f'{instance.name}.toml'
        path.write_text(text, encoding='utf-8')
        return str(path)

    def spawn(self, name: str, program: str, arguments: list[str]) -> None:
        """Start a process; append its output to its log file.

        Parameters
        ----------
        name : str
            Process name.
        program : str
            Key of ``PROGRAM_MODULES``.
        arguments : list of str
        """
        log_path = self.log_path(name)
        module = PROGRAM_MODULES[program]
        code = f'import sys; from {module} import main; sys.exit(main())'
        with log_path.open('ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, '-c', code, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def log_path(self, name: str) -> Path:
        """Return the path of the log file of a process."""
        return self.directory / f'{name.replace("/", ".")}.log'

    def signal(self, name: str, signal_number: int) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(signal_number)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has exited."""
        self.processes[name].kill()
        self.processes[name].wait()

    def stop(self) -> None:
        """Kill every process, even a suspended one, and wait for its exit."""
        running = [p for p in self.processes.values() if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in running:
            process.wait(STOP_TIMEOUT_S)
        self.client.close()

    def request(self, method: str, url: str, body=None, headers=None):
        """Send an HTTP request and return the response, whatever its status.

        Raises
        ------
        OSError
            If there is no complete response.
        """
        request = tornado.httpclient.HTTPRequest(
            url,
            method=method,
            body=body,
            headers=headers,
            allow_nonstandard_methods=True,
            connect_timeout=REQUEST_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
            follow_redirects=False,
            decompress_response=False,
        )
        try:
            response = self.client.fetch(request, raise_error=False)
        except tornado.httpclient.HTTPError as error:
            raise ConnectionError(str(error)) from error
        if response.code == 599:
            raise ConnectionError(str(response.error))
        return response

    def publish(self, name: str, body: bytes, revision=None) -> int:
        """Publish a value on the platform and return its revision.

        Parameters
        ----------
        name : str
        body : bytes
        revision : int, optional
            Revision to publish under; by default the next one.
        """
        query = '' if revision is None else f'?revision={revision}'
        url = f'http://{self.layout.platform}/_standin/values/{name}{query}'
        return int(self.request('PUT', url, body).body)

    def publish_list(self, **states: str) -> int:
        """Publish the instance list, with new states for some of its entries.

        States from earlier calls persist. Returns the revision.
        """
        self.listed_states |= states
        body = layouts.instance_list(
            self.layout, self.listed_states, self.peer_relays
        )
        return self.publish('instances', body)

    def set_platform_faults(self, **faults) -> None:
        """Replace all injected faults of the platform stand-in."""
        url = f'http://{self.layout.platform}/_standin/faults'
        self.request('PUT', url, json.dumps(faults).encode())

    def set_server_faults(self, name: str, **faults) -> None:
        """Replace all injected faults of a backend server stand-in."""
        url = f'http://{self.server(name).address()}/_standin/faults'
        self.request('PUT', url, json.dumps(faults).encode())

    def drain_server(self, name: str, draining: bool = True) -> None:
        """Set whether a backend server is draining."""
        url = f'http://{self.server(name).address()}/_standin/drain'
        self.request('PUT', url, json.dumps(draining).encode())

    def execution_counts(self, name: str) -> dict[str, int]:
        """Return the number of executions at a running server, by work ID."""
        url = f'http://{self.server(name).address()}/_standin/executions'
        return json.loads(self.request('GET', url).body)['executions']

    def logged_events(self, name: str, event_number: int) -> list[dict]:
        """Return the log entries of one process for one event.

        Returns an empty list if the process has no log file.
        """
        path = self.log_path(name)
        if not path.exists():
            return []
        marker = f'"event":{event_number},'
        with path.open(encoding='utf-8', errors='replace') as log:
            return [json.loads(line) for line in log if marker in line]

    def logged_executions(self) -> list[dict]:
        """Return the logged executions of all servers, even of exited ones."""
        event_number = events.WORK_EXECUTED.number
        return [
            line
            for server in self.layout.servers
            for line in self.logged_events(server.name, event_number)
        ]

    def server(self, name: str) -> layouts.ServerSpec:
        """Return a server of the layout by name."""
        return next(s for s in self.layout.servers if s.name == name)

    def instance(self, name: str) -> layouts.InstanceSpec:
        """Return an instance of the layout by name."""
        return next(i for i in self.layout.instances if i.name == name)

    def status(self, instance: layouts.InstanceSpec) -> dict:
        """Return the status page of the control daemon of an instance."""
        url = f'http://{instance.control_admin()}/status'
        return json.loads(self.request('GET', url).body)
