"""The instances under test: real processes, ended only by their own ids."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import urllib.request

READY_PORT, PEER_PORT, METRICS_PORT = 18167, 18720, 18721
CONTACT = 4.0  # Seconds of calm after which an instance counts as undisturbed.


class Instance:
    """One process of the system, with its proxy to the store."""

    def __init__(self, world, name, domain, ip, folder):
        self.world, self.name, self.domain, self.ip = world, name, domain, ip
        self.folder = pathlib.Path(folder)
        self.process = None
        self.proxy = None
        self.paused, self.stopping = False, False
        self.disturbed_at = 0.0
        self.misses, self.rotating = 2, False
        self.busy = asyncio.Lock()  # One kill, stop or freeze at a time.

    def write_settings(self, seeds):
        bound_ms = int(self.world.bound * 1000)
        times = {"grace_s": 6, "flow_life_s": 60, "apply_ms": bound_ms,
                 "drain_ms": bound_ms, "evacuate_ms": bound_ms}
        settings = {
            "instance": self.name, "domain": self.domain, "region": "r",
            "listen": {"packets": f"{self.ip}:{self.world.packet_port}",
                       "readiness": f"{self.ip}:{READY_PORT}",
                       "peers": f"{self.ip}:{PEER_PORT}",
                       "metrics": f"{self.ip}:{METRICS_PORT}"},
            "store": f"127.0.0.1:{self.proxy.port}",
            "seeds": [f"{seed}:1" for seed in seeds], "times": times}
        if self.world.load_settings:
            settings["load"] = self.world.load_settings
        path = self.folder / f"{self.name}.json"
        path.write_text("// Written by the soak.\n" + json.dumps(settings))
        return path

    def start(self, program, seeds):
        path = self.write_settings(seeds)
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [program, "front", "--settings", str(path)], stdout=log,
            stderr=subprocess.STDOUT)
        log.close()
        self.paused = self.stopping = False
        self.disturb()

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running():
            os.kill(self.process.pid, number)
            self.disturb()

    def disturb(self):
        self.disturbed_at = self.world.now()

    def calm(self):
        """Whether its promises with a time bound hold now."""
        return (self.running() and not self.paused and not self.stopping and
                self.world.now() - self.disturbed_at > CONTACT)

    async def check_ready(self):
        """What the routers do twice a second."""
        good = await asyncio.to_thread(self._ask)
        self.misses = 0 if good else self.misses + 1
        if good:
            self.rotating = True
        elif self.misses >= 2:
            self.rotating = False

    def _ask(self):
        try:
            url = f"http://{self.ip}:{READY_PORT}/sassafrasdyke/ready"
            with urllib.request.urlopen(url, timeout=0.4) as answer:
                return answer.status == 200
        except OSError:
            return False

    async def stop(self, program, seeds, pause):
        """SIGTERM, the grace, SIGKILL, and a new start after `pause`."""
        async with self.busy:
            await self._stop(program, seeds, pause)

    async def kill(self, program, seeds, pause):
        async with self.busy:
            if self.running():
                self.signal(signal.SIGKILL)
                self.process.wait()
            await asyncio.sleep(pause)
            self.start(program, seeds)

    async def freeze(self, pause):
        async with self.busy:
            self.signal(signal.SIGSTOP)
            self.paused = True
            await asyncio.sleep(pause)
            self.signal(signal.SIGCONT)
            self.paused = False
            self.disturb()

    async def _stop(self, program, seeds, pause):
        if self.running():
            await self._terminate()
        await asyncio.sleep(pause)
        self.start(program, seeds)

    async def _terminate(self):
        self.signal(signal.SIGTERM)
        self.stopping = True
        process = self.process
        for _ in range(60):
            if process.poll() is not None:
                break
            await asyncio.sleep(0.1)
        else:
            self.world.broken("stop", f"{self.name} outlived its grace")
            process.kill()
        process.wait()

    def note_exit(self):
        """An end that nobody asked for is a fault of the program."""
        if self.process is not None and not self.running() and \
                not self.stopping and self.process.returncode not in (-9,):
            self.world.broken("exit", f"{self.name} ended by itself with "
                              f"{self.process.returncode}")
            self.process = None

    def end(self):
        if self.running():
            self.process.kill()
            self.process.wait()
