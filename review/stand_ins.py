"""Stand-ins for the scripts of this folder: targets, clients, routers, and the
platform's starter of the real program. They follow the users' pages
(PROTOCOL.md, DEPLOY.md); the store and the packets are the project's own
stand-ins, soak/store.py and soak/wire.py.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
from soak import store as soak_store  # noqa: E402
from soak import wire  # noqa: E402

HEARTBEAT = 0.77  # `heartbeat-ms` of the deployment.
CONTACT = 4.0  # `bounds.contact-ms`
GRACE = 6.0  # `bounds.grace-s`
SYN_TIMES = (0.2, 0.4, 0.8)  # Copies after 200 and 600 ms, the end at 1.4 s.
REPEATS = (0.2, 0.4, 0.8, 1.6)
RESET_RANGE = 76_800
MASK = 0xFFFFFFFF


# Settings -----------------------------------------------------------------

def look_up(name, fields, local):
    if name == ".":
        return local[-1][0]
    if name == "@":
        return local[-1][1]
    value = fields
    for part in name.split("."):
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, list) and part.isdigit():
            value = value[int(part)] if int(part) < len(value) else None
        else:
            return None
    return value


def fill(text, fields, local=((None, None, True),)):
    """The part of DEPLOY.md's templates that the project's template uses."""
    pattern = re.compile(r"\{\{([#^/]?)([^}]+)\}\}")
    out, at = "", 0
    while found := pattern.search(text, at):
        out += text[at:found.start()]
        kind, name = found.groups()
        at = found.end()
        if kind in "#^" and kind:
            end = text.index("{{/" + name + "}}", at)
            body, at = text[at:end], end + len(name) + 5
            value = look_up(name, fields, local)
            if kind == "^":
                out += "" if value else fill(body, fields, local)
            elif isinstance(value, (dict, list)):
                entries = (list(value.items()) if isinstance(value, dict)
                           else list(enumerate(value)))
                for i, (key, one) in enumerate(entries):
                    last = i + 1 == len(entries)
                    out += fill(body, fields, (*local, (one, key, last)))
            elif value is not None and value is not False:
                out += fill(body, fields, local)
        elif name == ",":
            out += "" if local[-1][2] else ","
        else:
            as_json = name.endswith("|json")
            value = look_up(name.removesuffix("|json"), fields, local)
            if as_json:
                out += json.dumps(value)
            elif isinstance(value, list):
                out += ",".join(map(str, value))
            else:
                out += "" if value is None else str(value)
    return out + text[at:]


# The world ------------------------------------------------------------------

class World:
    """Addresses, ports, the store, the record and all stand-ins of a run."""

    def __init__(self, record):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = open(record, "w", encoding="utf-8")
        self.started = time.monotonic()
        self.random = random.Random(47)
        self.net = random.SystemRandom().randint(30, 220)
        self.store = soak_store.Store()
        self.instances, self.targets, self.clients = [], [], []
        self.broken = []
        self.ports = self.free_ports(5)
        self.packet_port, self.ready_port = self.ports[0], self.ports[1]
        self.control_port = self.ports[2]
        self.peer_port, self.metrics_port = self.ports[3], self.ports[4]
        self.tasks = []

    def address(self, kind, number):
        return f"127.{self.net}.{kind}.{number}"

    def free_ports(self, count):
        """Ports that are free at the loopback addresses of this run."""
        hosts = [self.address(kind, number)
                 for kind in (10, 11, 12, 64, 100) for number in range(1, 23)]
        found = []
        while len(found) < count:
            port = random.SystemRandom().randint(20000, 32000)
            if port not in found and all(map(self.is_free, hosts,
                                             [port] * len(hosts))):
                found.append(port)
        return found

    @staticmethod
    def is_free(host, port):
        try:
            for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                with socket.socket(socket.AF_INET, kind) as one:
                    one.bind((host, port))
        except OSError:
            return False
        return True

    def now(self):
        return time.monotonic() - self.started

    def note(self, what):
        line = f"{self.now():8.3f} s  {what}"
        print(line, file=self.record_file, flush=True)

    def break_rule(self, rule, what):
        self.broken.append((rule, what))
        self.note(f"BROKEN {rule}: {what}")

    async def until(self, at):
        await asyncio.sleep(max(0.0, at - self.now()))

    async def start_store(self):
        server = await asyncio.start_server(
            self.store.serve, "127.0.0.1", 0)
        self.store_address = (
            f"127.0.0.1:{server.sockets[0].getsockname()[1]}")

    def configure(self, version, routes, idle_ms=30_000):
        """`routes`: (host, port, type, service)."""
        services = sorted({route[3] for route in routes})
        self.store.put("op/config", {
            "version": version,
            "routes": [{"name": f"r-{host}-{port}", "host": host,
                        "prefix": f"/{port}/", "type": kind,
                        "timeout-ms": 2500, "aim-ms": 200, "priority": 1,
                        "service": service, "max-attempts": 2}
                       for host, port, kind, service in routes],
            "services": [{"name": name, "health-path": "/health"}
                         for name in services],
            "limits": {"idle-timeout-ms": idle_ms}})
        self.note(f"store: op/config version {version} acknowledged: " +
                  ", ".join(f"{r[0]}:{r[1]} -> {r[3]}" for r in routes))

    def spawn(self, work):
        self.tasks.append(asyncio.create_task(work))

    def end(self):
        for instance in self.instances:
            instance.end()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()


# The system's processes --------------------------------------------------------

class Instance:
    """One machine with its process, started as deploy/system.toml says."""

    def __init__(self, world, name, zone, ip):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.process = None
        self.ordered = False  # An end that the platform asked for.
        self.misses, self.rotating = 2, False
        self.disturbed_at = world.now()
        self.own_ends = 0
        world.instances.append(self)

    def fields(self, zones, seeds):
        world = self.world
        return {
            "node-name": self.name, "zone": self.zone, "region": "north",
            "ip": self.ip, "zones": {zone: "north" for zone in zones},
            "listen": {
                "datagram-addr": f"{self.ip}:{world.packet_port}",
                "ready": f"{self.ip}:{world.ready_port}",
                "control": f"{self.ip}:{world.control_port}"},
            "internal-ports": [world.peer_port, world.metrics_port],
            "seeds": [f"{seed}:{world.control_port}" for seed in seeds],
            "platform": {"address": world.store_address},
            "bounds": {"contact-ms": 4000, "drain-ms": 3000, "grace-s": 6,
                       "apply-ms": 3000, "max-flow-s": 60}}

    def start(self):
        world = self.world
        zones = sorted({one.zone for one in world.instances})
        seeds = [next(one.ip for one in world.instances if one.zone == zone)
                 for zone in zones][:3]
        template = (ROOT / "deploy/front.settings.json").read_text()
        path = world.folder / f"{self.name}.json"
        path.write_text(fill(template, self.fields(zones, seeds)))
        with open(world.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["target/source/app/sassafrasdyke", "front", "--settings",
                 str(path)], cwd=ROOT, stdout=log, stderr=log)
        self.ordered = False
        self.disturbed_at = world.now()
        world.note(f"platform: {self.name} started")

    def running(self):
        return self.process is not None and self.process.poll() is None

    def calm(self):
        return (self.running() and not self.ordered and
                self.world.now() - self.disturbed_at > CONTACT)

    async def watch(self):
        """What the platform does: asks for readiness twice a second, and
        starts a process again that has ended by itself."""
        while True:
            if not self.ordered and self.process is not None and \
                    self.process.poll() is not None:
                self.on_own_end()
                await asyncio.sleep(0.5)
                self.start()
            good = await asyncio.to_thread(self.ask)
            self.misses = 0 if good else self.misses + 1
            before = self.rotating
            self.rotating = good or (self.rotating and self.misses < 2)
            if before != self.rotating:
                self.world.note(f"routers: {self.name} is " +
                                ("in" if self.rotating else "out of") +
                                " rotation")
            await asyncio.sleep(0.5)

    def on_own_end(self):
        self.own_ends += 1
        log = (self.world.folder / f"{self.name}.log").read_text(
            errors="replace").splitlines()
        last = [line for line in log if not line.startswith("{")][-2:]
        self.world.note(f"platform: {self.name} ended by itself with "
                        f"{self.process.returncode}; it wrote: "
                        f"{' / '.join(last)}")

    def ask(self):
        try:
            url = f"http://{self.ip}:{self.world.ready_port}/sassafrasdyke/ready"
            with urllib.request.urlopen(url, timeout=0.4) as answer:
                return answer.status == 200
        except OSError:
            return False

    async def roll(self):
        """SIGTERM, SIGKILL after the grace, and a new start."""
        self.ordered = True
        self.world.note(f"platform: SIGTERM to {self.name}")
        os.kill(self.process.pid, signal.SIGTERM)
        end = self.world.now() + GRACE
        while self.running() and self.world.now() < end:
            await asyncio.sleep(0.05)
        if self.running():
            self.process.kill()
        self.process.wait()
        self.world.note(f"platform: {self.name} has stopped")
        await asyncio.sleep(0.3)
        self.start()

    def end(self):
        self.ordered = True
        if self.running():
            self.process.kill()
            self.process.wait()


def route_packet(world, zone, packet):
    """The routers' steady hash over the nodes of the zone in rotation."""
    own = [one for one in world.instances if one.zone == zone]
    ready = [one for one in own if one.rotating]
    nodes = own if 2 * len(ready) < len(own) and ready else ready
    nodes = nodes or [one for one in world.instances if one.rotating] or own
    key = f"{packet.src}:{packet.sport}>{packet.dst}:{packet.dport}"
    return max(nodes, key=lambda one: zlib.crc32(f"{one.name} {key}".encode()))


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, take):
        self.take = take

    def datagram_received(self, data, addr):
        self.take(data)


