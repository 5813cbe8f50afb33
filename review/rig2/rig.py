"""Stand-ins for the scripts of the second review: the platform's store, its
operator and routers, targets, clients, and the starter of the instances.

They speak what ../given's SYSTEM, PROTOCOL and DEPLOY pages say and do only what
these allow. Every address is a loopback address.
"""

import asyncio
import base64
import hashlib
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse
import zlib

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = REPOSITORY / "target/source/app/sassafrasdyke"

SYN, ACK, FIN, RST = 64, 32, 8, 2
HEAD = struct.Struct(">BB4s4sHHIHIII")
KEY = b"known to the two ends only"


def now():
    return time.monotonic()


# --- packets -----------------------------------------------------------------

class Packet:
    def __init__(self, flags, src, dst, echo=0, seq=0, ack=0, data=b""):
        self.flags, self.src, self.dst = flags, src, dst
        self.echo, self.seq, self.ack, self.data = echo, seq, ack, data
        self.genuine, self.own_reset = True, False

    def sum(self):
        text = repr((self.flags, self.src, self.dst, self.seq, self.ack,
                     self.data)).encode()
        digest = hashlib.blake2b(text, key=KEY, digest_size=4).digest()
        return int.from_bytes(digest, "big") or 1

    def encode(self):
        return HEAD.pack(self.flags, 0, socket.inet_aton(self.src[0]),
                         socket.inet_aton(self.dst[0]), self.src[1],
                         self.dst[1], self.sum(), len(self.data), self.echo,
                         self.seq, self.ack) + self.data


def decode(data):
    if len(data) < HEAD.size:
        return None
    (flags, _, src, dst, sport, dport, total, length, echo, seq,
     ack) = HEAD.unpack_from(data)
    body = data[HEAD.size:]
    if length != len(body):
        return None
    packet = Packet(flags, (socket.inet_ntoa(src), sport),
                    (socket.inet_ntoa(dst), dport), echo, seq, ack, body)
    packet.genuine = total == packet.sum()
    packet.own_reset = flags == RST and total == 0 and not body
    return packet


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, take):
        self.take = take

    def datagram_received(self, data, address):
        self.take(data)


async def open_datagrams(address, take):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Datagrams(take), local_addr=address)
    return transport


# --- the store ---------------------------------------------------------------

