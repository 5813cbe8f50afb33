"""A write of a target is done late: after the target has ended and its address
has gone to another target. Every instance then takes the living target for
ended, for as long as it lives, and resets its open flows."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins  # noqa: E402

FEED = ("127.250.0.1", 8443)
CONFIRM = ("127.250.0.1", 8080)
GALLERY = ("127.250.0.2", 8443)
# `platform_lost` with `how = "late"`, `for_s = 4.5`: writes are done and not
# answered, 1 to 6 s later.
LOST_FROM, LOST_UNTIL, LATE_BY = 6.0, 10.5, 4.5


async def case(world):
    await world.start_store()
    world.configure(7, [(*FEED, "safe", "diary"), (*CONFIRM, "unsafe", "diary"),
                        (*GALLERY, "download", "handover")])
    zones = ("north-a", "north-b", "north-c")
    for i, zone in enumerate((0, 1, 2, 0, 1, 2, 0, 1)):
        stand_ins.Instance(world, f"front-{zones[zone]}-{i // 3 + 1}",
                           zones[zone], world.address(10 + zone, i // 3 + 1))
    for instance in world.instances:
        instance.start()
        world.spawn(instance.watch())
    world.spawn(stand_ins.expire(world))
    port = world.free_ports(1)[0]

    def target(name, service, number, zone="north-a"):
        return stand_ins.Target(world, name, service, zone,
                                world.address(64, number), port)

    for i in range(6):
        await target(f"i-00000000d{i}", "diary", 1 + i, zones[i % 3]).start()
    for i in range(3):
        await target(f"i-00000000e{i}", "handover", 11 + i, zones[i]).start()
    first = target("i-7f3a91c2aa", "handover", 21)
    await first.start()

    # The last beat of `first` before its end is done late.
    await world.until(LOST_FROM + 0.9)
    first.beat = lambda: None
    said = first.entry()
    await asyncio.sleep(0.1)
    sent_at = world.now()
    if world.trouble:
        world.note(f"target {first.name} beats; the store answers nothing, "
                   "and will do the write later")
    else:
        stand_ins.write(world, first.name, said)
    await asyncio.sleep(0.1)
    first.end("it crashes, and its address goes to another service")
    # `reuse-after-s` is 2.
    await world.until(sent_at + 0.1 + 2.3)
    second = target("i-55aa00b1c3", "diary", 21)
    await second.start()
    if world.trouble:
        await world.until(sent_at + LATE_BY)
        world.note(f"store: does the write that {first.name} has sent at "
                   f"{sent_at:.3f} s")
        stand_ins.write(world, first.name, said)
    # The last late write may come 6 s after the trouble; 4 s more (contact-ms)
    # and the store is stable.
    await world.until(LOST_UNTIL + 6.0 + 4.0)
    world.note("the store is stable from here on")

    # Planned work: two restarts of one instance, with calm between them.
    rolled = world.instances[0]
    await rolled.roll()
    await world.until(world.now() + 5.0)
    clients = []
    for i in range(20):
        client = stand_ins.Client(world, world.address(100, i + 1), "north-a")
        client.on_reset = lambda flow, at=client: judge(world, at, flow)
        await client.start()
        clients.append(client)
        for route in (FEED, CONFIRM, FEED, CONFIRM):
            world.spawn(requests(world, client, route))
    await world.until(world.now() + 6.0)
    held = sum(1 for client in clients for flow in client.flows.values()
               if flow.by == second.name)
    world.note(f"{held} flows are open at {second.name}")
    await rolled.roll()
    await world.until(world.now() + 6.0)


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
    stand_ins.run(case, pathlib.Path(__file__).with_name("record.txt"))
