"""A route is dropped and added again while instances are restarted in turn."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig2"))
import rig  # noqa: E402

# What was sent, answered and run.
RECORD = pathlib.Path(__file__).resolve().parent / "record.txt"

# The site: bounds and machines of lensmoor-core.
CONTACT = 4.0
TIMES = {"grace_s": 6, "flow_life_s": 60, "apply_ms": 3000, "drain_ms": 3000}
ZONES = ["zone-a", "zone-b", "zone-c"]
NODES = {"zone-a": 3, "zone-b": 3, "zone-c": 2}
GAP = 0.33  # config_storm's pause between two changes.
STEP = 3.4  # From one restart to the next, at least.
STEPS = 27

MAIN = ("127.198.0.1", 8443)
TOGGLED = ("127.198.0.1", 8080)


def configuration(version, addresses):
    return {"version": version, "routes": [
        {"name": "r-%07x" % (0x1a3f000 + i), "host": address[0],
         "prefix": "/%d/" % address[1], "type": "safe", "timeout-ms": 2000,
         "aim-ms": 150, "priority": 2, "service": "diary", "max-attempts": 2}
        for i, address in enumerate(addresses)],
        "services": [{"name": "diary", "health-path": "/health",
                      "max-conns": 2000, "protocol": "h1", "tls": False}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


class Case:
    def __init__(self, world):
        self.world = world
        self.version = 0
        self.added_at = None  # When the route was last acknowledged as there.
        self.opened = self.broken = 0

    def configure(self, *addresses):
        self.version += 3
        self.world.store.put("op/config",
                             configuration(self.version, addresses))
        there = TOGGLED in addresses
        if not there:
            self.added_at = None
        elif self.added_at is None:
            self.added_at = rig.now()
        self.world.note("operator", "version %d, %s %s:%d" % (
            (self.version, "with" if there else "without") + TOGGLED))

    async def change(self, trouble):
        if trouble:
            self.configure(MAIN)
            await asyncio.sleep(GAP)
            self.configure(MAIN, TOGGLED)

    async def run_client(self, client, zone):
        """Opens flows on the route and keeps each for some requests."""
        choose = self.world.router(zone)
        while True:
            await asyncio.sleep(0.03)
            # Only flows that were opened after the acknowledgement of the
            # configuration that has the route, and before another, count.
            added_at = self.added_at
            flow = await client.open(TOGGLED, choose)
            if not flow.opened:
                continue
            self.opened += 1
            self.world.note(flow.name, "is open")
            for i in range(20):
                await asyncio.sleep(0.04)
                if await client.request(flow, "%s/%d" % (flow.name, i),
                                        choose) is None:
                    break
            if flow.ended_by is not None:
                self.world.note(flow.name, flow.ended_by)
            if flow.ended_by == "reset by the system" and added_at and \
                    self.added_at == added_at and \
                    self.world.holds_open(flow):
                self.broken += 1
                self.world.note("judge", "FLOW: the system reset %s, a flow "
                                "that was open, whose target lives and whose "
                                "route is there" % flow.name)
            client.close(flow, choose)


async def play(world):
    await world.store.start()
    case = Case(world)
    case.configure(MAIN, TOGGLED)
    for i, zone in enumerate(ZONES):
        for j in range(3):
            target = rig.Target(world, "i-7f%02x91c2" % (16 * i + j), "diary",
                                zone, (world.ip(2, i, j + 1),
                                       world.target_port))
            world.targets.append(target)
            await target.start()
    for i, zone in enumerate(ZONES):
        for j in range(NODES[zone]):
            world.add_node("front-%s-%d" % (zone, j + 1), zone,
                           world.ip(1, i, j + 1)).start()
    tasks = [asyncio.create_task(world.watch_nodes())]
    await world.wait_ready(world.nodes)
    await asyncio.sleep(CONTACT + 1)
    for i, zone in enumerate(ZONES):
        for j in range(10):
            client = rig.Client(world, world.ip(3, i, j + 1))
            await client.start()
            tasks.append(asyncio.create_task(case.run_client(client, zone)))

    # roll_term: each machine in turn gets SIGTERM and is started again. About
    # then the operator drops the route, notices, and adds it again.
    for step in range(STEPS):
        began = rig.now()
        node = world.nodes[step % len(world.nodes)]
        changing = asyncio.create_task(case.change(world.trouble))
        await asyncio.sleep(0.1)
        await asyncio.gather(changing, node.terminate())
        node.stopped_at = 0.0
        node.start()
        await asyncio.sleep(max(0.0, began + STEP - rig.now()) +
                            random.uniform(0.0, 0.5))
        if rig.now() - world.began > 105:
            break
    for task in tasks:
        task.cancel()
    world.check_processes()
    world.note("judge", "%d flows were open, %d of them were reset by the "
               "system though nothing allows it" % (case.opened, case.broken))
    return case.broken


if __name__ == "__main__":
    rig.main(play, RECORD, zones=ZONES, times=TIMES)
