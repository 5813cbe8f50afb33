"""Configurations that add routes come in quick succession while instances are
restarted in turn: flows that are open on a new route are reset by instances that
don't know the route yet."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins  # noqa: E402

HOST = "127.250.0.1"
FEED = (HOST, 8443)
STORM, GAP = 4.0, 0.33  # `config_storm`: for_s = 4.0, gap_s = 0.33.
ROUNDS, ROUND = 16, 6.4


async def case(world):
    await world.start_store()
    world.routes = [(*FEED, "unsafe", "diary")]
    world.configure(7, world.routes)
    zones = ("north-a", "north-b", "north-c")
    for i in range(8):
        zone = i % 3
        stand_ins.Instance(world, f"front-{zones[zone]}-{i // 3 + 1}",
                           zones[zone], world.address(10 + zone, i // 3 + 1))
    for instance in world.instances:
        instance.start()
        world.spawn(instance.watch())
    world.spawn(stand_ins.expire(world))
    port = world.free_ports(1)[0]
    for i in range(9):
        await stand_ins.Target(world, f"i-00000000d{i}", "diary", zones[i % 3],
                               world.address(64, 1 + i), port).start()
    await world.until(4.0)
    for i in range(18):
        client = stand_ins.Client(world, world.address(100, i + 1), "north-a")
        client.on_reset = lambda flow, at=client: judge(world, at, flow)
        await client.start()
        for _ in range(3):
            world.spawn(requests(world, client))
    for i in range(ROUNDS):
        await world.until(8.0 + ROUND * i)
        storm = asyncio.create_task(config_storm(world))
        await asyncio.sleep(0.7)
        if world.trouble:
            # The disruption: planned restarts (`roll_term`), one at a time.
            await world.instances[3 * (i % 3)].roll()
        await storm
    await world.until(8.0 + ROUND * ROUNDS)


async def config_storm(world):
    end = world.now() + STORM
    version = 7 + 3 * len(world.routes)
    while world.now() < end:
        version += 3
        world.routes = world.routes + [
            (HOST, 9000 + len(world.routes), "unsafe", "diary")]
        world.configure(version, world.routes)
        await asyncio.sleep(GAP)


def judge(world, client, flow):
    """FLOW (a): the client gets a reset that the flow's target didn't send,
    while the target lives, with no disruption on it. No configuration drops a
    route. Planned work counts whoever is in touch; here only resets of
    instances that have run undisturbed for `contact-ms` are taken."""
    if flow.reset != "the system" or not flow.open or \
            not flow.through.calm():
        return
    for holder in world.targets:
        held = holder.flows.get((client.host, flow.port))
        # The flow is open where its target has the end of the handshake.
        if holder.alive and held is not None and held[3] and \
                flow.opened_seq == held[4]:
            world.break_rule("FLOW", f"{client.host}:{flow.port} to port "
                             f"{flow.route[1]} is open at {holder.name}, which "
                             f"lives, and was reset by {flow.through.name}")


async def requests(world, client):
    """Opens a flow on the newest route that the store has acknowledged, and
    sends some requests on it."""
    count = 0
    while True:
        await asyncio.sleep(world.random.uniform(0.03, 0.09))
        route = world.routes[-1][:2]
        flow = await client.open(route)
        if flow is None:
            continue
        for _ in range(4):
            count += 1
            name = f"{client.host}:{flow.port}/{count}"
            if await client.request(flow, name) is None:
                break
            await asyncio.sleep(world.random.uniform(0.03, 0.09))
        client.close(flow)


if __name__ == "__main__":
    stand_ins.run(case, pathlib.Path(__file__).with_name("record.txt"))
