"""Store stand-in whose objects can be given as bytes, and the odd objects that another writer may put into it."""

import asyncio
import json
import urllib.parse

from soak_standins import Store, response

MAX_PAGE_BYTES = 1 << 20
UNESCAPED_IN_TARGET = frozenset(range(0x21, 0x7F))


class RawItem:
    """Object as the bytes that the store sends for it; Python's encoder neither nests deeply nor writes 1e400."""

    def __init__(self, text):
        self.text = text


def encode(item):
    return item.text if isinstance(item, RawItem) else json.dumps(item).encode()


class RawStore(Store):
    """Store that sends lists in pages, and objects as they were put."""

    def __init__(self, page_size=500):
        super().__init__()
        self.page_size, self.lists = page_size, 0

    async def _serve(self, reader, writer):
        try:
            await super()._serve(reader, writer)
        except asyncio.LimitOverrunError:
            writer.close()  # A request head longer than the reader's buffer.

    async def put_raw(self, kind, name, encode_object):
        """`encode_object`: returns the object's bytes for a revision."""
        self.revision += 1
        item = RawItem(encode_object(self.revision))
        self.objects[(kind, name)] = item
        await self._note(kind, item, False)

    async def handle(self, line, headers, body, writer):
        method, _, rest = line.partition(" ")
        target = rest.rpartition(" ")[0].encode("latin1")
        if not all(byte in UNESCAPED_IN_TARGET for byte in target):
            writer.write(response(400))
            return True
        path, _, query = target.decode().partition("?")
        words = path.strip("/").split("/")[1:]
        if method != "GET" or query.startswith("watch") or not self.available:
            return await super().handle(line, headers, body, writer)
        if len(words) == 2:
            item = self.objects.get((words[0], urllib.parse.unquote(words[1])))
            writer.write(response(200, encode(item)) if item else response(404))
        else:
            after = query.removeprefix("after=") if query.startswith("after=") else None
            writer.write(response(200, self.page(words[0], after and urllib.parse.unquote(after))))
        return True

    def page(self, kind, after):
        self.lists += 1
        names = sorted(name for other, name in self.objects if other == kind and (after is None or name > after))
        items, size = [], 0
        for name in names[:self.page_size]:
            items.append(encode(self.objects[(kind, name)]))
            size += len(items[-1])
            if size >= MAX_PAGE_BYTES:
                break
        more = json.dumps(len(items) < len(names)).encode()
        return b'{"items":[%s],"more":%s,"at":%d}' % (b",".join(items), more, self.revision)

    async def _watch(self, kind, since, wait, writer):
        def found():
            return [event for revision, event_kind, event in self.events if revision > since and event_kind == kind]

        if since < self.history_from:
            writer.write(response(410))
            return True
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        while not found() and loop.time() < until:
            future = loop.create_future()
            self.waiting.add(future)
            await asyncio.wait([future], timeout=until - loop.time())
            self.waiting.discard(future)
        if self.silence_over is not None:
            await asyncio.shield(self.silence_over)
            return False
        events = [b'{"gone":%s,"object":%s}' % (json.dumps(event["gone"]).encode(), encode(event["object"]))
                  for event in found()]
        writer.write(response(200, b'{"events":[%s],"at":%d}' % (b",".join(events), self.revision)))
        return True


NESTINGS = {"arrays": (b"[", b"1", b"]"), "objects": (b'{"a":', b"1", b"}"), "mixed": (b'[{"a":', b"1", b"}]")}
DEPTHS = (500, 5_000, 50_000, 200_000, 1_000_000)


def nested(nesting, depth):
    opening, inner, closing = NESTINGS[nesting]
    levels = depth // 2 if nesting == "mixed" else depth
    return opening * levels + inner + closing * levels


class OddObject:
    """An object of another writer. `members`: JSON texts that replace those of a usual object, by path ("spec.slots",
    "metadata.name", "status"); an empty path replaces the object itself. `name`: under which the store keeps it.
    `refused`: no reader can take it for a valid record, so that the log has to name it."""

    def __init__(self, members=None, name="a-odd", kind="servers", refused=True):
        self.members, self.name, self.kind, self.refused = members or {}, name, kind, refused

    def encode(self, revision, record):
        """`record`: the content of a usual object."""
        if "" in self.members:
            return self.members[""]
        spec = {key: json.dumps(value).encode() for key, value in record.items()}
        metadata = {"name": encode_name(self.name), "revision": b"%d" % revision}
        item = {"metadata": metadata, "spec": spec, "status": b"null"}
        for path, text in self.members.items():
            first, _, second = path.partition(".")
            if second:
                item[first][second] = text
            else:
                item[first] = text
        return join({key: join(value) if isinstance(value, dict) else value for key, value in item.items()})


def join(members):
    return b"{" + b",".join(b'"%s":%s' % (key.encode(), value) for key, value in members.items()) + b"}"


