"""Another writer's entry, of a service that no configuration names, holds the
address of a living target: every instance takes that target for ended."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins  # noqa: E402

FEED = ("127.250.0.1", 8443)
CONFIRM = ("127.250.0.1", 8080)
GALLERY = ("127.250.0.2", 8443)


async def case(world):
    await world.start_store()
    world.configure(7, [(*FEED, "safe", "diary"), (*CONFIRM, "unsafe", "diary"),
                        (*GALLERY, "download", "handover")])
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

    def target(name, service, number, zone):
        return stand_ins.Target(world, name, service, zone,
                                world.address(64, number), port)

    diary = [target(f"i-00000000d{i}", "diary", 1 + i, zones[i % 3])
             for i in range(6)]
    for one in diary:
        await one.start()
    for i in range(3):
        await target(f"i-00000000e{i}", "handover", 11 + i, zones[i]).start()

    await world.until(4.0)
    clients = []
    for i in range(12):
        client = stand_ins.Client(world, world.address(100, i + 1),
                                  zones[i % 3])
        client.on_reset = lambda flow, at=client: judge(world, at, flow)
        await client.start()
        clients.append(client)
        for route in (FEED, CONFIRM):
            world.spawn(requests(world, client, route))

    await world.until(12.0)
    living = diary[0]
    held = sum(1 for client in clients for flow in client.flows.values()
               if flow.by == living.name)
    world.note(f"{held} flows are open at {living.name}")
    if world.trouble:
        # The disruption: an entry of another writer. All of its fields are
        # there and of their types; its service is named in no configuration.
        name, entry = "x-00000000aa", living.entry()
        entry["service"] = "stock-keeping"
        world.spawn(beats(world, name, entry))
    await world.until(24.0)
    note_placements(world, living)


async def beats(world, name, entry):
    """The other writer keeps its entry alive, as targets do."""
    while True:
        stand_ins.write(world, name, entry)
        await asyncio.sleep(stand_ins.HEARTBEAT)


def note_placements(world, living):
    """For the record only: the living target gets no new flows."""
    world.note(f"{living.name} is {'alive' if living.alive else 'ended'} and "
               f"holds {len(living.flows)} flows")


def judge(world, client, flow):
    """FLOW (a): the client gets a reset that the flow's target didn't send,
    while the target lives with no disruption on it, through an instance in
    touch, on a flow younger than `max-flow-s`."""
    if flow.reset != "the system" or not flow.open or flow.by is None:
        return
    holder = next(one for one in world.targets if one.name == flow.by)
    lives = holder.alive and (client.host, flow.port) in holder.flows
    if lives and flow.through.calm() and \
            world.now() - flow.opened_at < 60.0:
        world.break_rule("FLOW", f"{client.host}:{flow.port} is open at "
                         f"{holder.name}, which lives, and was reset by "
                         f"{flow.through.name}")


async def requests(world, client, route):
    """Opens a flow, sends requests on it, and keeps it while it is open."""
    flow, count = None, 0
    while True:
        await asyncio.sleep(world.random.uniform(0.2, 0.5))
        if flow is None or flow.port not in client.flows:
            flow = await client.open(route)
        if flow is not None:
            count += 1
            await client.request(flow, f"{client.host}:{flow.port}/{count}")


if __name__ == "__main__":
    stand_ins.run(case, pathlib.Path(__file__).resolve().parent)