class Store:
    """The platform's store with its operator's side, `put` and `remove`."""

    def __init__(self, world, history_s):
        self.world, self.history_s = world, history_s
        self.revision = 1
        self.items, self.events = {}, []
        self.dropped = 1
        self.changed = asyncio.Event()
        self.calls, self.largest_watch = 0, 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        """Returns the length of the value; the return is the acknowledgement."""
        body = json.dumps(value, separators=(",", ":")).encode()
        assert len(body) <= 1048576  # platform.value-bytes
        self.revision += 1
        created = self.items[key][0] if key in self.items else self.revision
        text = json.dumps({"key": key, "value": base64.b64encode(body).decode(),
                           "revision": self.revision, "create-rev": created,
                           "lease": 0}, separators=(",", ":"))
        self.items[key] = (created, text)
        self._note(text)
        return len(body)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(json.dumps({"key": key, "revision": self.revision,
                                   "tombstone": True}, separators=(",", ":")))

    def _note(self, text):
        self.events.append((self.revision, now(), text))
        self.changed.set()
        self.changed = asyncio.Event()

    def _forget(self):
        """`history-s`: older events are no longer available."""
        oldest = now() - self.history_s
        while self.events and self.events[0][1] < oldest:
            self.dropped = self.events.pop(0)[0]

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items
                      if k.startswith(prefix) and k > after)
        page, size = [], 0
        for key in keys:  # At most about 500 items or 1 MB.
            text = self.items[key][1]
            if page and (len(page) == 500 or size + len(text) > 1000000):
                break
            page.append(text)
            size += len(text)
        more = "true" if len(page) < len(keys) else "false"
        return 200, '{"items":[%s],"has-more":%s,"store-revision":%d}' % (
            ",".join(page), more, self.revision)

    async def _watch(self, query):
        after = int(query["after"])
        wait = min(int(query["wait-ms"]), 30000) / 1000
        self._forget()
        if after >= self.dropped and after >= self.revision:
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        self._forget()
        if after < self.dropped:
            return 410, "{}"
        prefix = query.get("prefix", "")
        events = [e[2] for e in self.events if e[0] > after and
                  e[2].startswith('{"key":"' + prefix)]
        text = '{"events":[%s],"store-revision":%d}' % (",".join(events),
                                                        self.revision)
        if events and len(text) > self.largest_watch:
            self.largest_watch = len(text)
            if len(text) > 1000000:
                self.world.note("store", "answers a watch after revision %d "
                                "with %d events, %d bytes" %
                                (after, len(events), len(text)))
        return 200, text

    async def serve(self, reader, writer):
        try:
            while line := await reader.readline():
                url = urllib.parse.urlsplit(line.split()[1].decode())
                while (await reader.readline()).strip():
                    pass
                query = dict(urllib.parse.parse_qsl(url.query))
                self.calls += 1
                await asyncio.sleep(0.004)
                if url.path.endswith("/kv-range"):
                    status, text = self._range(query)
                elif url.path.endswith("/kv-watch"):
                    status, text = await self._watch(query)
                else:
                    status, text = 404, "{}"
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n" %
                             (status, len(text)) + text.encode())
                await writer.drain()
        except (ConnectionError, IndexError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# --- targets -----------------------------------------------------------------

class Target:
    """One start of a target; registers itself and serves until it ends."""

    def __init__(self, world, ident, service, zone, address):
        self.world, self.ident, self.service = world, ident, service
        self.zone, self.address = zone, address
        self.number = int("".join(c for c in ident if c in "0123456789abcdef"),
                          16)
        self.flows = {}  # (address, port) of the client -> Flow's state
        self.alive, self.state = False, "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.first_seq = int.from_bytes(os.urandom(4), "big")

    async def start(self):
        self.udp = await open_datagrams(self.address, self.take)
        self.tcp = await asyncio.start_server(self.health, *self.address)
        self.alive = True
        self.publish()

    def publish(self):
        self.sequence += 1
        self.world.store.put("servers/" + self.ident, {
            "service": self.service, "address": "%s:%d" % self.address,
            "zone": self.zone, "version": "v1", "max-concurrency": 2,
            "state": self.state, "warmup-left-ms": 0,
            "sequence": self.sequence, "born": self.born})

    async def health(self, reader, writer):
        try:
            if await reader.readline():
                code = b"200 OK" if self.state == "ready" else b"503 X"
                writer.write(b"HTTP/1.1 " + code +
                             b"\r\nContent-Length: 0\r\n\r\n")
        except ConnectionError:
            pass
        writer.close()

    def leave(self):
        """Reports `draining`; keeps its flows, closes each after a response."""
        self.state = "draining"
        self.publish()

    def end(self):
        """Has left: the entry is removed, nothing listens any more."""
        self.alive = False
        self.udp.close()
        self.tcp.close()
        self.world.store.remove("servers/" + self.ident)

    def take(self, data):
        if not self.alive:
            return
        intended = int.from_bytes(data[:8], "big")
        packet = decode(data[8:])
        if packet is None or intended not in (0, self.number):
            return
        if not packet.genuine:
            self.world.note(self.ident, "got a changed packet")
            return
        flow = self.flows.get(packet.src)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[packet.src] = {"echo": 0, "run": {},
                                                 "open": False}
            flow["echo"] = packet.echo
            self.send(packet, SYN | ACK, b"")
        elif flow is None or packet.ack < self.first_seq:
            self.world.note(self.ident, "resets %s:%d, a flow that it does "
                            "not hold" % packet.src)
            self.send(packet, RST, b"")
        elif packet.flags & (FIN | RST):
            self.flows.pop(packet.src)
            if packet.flags & FIN:
                self.send(packet, ACK | FIN, b"")
        else:
            flow["echo"], flow["open"] = packet.echo, True
            if packet.data:
                self.run(flow, packet)

    def run(self, flow, packet):
        request = packet.data.decode()
        if request not in flow["run"]:
            flow["run"][request] = now()
            self.world.note_run(request, self, packet)
            asyncio.get_running_loop().call_later(
                0.02, self.respond, packet,
                ("%s %s" % (request, self.ident)).encode())
        elif now() - flow["run"][request] > 0.02:  # A repeat; the answer again.
            self.respond(packet, ("%s %s" % (request, self.ident)).encode())

    def respond(self, packet, data):
        """The response; a target that is draining closes the flow after it."""
        self.send(packet, ACK, data)
        if self.state == "draining":
            self.send(packet, FIN | ACK, b"")

    def send(self, packet, flags, data):
        if not self.alive:
            return
        flow = self.flows.get(packet.src)
        echo = flow["echo"] if flow else packet.echo
        seq = self.first_seq if flags & SYN else self.first_seq + 1
        answer = Packet(flags, packet.dst, packet.src, echo, seq,
                        packet.seq + max(1, len(packet.data)), data)
        self.udp.sendto(answer.encode(),
                        (packet.src[0], self.world.packet_port))


# --- clients -----------------------------------------------------------------

class Flow:
    def __init__(self, client, port, route):
        self.client, self.port, self.route = client, port, route
        self.echo, self.seq, self.ack = 0, 1000, 0
        self.opened, self.ended_by = False, None
        self.closing = False  # The target has closed it.
        self.target = None  # The id of the target that answered last.
        self.waiting = None

    @property
    def name(self):
        return "%s:%d" % (self.client.address, self.port)

    def packet(self, flags, data=b""):
        return Packet(flags, (self.client.address, self.port), self.route,
                      self.echo, self.seq, self.ack, data)


class Client:
    """Opens flows and sends requests on them, one at a time on a flow."""

    def __init__(self, world, address):
        self.world, self.address = world, address
        self.flows, self.last_port = {}, 20000

    async def start(self):
        self.udp = await open_datagrams((self.address, self.world.packet_port),
                                        self.take)

    def take(self, data):
        packet = decode(data)
        flow = self.flows.get(packet.dst[1]) if packet else None
        if flow is None or packet.src != flow.route:
            return
        if packet.own_reset:
            near = (packet.seq - flow.ack + 76800) % (1 << 32) <= 2 * 76800
            if flow.opened and not near:
                return
            self.finish(flow, "reset by the system")
        elif not packet.genuine:
            self.world.note(flow.name, "got a changed packet")
        elif packet.flags & RST:
            self.finish(flow, "reset by the target")
        elif packet.flags & SYN:
            if not flow.opened:
                flow.opened, flow.echo = True, packet.echo
                flow.ack = packet.seq + 1
                self.answer(flow, packet)
        else:
            flow.echo = packet.echo
            if packet.data:
                self.answer(flow, packet)
            if packet.flags & FIN:
                flow.closing = True

    def finish(self, flow, why):
        flow.ended_by = why
        self.flows.pop(flow.port, None)
        self.answer(flow, None)

    @staticmethod
    def answer(flow, packet):
        if flow.waiting is not None and not flow.waiting.done():
            flow.waiting.set_result(packet)

    async def send_until(self, flow, flags, data, route_by, pauses):
        """Sends copies until an answer comes; None when there is none."""
        flow.waiting = asyncio.get_running_loop().create_future()
        for copy, pause in enumerate(pauses):
            packet = flow.packet(flags, data)
            if flags & SYN:
                packet.ack = copy
            node = route_by(packet)
            if node is not None:
                node.deliver(self.udp, packet)
            done, _ = await asyncio.wait([flow.waiting], timeout=pause)
            if done:
                return flow.waiting.result()
        return None

    async def open(self, route, route_by):
        """Returns the flow, opened or not."""
        self.last_port += 1
        flow = Flow(self, self.last_port, route)
        self.flows[flow.port] = flow
        await self.send_until(flow, SYN, b"", route_by, (0.2, 0.4, 0.8))
        if flow.opened:
            node = route_by(flow.packet(ACK))
            if node is not None:
                node.deliver(self.udp, flow.packet(ACK))
        elif flow.ended_by is None:
            self.finish(flow, "no answer to the SYN")
        return flow

    async def request(self, flow, name, route_by):
        """Returns the target's id, or None."""
        if flow.ended_by is not None:
            return None
        data = name.encode()
        self.world.note(flow.name, "sends " + name.rpartition("/")[2])
        answer = await self.send_until(flow, ACK, data, route_by,
                                       (0.2, 0.4, 0.8, 0.6))
        flow.seq += len(data)
        if answer is None:
            if flow.ended_by is None:
                flow.ended_by = "no answer to the request"
            self.world.note(flow.name, flow.ended_by)
            return None
        node = route_by(flow.packet(ACK))
        if node is not None:
            node.deliver(self.udp, flow.packet(ACK))
        flow.target = answer.data.decode().partition(" ")[2]
        self.world.note(flow.name, "is answered by " + flow.target)
        return flow.target

    def close(self, flow, route_by):
        if self.flows.pop(flow.port, None) is not None:
            node = route_by(flow.packet(FIN | ACK))
            if node is not None:
                node.deliver(self.udp, flow.packet(FIN | ACK))


# --- instances and routers ---------------------------------------------------

class Node:
    """One machine of the system, with one process of the deploy file."""

    def __init__(self, world, name, zone, ip):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.process, self.rotating, self.misses = None, False, 2
        self.started_at = self.stopped_at = 0.0

    def deliver(self, udp, packet):
        udp.sendto(packet.encode(), (self.ip, self.world.packet_port))

    def start(self):
        world = self.world
        path = world.folder / (self.name + ".json")
        path.write_text(json.dumps({
            "instance": self.name, "domain": self.zone, "region": "region",
            "regions": {zone: "region" for zone in world.zones},
            "listen": {"packets": "%s:%d" % (self.ip, world.packet_port),
                       "readiness": "%s:%d" % (self.ip, world.ready_port),
                       "peers": "%s:%d" % (self.ip, world.peer_port),
                       "metrics": "%s:%d" % (self.ip, world.metrics_port)},
            "store": world.store.address,
            "seeds": ["%s:1" % node.ip for node in world.nodes[:3]],
            "times": world.times,
            "load": {"share_load": True, "locality": "proportional",
                     "eject_targets": True, "fair_admission": True}}))
        log = open(world.folder / (self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [str(PROGRAM), "front", "--settings", str(path)], stdout=log,
            stderr=subprocess.STDOUT, cwd=REPOSITORY)
        log.close()
        self.started_at = now()

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    async def terminate(self):
        """SIGTERM, and SIGKILL after `grace-s`."""
        self.world.note(self.name, "SIGTERM")
        self.stopped_at = now()
        self.signal(signal.SIGTERM)
        end = now() + 6
        while self.process.poll() is None and now() < end:
            await asyncio.sleep(0.05)
        self.end()

    def end(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    async def check_ready(self):
        good = await self.ask()
        self.misses = 0 if good else self.misses + 1
        before = self.rotating
        self.rotating = good or (self.rotating and self.misses < 2)
        if before != self.rotating:
            self.world.note("routers", "%s is %s rotation" % (
                self.name, "in" if self.rotating else "out of"))

    async def ask(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.ip, self.world.ready_port), 0.4)
            writer.write(b"GET /sassafrasdyke/ready HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class World:
    """Everything around the instances, and the record of what happened."""

    def __init__(self, record, zones, times, history_s=20):
        self.zones, self.times = zones, times
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(record, "w")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(
            os.environ.get("KEEP_LOGS", self.temporary.name))
        self.folder.mkdir(parents=True, exist_ok=True)
        self.began = now()
        (self.packet_port, self.ready_port, self.peer_port,
         self.metrics_port, self.target_port) = free_ports(5)
        # So that several cases may run at the same time.
        self.network = 16 + os.getpid() % 200
        self.store = Store(self, history_s)
        self.nodes, self.targets, self.runs = [], [], {}
        self.hash_scheme = "steady"
        self.note("case", "TROUBLE=%d" % self.trouble)

    def ip(self, kind, group, number):
        return "127.%d.%d.%d" % (self.network, 10 * kind + group, number)

    def note(self, who, what):
        self.record.write("%8.3f  %-10s %s\n" % (now() - self.began, who, what))

    def note_run(self, request, target, packet):
        self.runs.setdefault(request, []).append(target)
        self.note(target.ident, "runs %s, sent to %s:%d" %
                  ((request,) + packet.dst))

    def add_node(self, name, zone, ip):
        self.nodes.append(Node(self, name, zone, ip))
        return self.nodes[-1]

    async def watch_nodes(self):
        """What the routers do twice a second, until cancelled."""
        while True:
            started = now()
            await asyncio.gather(*(node.check_ready() for node in self.nodes
                                   if node.process is not None))
            await asyncio.sleep(max(0.0, 0.5 - (now() - started)))

    def router(self, zone):
        """The choice of a node for a packet of a client in the zone."""
        def choose(packet):
            nodes = [n for n in self.nodes if n.zone == zone and n.rotating]
            key = zlib.crc32(repr((packet.src, packet.dst)).encode())
            if not nodes:
                return None
            if self.hash_scheme == "mod":
                return nodes[key % len(nodes)]
            return max(nodes, key=lambda node: zlib.crc32(
                b"%d %s" % (key, node.name.encode())))
        return choose

    async def wait_ready(self, nodes, limit=10):
        end = now() + limit
        while not all(node.rotating for node in nodes):
            if now() > end:
                raise CannotRun("the instances don't become ready")
            await asyncio.sleep(0.05)

    def holds_open(self, flow):
        """Whether a target that lives has had the end of the handshake."""
        key = (flow.client.address, flow.port)
        return any(target.alive and target.flows.get(key, {}).get("open")
                   for target in self.targets)

    def check_processes(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is not None \
                    and not node.stopped_at:
                raise CannotRun(node.name + " ended by itself")

    def close(self):
        for node in self.nodes:
            node.end()
        self.record.close()
        self.temporary.cleanup()


class CannotRun(Exception):
    """The case can't be run here."""


def free_ports(count):
    """Ports that are free for UDP and TCP."""
    ports = []
    while len(ports) < count:
        with socket.socket() as tcp, \
                socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            if port not in ports:
                ports.append(port)
    return ports


def fixed(address):
    """The node's address as a choice, for flows sent directly to a node."""
    return lambda packet: address


def main(play, record, **options):
    """Plays a case: exits with 1 if the rule was broken, 0 if it held, 2 if
    the case couldn't run."""
    world = World(record, **options)
    code = 2
    try:
        if not PROGRAM.exists():
            raise CannotRun("the program isn't built: " + PROGRAM.name)
        broken = asyncio.run(asyncio.wait_for(play(world), 117))
        code = 1 if broken else 0
        world.note("verdict", "the rule was broken: %d times" % broken
                   if broken else "the rule held")
    except asyncio.TimeoutError:
        world.note("verdict", "could not run: too long")
    except Exception as error:  # Whatever goes wrong here is no broken rule.
        world.note("verdict", "could not run: %r" % error)
    finally:
        world.close()
    os._exit(code)  # Everything is closed; the loop's tasks needn't end.
