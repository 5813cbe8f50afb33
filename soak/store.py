"""A stand-in of the platform's store, and a proxy before it for each instance.

The store speaks the published protocol: listings in pages, watches that wait,
a history that may be dropped. The proxies let connections be delayed, cut one
way, reset, refused or silenced for one instance at a time.
"""

import asyncio
import base64
import json
import urllib.parse

PAGE = 20  # Items; small, so that every listing has several pages.
PASS, DELAY, CUT_UP, CUT_DOWN, SILENT, REFUSE, RESET = (
    "pass", "delay", "cut-up", "cut-down", "silent", "refuse", "reset")
MODES = (DELAY, CUT_UP, CUT_DOWN, SILENT, REFUSE, RESET)


class Store:
    """Items with revisions; `put` and `remove` wake every watch."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.dropped = 0  # Changes up to this revision are forgotten.
        self.down = ""  # "", "busy" or "silent"
        self.changed = asyncio.Event()
        self.calls = 0

    def put(self, key, value):
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {"key": key, "value": base64.b64encode(body).decode(),
                "revision": self.revision, "create-rev": self.revision,
                "lease": 0}
        self.items[key] = item
        self._note(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision,
                        "tombstone": True})

    def compact(self):
        """Forgets the history; waiting watches are cut."""
        self.history.clear()
        self.dropped = self.revision
        self._wake()

    def _note(self, event):
        self.history.append(event)
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, path, query):
        """Returns a status and an object."""
        self.calls += 1
        if path.endswith("/kv-range"):
            return 200, self._range(query)
        if path.endswith("/kv-watch"):
            return await self._watch(query)
        return 404, {}

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items
                      if key.startswith(prefix) and key > after)
        return {"items": [self.items[key] for key in keys[:PAGE]],
                "has-more": len(keys) > PAGE, "store-revision": self.revision}

    async def _watch(self, query):
        after = int(query["after"])
        if after < self.dropped:
            return 410, {}
        if after >= self.revision:
            wait = min(int(query["wait-ms"]), 30000) / 1000
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if after < self.dropped:
            return 410, {}
        events = [event for event in self.history if event["revision"] > after]
        return 200, {"events": events, "store-revision": self.revision}

    async def serve(self, reader, writer):
        """One connection."""
        try:
            while line := await reader.readline():
                target = line.split()[1].decode()
                while (await reader.readline()).strip():
                    pass
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                if self.down == "silent":
                    await asyncio.sleep(3600)
                status, body = ((503, {}) if self.down else
                                await self.answer(url.path, query))
                if self.down == "silent":
                    await asyncio.sleep(3600)
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n" %
                             (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, IndexError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Proxy:
    """Stands between one instance and the store."""

    def __init__(self, store_port):
        self.store_port = store_port
        self.mode = PASS
        self.port = 0
        self.writers = set()

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    def reset_all(self):
        """Resets what is open; new connections are let through."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        tasks = []
        try:
            if self.mode == RESET:
                writer.transport.abort()
                return
            up_reader, up_writer = await asyncio.open_connection(
                "127.0.0.1", self.store_port)
            self.writers.add(up_writer)
            tasks = [asyncio.create_task(self._pump(reader, up_writer, True)),
                     asyncio.create_task(self._pump(up_reader, writer, False))]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            up_writer.close()
            self.writers.discard(up_writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            for task in tasks:
                task.cancel()
            writer.close()
            self.writers.discard(writer)

    async def _pump(self, reader, writer, is_up):
        try:
            while data := await reader.read(65536):
                if self.mode == DELAY:
                    await asyncio.sleep(0.3)
                if self.mode == REFUSE and is_up:
                    # The store's own refusal, for this instance alone.
                    data = data.replace(b"/kv-", b"/refused-")
                blocked = (self.mode == SILENT or
                           self.mode == CUT_UP and is_up or
                           self.mode == CUT_DOWN and not is_up)
                if blocked:
                    continue  # Swallowed for good, as by a lost middlebox.
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