def encode_name(name):
    """Returns the name as JSON in UTF-8; lone surrogates as escapes, except those that stand for bytes that are not
    UTF-8 (errors="surrogateescape")."""
    text = "".join(f"\\u{ord(c):04x}" if c < " " or c in '"\\' or "\ud800" <= c < "\udc80" else c for c in name)
    return b'"' + text.encode("utf-8", "surrogateescape") + b'"'


NAMES = {
    "utf8": "a\u011f-yedek-5c10", "beyond bmp": "a\U0001f600\u011f", "space": "a odd name", "quote": 'a"odd"',
    "slash": "a/../b/c", "percent": "a%2Fb%00%", "query": "a?watch=1&after=z#x", "control": "a\r\nX-Y: z\x00\x1b",
    "long": "a" * 200_000, "long utf8": "\u011f" * 60_000, "empty": "", "surrogate": "a\ud800b", "not utf8": "a\udcff\udc80b",
    "escape": "a\\u0000\\",
}
NAMES_OF_ENGINES = ("slash", "percent", "query")  # Printable words without quotes and backslashes are valid ids.
WRONG_TYPES = {"null": b"null", "string": b'"x"', "number": b"-1", "fraction": b"1.5", "array": b"[]", "object": b"{}",
               "true": b"true"}
FIELDS = ("metadata", "metadata.name", "metadata.revision", "spec", "spec.service", "spec.address", "spec.zone",
          "spec.slots", "spec.state", "spec.sequence", "spec.born", "spec.stage", "spec.version", "spec.spot", "status")
PORTS = {"port 0": "127.0.0.1:0", "port 65536": "127.0.0.1:65536", "port -1": "127.0.0.1:-1",
         "port of 40 digits": "127.0.0.1:" + 40 * "9", "no port": "127.0.0.1", "port empty": "127.0.0.1:"}
# Members without which no record can be read. The others may be left alone.
MUST_READ = ("", "metadata", "metadata.name", "spec", "spec.slots", "spec.sequence")


def deep_objects():
    forms = {}
    for place in ("spec", "", "status", "spec.x", "metadata", "metadata.name", "metadata.x"):
        for nesting in NESTINGS:
            for depth in DEPTHS:
                text = nested(nesting, depth)
                label = f"deep: {place or 'object'}, {nesting}, {depth}"
                forms[label] = OddObject({place: text}, refused=place in MUST_READ)
    return forms


def odd_numbers():
    forms = {}
    for text in (b"1e400", b"-1e400", b"1180591620717411303424", b"1" + 5000 * b"0"):
        for place in ("spec.x", "spec.slots", "spec.sequence", "metadata.revision", "metadata.x", "status", "spec"):
            label = text.decode() if len(text) < 30 else "5000 digits"
            forms[f"number: {place}, {label}"] = OddObject({place: text}, refused=place in MUST_READ)
    return forms


def odd_objects():
    """Returns every form of an odd object among those of the engines, by its label."""
    forms = {**deep_objects(), **odd_numbers()}
    for label, address in PORTS.items():
        forms[f"port: {label}"] = OddObject({"spec.address": json.dumps(address).encode()})
    for field in FIELDS:
        for label, text in WRONG_TYPES.items():
            forms[f"type: {field}, {label}"] = OddObject({field: text}, refused=False)
    for label, name in NAMES.items():
        forms[f"name: {label}"] = OddObject(name=name, refused=label not in NAMES_OF_ENGINES)
    forms["wide: array"] = OddObject({"spec.x": b"[" + b"1," * 450_000 + b"1]"}, refused=False)
    forms["wide: string"] = OddObject({"spec.service": b'"' + b"y" * 900_000 + b'"'}, refused=False)
    forms["wide: members"] = OddObject({"spec": b"{" + b",".join(b'"k%d":1' % i for i in range(80_000)) + b"}"})
    forms["bytes: not UTF-8"] = OddObject({"spec.zone": b'"\xff\xc0\x80\xed\xa0\x80"', "spec.x": b'"\xf8"'}, refused=False)
    forms["same member twice"] = OddObject({"spec": b'{"slots":1,"slots":{},"service":"model"}'})
    forms["same name twice"] = OddObject({"metadata": b'{"name":"e0","revision":1,"name":"a-odd"}'}, refused=False)
    return forms


def random_object(rng):
    """Returns a combination of odd members, under an odd name for every third."""
    texts = [lambda: nested(rng.choice(list(NESTINGS)), int(10 ** rng.uniform(0, 6))), lambda: b"1e400",
             lambda: b"%d" % 2 ** rng.randrange(30, 200), lambda: rng.choice(list(WRONG_TYPES.values())),
             lambda: b'"' + b"\xffy" * rng.randrange(400_000) + b'"']
    places = [*FIELDS, "spec.x", "metadata.x"]
    members = {place: rng.choice(texts)() for place in rng.sample(places, rng.randrange(1, 4))}
    whole = [place for place in members if place + "." in "".join(members) or place in ("metadata", "spec")]
    members = {place: text for place, text in members.items() if place in whole or place.split(".")[0] not in whole}
    name = rng.choice(list(NAMES.values())) if rng.random() < 1 / 3 else "a-odd"
    return OddObject(members, name=name, refused=False)
