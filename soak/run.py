#!/usr/bin/env python3
"""A randomized soak of the real program as separate processes on loopback.

Everything follows from the seed but the machine's own timing: which instance,
store, target or connection fails when, for how long, and what overlaps; and
whether the instances' settings switch on decisions by shared load. While
it runs, clients and targets check what the system promises:

  route    a flow opens only at a target of a service that a configuration allows
  drain    no new flow at a target later than the bound, 3 or 6 s, after it was
           published as leaving
  config   a change is in force on every undisturbed instance within the bound
  flow     an open flow is neither reset nor moved while its target lives
  unasked  no target gets a packet that no client sent so
  mixed    no client gets an answer that isn't its own
  twice    no request runs at two targets
  exit     no instance ends by itself; none outlives its grace when stopped
  recover  after the last fault nearly every request is served again

Promises with a time bound are judged for instances that were undisturbed for
four seconds. When this program itself stood still for 0.3 s, it can't judge,
and counts all instances as disturbed; the report says how often.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from soak import fleet, store, world  # noqa: E402

BOUNDS = [3.0, 6.0]  # Seconds in which a change must be in force.
SLACK = 0.5
DOMAINS = ["north-a", "north-b", "north-c"]
SETTLE = 9.0  # Seconds without faults before the last judgement.
JUDGED = 4.0  # Seconds of the last judgement.
LANES = 60  # Each has four of the networks 127.0 to 127.239.
LANE_PORT = 7999  # Of the address by which a run holds its lane.
# Seeds of regressions.txt that failed before there were load faults; they play
# the faults of then.
BEFORE_LOAD = {77, 102, 103, 104, 315, 320, 2034, 8102}
SERVED = 0.97  # Share of requests that must be served in them.
HICCUP = 0.3


class World:
    """All stand-ins, the instances, and what was seen."""

    def __init__(self, options, folder):
        self.options, self.folder = options, folder
        self.random = random.Random(options.seed)
        # Load faults draw from their own numbers, so that a seed keeps the
        # others that it had before there were any.
        self.load_random = random.Random(f"{options.seed}/load")
        self.write_random = random.Random(f"{options.seed}/write")
        self.load_faults = options.seed not in BEFORE_LOAD
        # Drawn from its own numbers as well, for the same reason.
        self.bound = (random.Random(f"{options.seed}/bound").choice(BOUNDS)
                      if self.load_faults else BOUNDS[0])
        self.load_settings = self.draw_load_settings()
        self.store = store.Store()
        self.packet_port = world.PACKET_PORT
        self.instances, self.targets, self.clients = [], {}, []
        self.configurations = []  # (time, {route: [services]}), in order.
        self.version = 0
        self.faults = collections.Counter()
        self.found = []
        self.outcomes = []  # (time, served)
        self.store_busy = asyncio.Lock()
        self.runs = {}
        self.came_through = {}
        self.hiccups = 0
        self.last_target = 0
        self.free_addresses = []
        self.evacuated = {}  # Time of publication, by failure domain.

    def draw_load_settings(self):
        """The section `load` of the instances' settings, for even seeds."""
        choose = self.load_random
        if not self.load_faults or self.options.seed % 2:
            return {}
        return {"share_load": True,
                "locality": choose.choice(["headroom", "proportional"]),
                "eject_targets": choose.random() < 0.8,
                "fair_admission": choose.random() < 0.8}

    @staticmethod
    def now():
        return asyncio.get_running_loop().time()

    def address(self, kind, number):
        """A loopback address; runs on different lanes share none."""
        second = 4 * self.options.lane + kind
        return f"127.{second}.{number // 200}.{number % 200 + 1}"

    def broken(self, rule, what):
        line = f"{self.now() - self.started:.2f} s  {rule}: {what}"
        self.found.append(line)
        print("BROKEN", line, flush=True)

    # Configuration -------------------------------------------------------

    async def store_up(self):
        """Whoever writes to a store that is away tries until it is back."""
        while self.store.down:
            await asyncio.sleep(0.05)

    def configure(self, routes):
        self.version += self.random.randint(1, 4)
        self.configurations.append((self.now(), routes))
        self.store.put("op/config", {
            "version": self.version, "services": [], "limits": {},
            "routes": [{"name": f"r-{host}-{port}", "host": host,
                        "prefix": f"/{port}/", "type": "safe",
                        "traffic-split": [{"service": service, "weight": 1}
                                          for service in services]}
                       for (host, port), services in routes.items()]})

    def routes(self):
        return [route for route in self.configurations[-1][1]
                if route[0] == "198.18.0.1"]

    def allowed(self, route, since):
        """Services that a configuration in force after `since` allows."""
        services = set()
        for i, (_, routes) in enumerate(self.configurations):
            ended = (self.configurations[i + 1][0]
                     if i + 1 < len(self.configurations) else float("inf"))
            if ended > since:
                services.update(routes.get(route, ()))
        return services

    # Routers -------------------------------------------------------------

    def rotation(self, domain):
        own = [one for one in self.instances if one.domain == domain]
        ready = [one for one in own if one.rotating]
        if ready and 2 * len(ready) < len(own):
            return own
        return ready or [one for one in self.instances if one.rotating] or own

    def route_packet(self, client, packet):
        nodes = {one.name: one for one in self.rotation(client.domain)}
        name = world.pick(sorted(nodes), client, packet)
        instance = nodes[name]
        self.came_through[(packet.src, packet.sport)] = instance
        client.udp.sendto(packet.encode(), (instance.ip, self.packet_port))

    # Checks --------------------------------------------------------------

    def check_opening(self, target, packet):
        route = (packet.dst, packet.dport)
        instance = self.came_through.get((packet.src, packet.sport))
        where = f"{target.name} ({target.service}) through {instance.name}"
        if target.service not in self.allowed(route, 0):
            self.broken("route", f"{route} at {where}")
        if not instance.calm():
            return
        if target.service not in self.allowed(route,
                                              self.now() - self.bound - SLACK):
            self.broken("config", f"{route} at {where}")
        if target.left_at and self.now() - target.left_at > self.bound + SLACK:
            self.broken("drain", f"{route} at {where}")
        since = self.evacuated.get(target.domain)
        if since and self.now() - since > self.bound + SLACK:
            self.broken("evacuate", f"{route} at {where} in {target.domain}")

    def check_reset(self, client, flow):
        target = self.targets.get(flow.target)
        instance = self.came_through.get((client.address, flow.port))
        served = target is not None and target.alive
        hidden = target is not None and \
            self.now() - target.hidden_until < fleet.CONTACT
        dropped = not self.allowed(flow.route, self.now() - 0.01)
        if served and instance.calm() and not hidden and not dropped:
            self.broken("flow", f"{client.address}:{flow.port} at "
                        f"{flow.target} was reset by {instance.name}")

    def check_stray(self, client, flow, packet):
        """A target that doesn't hold the flow got a packet of it."""
        own = self.targets.get(flow.target)
        if own is not None and (client.address, flow.port) in own.dropped:
            return
        instance = self.came_through.get((client.address, flow.port))
        if own is not None and own.alive and instance.calm():
            self.broken("flow", f"{client.address}:{flow.port} at "
                        f"{flow.target} reached the target of word "
                        f"{packet.echo:x} through {instance.name}")

    def note_run(self, request, target):
        before = self.runs.setdefault(request, target.name)
        if before != target.name:
            self.broken("twice", f"{request} at {before} and {target.name}")
        return before == target.name

    def note_outcome(self, flow, request, served):
        """Failed requests go to failed.jsonl, as a client would report them."""
        self.outcomes.append((self.now(), served))
        if not served:
            line = json.dumps({"second": round(self.now() - self.started, 2),
                               "request": request, "flow": flow})
            with open(self.folder / "failed.jsonl", "a",
                      encoding="utf-8") as file:
                file.write(line + "\n")

    # Targets -------------------------------------------------------------

    async def add_target(self, service, domain, address=None):
        await self.store_up()
        self.last_target += 1
        name = f"i-{0xA000 + self.last_target:08x}"
        if address is None:
            address = self.address(3, self.last_target) + ":18080"
        target = world.Target(self, name, service, domain, address)
        self.targets[name] = target
        await target.start()

    def live(self, service=None):
        return [one for one in self.targets.values()
                if one.alive and not one.draining and
                (service is None or one.service == service)]

    def spare(self):
        """A target that its service can do without, or None."""
        choices = [one for one in self.live()
                   if len(self.live(one.service)) > 4]
        return self.random.choice(choices) if choices else None

    # Faults --------------------------------------------------------------

    def some(self):
        return self.random.choice(self.instances)

    async def fault_kill(self):
        await self.some().kill(*self.restart(), self.random.uniform(0.1, 3))

    async def fault_herd_kill(self):
        chosen = self.random.sample(self.instances, len(self.instances) // 2)
        await asyncio.gather(*(one.kill(*self.restart(), 1.0)
                               for one in chosen))

    async def fault_stop(self):
        await self.some().stop(*self.restart(), self.random.uniform(0.1, 1))

    async def fault_roll(self):
        for one in self.random.sample(self.instances, 3):
            await one.stop(*self.restart(), 0.3)

    async def fault_freeze(self):
        await self.some().freeze(self.random.uniform(0.5, 5))

    async def fault_hup(self):
        self.some().signal(signal.SIGHUP)

    async def fault_proxy(self):
        mode = self.random.choice(store.MODES)
        chosen = self.random.sample(self.instances, self.random.randint(1, 3))
        for one in chosen:
            one.proxy.mode = mode
        await asyncio.sleep(self.random.uniform(1, 9))
        for one in chosen:
            one.proxy.mode = store.PASS
            if mode in (store.SILENT, store.CUT_UP, store.CUT_DOWN):
                one.disturb()  # Its open connections stay silent for good.

    async def fault_reset(self):
        for one in self.random.sample(self.instances, 4):
            one.proxy.reset_all()
            one.disturb()

    async def fault_store_down(self):
        # One at a time: the second would end the first one's absence early.
        async with self.store_busy:
            await self.store_away()

    async def store_away(self):
        self.store.down = self.random.choice(["busy", "silent"])
        self.reset_proxies()
        pause = self.random.uniform(1, 6)
        lapses = pause > 3 and self.random.random() < 0.6
        await asyncio.sleep(pause)
        if lapses:
            self.lapse()
        self.store.down = ""
        self.reset_proxies()
        for one in self.instances:
            one.disturb()
        await asyncio.sleep(1.5)
        for one in self.live():
            if lapses:
                one.hidden_until = self.now()
                one.publish()

    def reset_proxies(self):
        for one in self.instances:
            one.proxy.reset_all()

    def lapse(self):
        for one in self.live():
            one.hidden_until = self.now() + 2
            self.store.remove("servers/" + one.name)

    async def fault_compact(self):
        self.store.compact()

    async def fault_garbage(self):
        self.store.put(f"servers/x-{self.random.randint(0, 99)}",
                       self.random.choice([b"\xff\x00", b"[]", b'{"service":7}',
                                           b'{"state":"resting"}']))
        live = sorted(self.live(), key=lambda one: one.name)
        if live and self.write_random.random() < 0.5:
            # Another program's entry, complete but of an unknown service.
            one = self.write_random.choice(live)
            self.store.put("servers/y-0", {
                "service": "inventory", "address": one.address,
                "zone": one.domain, "version": "v1", "max-concurrency": 2,
                "state": "ready", "warmup-left-ms": 0, "sequence": 1,
                "born": int(time.time() * 1000)})

    async def fault_drain(self):
        one = self.spare()
        if one is None:
            return
        await self.add_target(one.service, one.domain)
        await self.store_up()
        one.draining, one.left_at = True, self.now()
        one.publish()
        await asyncio.sleep(self.bound - BOUNDS[0] +
                            self.random.uniform(3.5, 6))
        one.end()
        await self.store_up()
        self.store.remove("servers/" + one.name)

    async def fault_evacuate(self):
        """Empties a failure domain and takes it back, beside other faults."""
        domain = self.random.choice(DOMAINS)
        if domain in self.evacuated or len(self.evacuated) + 1 == len(DOMAINS):
            return
        self.evacuated[domain] = None
        await self.store_up()
        self.store.put("op/evacuate/" + domain, {})
        self.evacuated[domain] = self.now()
        await asyncio.sleep(self.random.uniform(1, 7))
        await self.store_up()
        del self.evacuated[domain]
        self.store.remove("op/evacuate/" + domain)

    async def fault_crash(self):
        one = self.spare()
        if one is None:
            return
        one.end()
        lapse = self.random.uniform(2.0, 3.5)
        reuse = self.random.random() < 0.5
        if reuse:
            await asyncio.sleep(2.0)
            other = self.random.choice(["diary", "handover"])
            await self.add_target(other, one.domain, one.address)
            if self.write_random.random() < 0.5:
                # A write of before its end, done only now.
                await asyncio.sleep(self.write_random.uniform(0, 2))
                await self.store_up()
                one.publish()
        else:
            await self.add_target(one.service, one.domain)
        await asyncio.sleep(lapse)
        await self.store_up()
        one.left_at = self.now()
        self.store.remove("servers/" + one.name)

    async def fault_configure(self):
        routes = dict(self.configurations[-1][1])
        for _ in range(self.random.randint(1, 4)):
            extra = ("198.18.0.2", self.random.randint(1000, 1003))
            if extra in routes:
                del routes[extra]
            else:
                routes[extra] = ["diary"]
            moved = ("198.18.0.1", 8080)
            routes[moved] = self.random.choice(
                [["diary"], ["handover"], ["diary", "handover"]])
            await self.store_up()
            self.configure(dict(routes))
            await asyncio.sleep(self.random.uniform(0.05, 0.5))

    # Load faults, beside the others ---------------------------------------

    async def trouble_targets(self):
        """Part of the targets turn slow or failing for a while."""
        choose = self.load_random
        live = sorted(self.live(), key=lambda one: one.name)
        chosen = choose.sample(live, choose.randint(1, max(1, len(live) // 3)))
        failure, part = choose.choice(world.FAILURES), choose.uniform(0.2, 1)
        for one in chosen:
            one.failure, one.part = failure, part
        await asyncio.sleep(choose.uniform(1, 6))
        for one in chosen:
            one.failure = None

    async def trouble_gather(self):
        """Callers enter at one failure domain for a while."""
        choose = self.load_random
        domain = choose.choice(DOMAINS)
        chosen = choose.sample(self.clients, choose.randint(
            len(self.clients) // 2, len(self.clients)))
        for client in chosen:
            client.domain = domain
        await asyncio.sleep(choose.uniform(1, 6))
        for client in chosen:
            client.domain = client.home

    def restart(self):
        return self.options.program, [one.ip for one in self.instances[:3]]

    # The run -------------------------------------------------------------

    async def start(self):
        self.started = self.now()
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.configure({("198.18.0.1", 443): ["diary"],
                        ("198.18.0.1", 8080): ["diary"],
                        ("198.18.0.1", 8443): ["handover"]})
        for i in range(self.options.targets):
            service = "handover" if i % 3 == 2 else "diary"
            await self.add_target(service, DOMAINS[i // 3 % 3])
        for i in range(self.options.instances):
            one = fleet.Instance(self, f"front-{i}", DOMAINS[i % 3],
                                 self.address(1, i), self.folder)
            one.proxy = store.Proxy(port)
            await one.proxy.start()
            self.instances.append(one)
        for one in self.instances:
            one.start(*self.restart())
        for i in range(self.options.clients):
            client = world.Client(self, self.address(2, i), DOMAINS[i % 3])
            self.clients.append(client)
            await client.start()
        return server

    async def watch(self):
        """Routers' checks, instances that end by themselves, own pauses."""
        last, asked = self.now(), 0.0
        while True:
            await asyncio.sleep(0.05)
            if self.now() - last > HICCUP:
                self.hiccups += 1
                for one in self.instances:
                    one.disturb()
            last = self.now()
            for one in self.instances:
                one.note_exit()
            if self.now() - asked > 0.5:
                asked = self.now()
                for one in self.instances:
                    asyncio.create_task(one.check_ready())

    async def inject(self, end, prefix, choose):
        """Starts functions whose names have the prefix."""
        kinds = sorted(name for name in dir(self) if name.startswith(prefix))
        running = set()
        while self.now() < end:
            await asyncio.sleep(choose.uniform(0.1, 1.6))
            kind = choose.choice(kinds)
            self.faults[kind.removeprefix("fault_")] += 1
            task = asyncio.create_task(getattr(self, kind)())
            running.add(task)
            task.add_done_callback(running.discard)
            task.add_done_callback(self.note_end)
        if running:
            await asyncio.wait(running)

    def note_end(self, task):
        """A fault that could not be carried out makes the run worthless."""
        if task.exception() is not None:
            self.broken("soak", repr(task.exception()))

    async def run(self):
        server = await self.start()
        watch = asyncio.create_task(self.watch())
        await asyncio.sleep(2.5)
        work = [asyncio.create_task(client.run(f"{self.options.seed}/{i}"))
                for i, client in enumerate(self.clients)]
        await asyncio.sleep(1)
        end = self.now() + self.options.seconds
        faults = [self.inject(end, "fault_", self.random)]
        if self.load_faults:
            faults.append(self.inject(end, "trouble_", self.load_random))
        await asyncio.gather(*faults)
        for one in self.instances:
            one.proxy.mode = store.PASS
        await asyncio.sleep(SETTLE)
        since = self.now()
        await asyncio.sleep(JUDGED)
        self.judge_end(since)
        for task in (*work, watch):
            task.cancel()
        for one in self.instances:
            one.end()
        server.close()

    def judge_end(self, since):
        last = [served for time, served in self.outcomes if time >= since]
        share = sum(last) / len(last) if last else 0.0
        if share < SERVED:
            self.broken("recover", f"{share:.3f} of {len(last)} requests served")

    def report(self):
        served = sum(served for _, served in self.outcomes)
        print(f"seed {self.options.seed}: {len(self.found)} broken, "
              f"{served} of {len(self.outcomes)} requests served, "
              f"{self.store.calls} calls, {self.hiccups} own pauses, "
              f"faults {dict(sorted(self.faults.items()))}, "
              f"load {self.load_settings}", flush=True)


def claim_lane(first):
    """Takes the first lane from `first` on that no other run has.

    Runs of two checkouts number their lanes alike; with the same addresses one
    of them would fail at its start. The lane is held by the returned socket.
    """
    for lane in range(first, LANES):
        held = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            held.bind((f"127.{4 * lane}.255.254", LANE_PORT))
            return lane, held
        except OSError:
            held.close()
    sys.exit(f"no lane from {first} on is free")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20,
                        help="how long faults are injected")
    parser.add_argument("--instances", type=int, default=8)
    parser.add_argument("--targets", type=int, default=18)
    parser.add_argument("--clients", type=int, default=24)
    parser.add_argument("--program",
                        default="build/source/app/sassafrasdyke")
    parser.add_argument("--lane", type=int, default=0, choices=range(LANES),
                        help="the first to try; each holds its own addresses")
    parser.add_argument("--folder", help="where logs go; kept")
    options = parser.parse_args()
    options.lane, held = claim_lane(options.lane)
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(options.folder or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        # A copy, so that a build meanwhile doesn't change the run.
        options.program = shutil.copy(options.program, folder / "program")
        scene = World(options, folder)
        try:
            asyncio.run(scene.run())
        finally:
            for one in scene.instances:
                one.end()
        scene.report()
    held.close()
    sys.exit(1 if scene.found else 0)


if __name__ == "__main__":
    main()