async def open_datagrams(address, take):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Datagrams(take), local_addr=address)
    return transport


# Targets ------------------------------------------------------------------------

class Target:
    """One incarnation of a target; it beats to the store while it lives."""

    def __init__(self, world, name, service, zone, host, port, work=0.02):
        self.world, self.name, self.service = world, name, service
        self.zone, self.host, self.port, self.work = zone, host, port, work
        self.number = int("".join(c for c in name
                                  if c in "0123456789abcdef"), 16)
        self.alive, self.state, self.sequence = False, "ready", 0
        self.born = int(time.time() * 1000)
        # (client, port) -> [own seq, echo, client's next seq, whether it is
        # open, own first seq]
        self.flows = {}
        self.full = False  # No room for more flows: SYNs get no answer.
        self.lost_until = 0.0  # See `beat`.
        self.ran = []
        self.last_beat = None
        world.targets.append(self)

    def entry(self):
        return {"service": self.service, "address": f"{self.host}:{self.port}",
                "zone": self.zone, "version": "v1", "max-concurrency": 2,
                "state": self.state, "warmup-left-ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def start(self):
        self.udp = await open_datagrams((self.host, self.port), self.on_datagram)
        self.tcp = await asyncio.start_server(
            lambda reader, writer: writer.close(), self.host, self.port)
        self.alive = True
        self.world.note(f"target {self.name} of {self.service} starts at "
                        f"{self.host}:{self.port}")
        self.world.spawn(self.beats())

    async def beats(self):
        while self.alive:
            self.beat()
            await asyncio.sleep(HEARTBEAT)

    def beat(self):
        self.sequence += 1
        write(self.world, self.name, self.entry())

    def report(self, state):
        self.state = state
        self.beat()
        self.world.note(f"target {self.name} reports {state}; acknowledged")

    def end(self, why):
        """The process ends: nobody answers here any more."""
        self.alive = False
        self.flows.clear()
        self.udp.close()
        self.tcp.close()
        self.world.note(f"target {self.name} ends: {why}")

    def on_datagram(self, data):
        decoded = wire.decode(data[8:])
        intended = int.from_bytes(data[:8], "big")
        if not self.alive or decoded is None or \
                intended not in (0, self.number):
            return
        packet, genuine, is_reset = decoded
        if not genuine or is_reset:
            self.world.break_rule("UNASKED", f"{self.name} got a changed packet")
            return
        key = (packet.src, packet.sport)
        if packet.flags & wire.SYN:
            if key not in self.flows and self.full:
                return
            if key not in self.flows:
                first = self.world.random.randint(1, MASK)
                self.flows[key] = [first, packet.echo, (packet.seq + 1) & MASK,
                                   False, first]
                self.world.note(f"target {self.name} takes the opening packet "
                                f"{packet.src}:{packet.sport}, copy "
                                f"{packet.ack}")
            self.flows[key][1] = packet.echo
            self.reply(packet, wire.SYN | wire.ACK, b"")
            return
        flow = self.flows.get(key)
        if flow is None:
            self.reply(packet, wire.RST, b"")
            return
        if packet.flags & wire.RST:
            self.flows.pop(key, None)
            return
        flow[1] = packet.echo
        # Open once a packet acknowledges this target's own SYN+ACK.
        if not flow[3] and packet.ack != (flow[4] + 1) & MASK:
            self.reply(packet, wire.RST, b"")
            self.flows.pop(key)
            return
        flow[3] = True
        if packet.data and packet.seq == flow[2]:
            flow[2] = (packet.seq + len(packet.data)) & MASK
            self.run(packet)
        elif packet.data:
            self.reply(packet, wire.ACK, b"")
        if packet.flags & wire.FIN:
            self.flows.pop(key, None)

    def run(self, packet):
        request = packet.data.decode()
        self.ran.append(request)
        self.world.note(f"target {self.name} runs {request}")
        asyncio.get_running_loop().call_later(
            self.work, self.reply, packet, wire.ACK,
            f"{request} by {self.name}".encode())

    def reply(self, packet, flags, data):
        if not self.alive:
            return
        key = (packet.src, packet.sport)
        flow = self.flows.get(key, [0, packet.echo, 0, False, 0])
        seq = flow[0] if flags & wire.SYN else (flow[0] + 1) & MASK
        answer = wire.Packet(flags, packet.dst, packet.dport, packet.src,
                             packet.sport, flow[1], seq, flow[2], data)
        if data:
            flow[0] = (flow[0] + len(data)) & MASK
        self.udp.sendto(answer.encode(), (packet.src, self.world.packet_port))


def write(world, name, entry):
    """A target's write to the store. An entry changes when more than
    `sequence` changes."""
    key = "servers/" + name
    known = getattr(world, "entries", None)
    if known is None:
        known = world.entries = {}
    kept = {field: entry[field] for field in entry if field != "sequence"}
    world.beaten = getattr(world, "beaten", {})
    world.beaten[key] = world.now()
    if known.get(key) != kept or key not in world.store.items:
        known[key] = kept
        world.store.put(key, entry)
        world.note(f"store: {key} written: {entry['service']} at "
                   f"{entry['address']}, {entry['state']}, revision "
                   f"{world.store.revision}")


def remove(world, name):
    key = "servers/" + name
    if key in world.store.items:
        world.store.remove(key)
        world.note(f"store: {key} removed, revision {world.store.revision}")


async def expire(world):
    """Entries go after three heartbeat intervals of silence."""
    while True:
        for key in [key for key in world.store.items
                    if key.startswith("servers/")]:
            if world.now() - world.beaten.get(key, 0) > 3 * HEARTBEAT:
                remove(world, key[len("servers/"):])
        await asyncio.sleep(0.05)


# Clients ------------------------------------------------------------------------

class Flow:
    def __init__(self, client, port, route):
        self.client, self.port, self.route = client, port, route
        self.seq = client.world.random.randint(1, MASK)
        self.ack, self.echo = 0, 0
        self.open, self.reset = False, None
        self.opened_seq = None  # Of the target that the flow is open at.
        self.by = None  # The name of the target that answers.
        self.opened_at = 0.0
        self.through = None
        self.waiting = None
        self.expected = None


class Client:
    def __init__(self, world, host, zone):
        self.world, self.host, self.zone = world, host, zone
        self.flows, self.next_port = {}, 1024
        world.clients.append(self)

    async def start(self):
        self.udp = await open_datagrams((self.host, self.world.packet_port),
                                        self.on_datagram)

    def send(self, flow, flags, data=b"", copy=None):
        packet = wire.Packet(flags, self.host, flow.port, *flow.route,
                             0 if flags & wire.SYN else flow.echo, flow.seq,
                             flow.ack if copy is None else copy, data)
        instance = route_packet(self.world, self.zone, packet)
        flow.through = instance
        self.udp.sendto(packet.encode(), (instance.ip, self.world.packet_port))

    def on_datagram(self, data):
        decoded = wire.decode(data)
        if decoded is None:
            return
        packet, genuine, is_reset = decoded
        flow = self.flows.get(packet.dport)
        if flow is None or (packet.src, packet.sport) != flow.route:
            return
        if not genuine and not is_reset:
            self.world.break_rule("MIXED", f"{self.host} got a changed packet")
            return
        if packet.flags & wire.RST:
            distance = (packet.seq - flow.ack) & MASK
            near = min(distance, MASK + 1 - distance) <= RESET_RANGE
            if is_reset and flow.open and not near:
                return
            flow.reset = "the system" if is_reset else "a target"
            self.finish(flow, None)
            self.on_reset(flow)
            return
        if packet.flags & wire.SYN:
            if flow.open:
                return  # A repeated or a second answer.
            flow.open, flow.opened_at = True, self.world.now()
            flow.echo, flow.ack = packet.echo, (packet.seq + 1) & MASK
            flow.opened_seq = packet.seq
            flow.seq = (flow.seq + 1) & MASK
            self.finish(flow, packet)
            return
        flow.echo = packet.echo
        if packet.data and packet.seq == flow.ack:
            flow.ack = (flow.ack + len(packet.data)) & MASK
            self.send(flow, wire.ACK)
            self.finish(flow, packet)

    def on_reset(self, flow):
        """A case may look at resets of open flows."""

    @staticmethod
    def finish(flow, packet):
        if flow.waiting is not None and not flow.waiting.done():
            flow.waiting.set_result(packet)

    async def open(self, route):
        """Returns an open flow, or None."""
        self.next_port += 1
        flow = self.flows[self.next_port] = Flow(self, self.next_port, route)
        flow.waiting = asyncio.get_running_loop().create_future()
        for copy, pause in enumerate(SYN_TIMES):
            self.send(flow, wire.SYN, copy=copy)
            done, _ = await asyncio.wait([flow.waiting], timeout=pause)
            if done:
                break
        if not flow.open:
            self.flows.pop(flow.port)
            why = f"reset by {flow.reset}" if flow.reset else "no answer"
            self.world.note(f"client {self.host}:{flow.port} opens no flow to "
                            f"{route[0]}:{route[1]}: {why}")
            return None
        self.send(flow, wire.ACK)
        return flow

    async def request(self, flow, name, deadline=2.5):
        """Returns the name of the target that answered, or None."""
        flow.waiting = asyncio.get_running_loop().create_future()
        data = name.encode()
        end = self.world.now() + deadline
        self.world.note(f"client {self.host}:{flow.port} sends {name}")
        for pause in (*REPEATS, deadline):
            left = min(pause, end - self.world.now())
            if left <= 0 or flow.reset:
                break
            self.send(flow, wire.ACK, data)
            done, _ = await asyncio.wait([flow.waiting], timeout=left)
            if done:
                break
        answer = flow.waiting.result() if flow.waiting.done() else None
        flow.seq = (flow.seq + len(data)) & MASK
        if answer is None:
            self.flows.pop(flow.port, None)
            why = f"reset by {flow.reset}" if flow.reset else "no answer"
            self.world.note(f"client {self.host}:{flow.port} request {name} "
                            f"fails: {why}")
            return None
        got, _, by = answer.data.decode().partition(" by ")
        if got != name:
            self.world.break_rule("MIXED", f"{name} got the answer of {got}")
        flow.by = by
        self.world.note(f"client {self.host}:{flow.port} gets the answer to "
                        f"{name} by {by}")
        return by

    def close(self, flow):
        if self.flows.pop(flow.port, None):
            self.send(flow, wire.FIN | wire.ACK)


def finish(world, status):
    """Ends all that the case has started, and this process."""
    world.note(f"end: {len(world.broken)} broken, exit status {status}")
    world.end()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


async def run_case(case, world):
    try:
        await case(world)
    except Exception as error:  # The case itself has failed.
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        world.note(f"the case couldn't run: {error!r}")
        finish(world, 2)
    for rule, what in world.broken[:5]:
        print(f"{rule}: {what}")
    print("broken" if world.broken else "held")
    finish(world, 1 if world.broken else 0)


def run(case, record):
    """Runs a case, writes to the file `record` what was sent, answered and run,
    and exits with the status that the issue asks for."""
    if not (ROOT / "target/source/app/sassafrasdyke").exists():
        print("the program isn't built", file=sys.stderr)
        sys.exit(2)
    world = World(record)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: finish(world, 2))
    asyncio.run(run_case(case, world))
