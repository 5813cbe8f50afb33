"""Clients, routers and targets: what the system under test stands between."""

import asyncio
import dataclasses
import random
import time
import zlib

from soak import wire

PACKET_PORT = 18172
# What a failing target does with part of its requests.
FAILURES = ("slow", "hang", "reject", "reset")
SLOWDOWN = 20
REJECTED = "rejected"  # In place of the target's name: it has not run.
REPEATS = (0.2, 0.4, 0.8, 1.6)  # Seconds between copies of a packet.
DEADLINE = 2.0


def now():
    return asyncio.get_running_loop().time()


class Datagrams(asyncio.DatagramProtocol):
    """Hands datagrams to a function."""

    def __init__(self, take):
        self.take = take

    def datagram_received(self, data, addr):
        self.take(data)


async def open_datagrams(address, take):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Datagrams(take), local_addr=address)
    return transport


class Target:
    """One upstream target: answers SYNs, runs requests, ends."""

    def __init__(self, world, name, service, domain, address):
        self.world, self.name, self.service = world, name, service
        self.domain, self.address = domain, address
        self.number = int("".join(c for c in name if c in "0123456789abcdef"),
                          16)
        self.flows = {}  # (client, port) -> the word last received
        self.seq = random.Random(name).randint(1, 1 << 31)
        self.alive, self.draining = False, False
        self.left_at = None  # When its leaving was published.
        self.ended_at = None
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.hidden_until = 0.0  # The store doesn't hear it.
        self.failure, self.part = None, 0.0  # One of FAILURES, of what part.
        self.running = set()  # Requests.
        self.dropped = set()  # Flows that it has reset.

    async def start(self):
        host, port = self.address.split(":")
        self.udp = await open_datagrams((host, int(port)), self.on_datagram)
        self.tcp = await asyncio.start_server(
            lambda reader, writer: writer.close(), host, int(port))
        self.alive = True
        self.publish()

    def publish(self):
        self.sequence += 1
        self.world.store.put("servers/" + self.name, {
            "service": self.service, "address": self.address,
            "zone": self.domain, "version": "v1", "max-concurrency": 2,
            "state": "draining" if self.draining else "ready",
            "warmup-left-ms": 0, "sequence": self.sequence,
            "born": self.born})

    def end(self):
        """The process ends: nobody answers at the address any more."""
        self.alive = False
        self.ended_at = now()
        self.flows.clear()
        self.udp.close()
        self.tcp.close()

    def on_datagram(self, data):
        if not self.alive:
            return
        intended = int.from_bytes(data[:8], "big")
        decoded = wire.decode(data[8:])
        if intended not in (0, self.number) or decoded is None:
            return
        packet, genuine, is_reset = decoded
        if not genuine or is_reset:
            self.world.broken("unasked", f"{self.name} got a changed packet "
                              f"of {packet.src}:{packet.sport}")
            return
        flow = (packet.src, packet.sport)
        if packet.flags & wire.SYN:
            self.world.check_opening(self, packet)
            self.flows.setdefault(flow, packet.echo)
            self.flows[flow] = packet.echo
            self.reply(packet, wire.SYN | wire.ACK, b"")
        elif flow not in self.flows or packet.ack != self.seq + 1:
            # No such flow, or it was opened at another target.
            self.reply(packet, wire.RST, b"")
        elif packet.flags & (wire.FIN | wire.RST):
            self.flows.pop(flow)
        else:
            self.flows[flow] = packet.echo
            if packet.data:
                self.run(packet)

    def run(self, packet):
        request = packet.data.decode()
        if request in self.running:
            return
        choose = random.Random(request)
        work = choose.uniform(0.002, 0.03)
        failure = self.failure if choose.random() < self.part else None
        if failure == "reject":
            self.reply(packet, wire.ACK, f"{request} {REJECTED}".encode())
            return
        if failure == "reset":
            self.reply(packet, wire.RST, b"")
            flow = (packet.src, packet.sport)
            self.flows.pop(flow)
            self.dropped.add(flow)
            return
        # A repeated packet is answered again, and not run again.
        self.world.note_run(request, self)
        if failure == "hang":
            return
        self.running.add(request)
        asyncio.get_running_loop().call_later(
            work * (SLOWDOWN if failure == "slow" else 1), self.answer, request,
            packet)

    def answer(self, request, packet):
        self.running.discard(request)
        self.reply(packet, wire.ACK, f"{request} {self.name}".encode())

    def reply(self, packet, flags, data):
        if not self.alive:
            return
        echo = self.flows.get((packet.src, packet.sport), packet.echo)
        answer = wire.Packet(flags, packet.dst, packet.dport, packet.src,
                             packet.sport, echo, self.seq, packet.seq + 1, data)
        self.udp.sendto(answer.encode(), (packet.src, PACKET_PORT))


@dataclasses.dataclass
class Flow:
    """A client's flow, with what has come back on it."""

    port: int
    route: tuple
    echo: int = 0
    seq: int = 1
    peer_seq: int = 0  # Of the target that the flow is open at.
    target: str = ""  # The name of the target that the flow is open at.
    opened_at: float = 0.0
    waiting: asyncio.Future = None


class Client:
    """Keeps flows open, sends requests on them, opens others when they end."""

    def __init__(self, world, address, domain):
        self.world, self.address, self.domain = world, address, domain
        self.home = domain
        self.flows = {}
        self.last_port = 1024

    async def start(self):
        self.udp = await open_datagrams((self.address, PACKET_PORT),
                                        self.on_datagram)

    def on_datagram(self, data):
        decoded = wire.decode(data)
        if decoded is None:
            return
        packet, genuine, is_reset = decoded
        flow = self.flows.get(packet.dport)
        if not genuine and not is_reset:
            self.world.broken("mixed", f"{self.address} got a changed packet")
            return
        if flow is None:
            return
        if packet.flags & wire.RST:
            if is_reset and flow.target:
                self.world.check_reset(self, flow)
            elif flow.target:
                self.world.check_stray(self, flow, packet)
            self.flows.pop(flow.port, None)
            self.finish(flow, None)
            return
        flow.echo = packet.echo
        if packet.flags & wire.SYN:
            if flow.peer_seq:
                return  # A second target's answer, or a repeated one.
            flow.peer_seq = packet.seq
        self.finish(flow, packet)

    @staticmethod
    def finish(flow, packet):
        if flow.waiting is not None and not flow.waiting.done():
            flow.waiting.set_result(packet)

    async def exchange(self, flow, packet):
        """Sends a packet until an answer comes; None for none or a reset."""
        flow.waiting = asyncio.get_running_loop().create_future()
        end = now() + DEADLINE
        for pause in (*REPEATS, DEADLINE):
            packet.echo = 0 if packet.flags & wire.SYN else flow.echo
            self.world.route_packet(self, packet)
            left = min(pause, end - now())
            if left <= 0:
                return None
            done, _ = await asyncio.wait([flow.waiting], timeout=left)
            if done:
                return flow.waiting.result()
            if packet.flags & wire.SYN:
                packet.ack += 1
        return None

    def name_of(self, port, route):
        """A flow, as the instances' logs write it."""
        return f"{self.address}:{port}->{route[0]}:{route[1]}"

    def packet(self, flow, flags, data=b""):
        return wire.Packet(flags, self.address, flow.port, *flow.route,
                           flow.echo, flow.seq,
                           flow.peer_seq + 1 if flow.peer_seq else 0, data)

    async def open(self, route):
        self.last_port = self.last_port % 60000 + 1
        flow = Flow(self.last_port, route)
        self.flows[flow.port] = flow
        answer = await self.exchange(flow, self.packet(flow, wire.SYN))
        if answer is None:
            self.flows.pop(flow.port, None)
            return None
        flow.opened_at = now()
        return flow

    async def request(self, flow, name):
        """Returns True if the whole answer to this very request came."""
        flow.seq += 1
        answer = await self.exchange(
            flow, self.packet(flow, wire.ACK, name.encode()))
        if answer is None:
            self.abandon(flow)
            return False
        while answer is not None and not answer.data:
            flow.waiting = asyncio.get_running_loop().create_future()
            done, _ = await asyncio.wait([flow.waiting], timeout=DEADLINE)
            answer = flow.waiting.result() if done else None
        if answer is None:
            self.abandon(flow)
            return False
        got, _, target = answer.data.decode().partition(" ")
        if got != name:
            return await self.request_again(flow, name)
        if target == REJECTED:
            self.close(flow)
            return False
        if flow.target and flow.target != target:
            self.world.broken("flow", f"{self.address}:{flow.port} moved from "
                              f"{flow.target} to {target}")
        flow.target = target
        # Shows every instance on the way that the target lives.
        self.world.route_packet(self, self.packet(flow, wire.ACK))
        return True

    def abandon(self, flow):
        """Gives up on a flow whose request has no answer."""
        if self.flows.pop(flow.port, None) and self.world.load_faults:
            self.world.route_packet(self, self.packet(flow, wire.RST))

    def close(self, flow):
        self.world.route_packet(self, self.packet(flow, wire.FIN))
        self.flows.pop(flow.port, None)

    async def request_again(self, flow, name):
        """The answer to an earlier copy came first; wait for the own one."""
        flow.waiting = asyncio.get_running_loop().create_future()
        done, _ = await asyncio.wait([flow.waiting], timeout=DEADLINE)
        answer = flow.waiting.result() if done else None
        good = answer is not None and answer.data.decode().startswith(name)
        if not good:
            self.flows.pop(flow.port, None)
        return good

    async def run(self, seed):
        """Requests on long flows, until cancelled."""
        choose = random.Random(seed)
        flow, count = None, 0
        while True:
            await asyncio.sleep(choose.uniform(0.02, 0.12))
            if flow is None or flow.port not in self.flows:
                route = choose.choice(self.world.routes())
                flow = await self.open(route)
                if flow is None:
                    name = self.name_of(self.last_port, route)
                    self.world.note_outcome(name, None, False)
                    continue
            count += 1
            request = f"{self.address}/{count}"
            good = await self.request(flow, request)
            name = self.name_of(flow.port, flow.route)
            self.world.note_outcome(name, request, good)
            if good and choose.random() < 0.05:
                self.close(flow)


def pick(nodes, client, packet):
    """The router's steady hash over the nodes in rotation."""
    key = f"{packet.src}:{packet.sport}>{packet.dst}:{packet.dport}"
    return max(nodes, key=lambda node: zlib.crc32(f"{node}{key}".encode()),
               default=None)


