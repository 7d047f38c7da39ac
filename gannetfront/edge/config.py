"""Configuration of the proxy on the platform: validates the environment and the configuration file.

Invalid values raise BadSetting, which names the environment variable or the field.
"""

from dataclasses import replace

from .. import host
from ..benchlink import codec
from ..benchlink.codec import BadSetting, Section
from ..memory import MIB, MemoryBudget
from ..wire import BadAnswer
from ..wire.numbers import decode_json
from ..wire.platform import Listing, UnreadableEntries, UnreadableState, news
from .budget import Budget

DEFAULT_MEMORY_MB = 192  # the most that the platform grants
MOST_HELD = 5000  # open requests of one process
EMPTY_LISTING = (0, True, [])
STATE_FIELDS = "build", "stage", "phase", "cap", "age_ms"
LISTING_FIELDS = ("hosts",)
MARGIN = 10.0  # ms subtracted from a client's time limit, so that the answer is written before it ends


def field(container, name, kind, where):
    """The field of an object of the file. Raises BadSetting if it is missing or not of the type `kind`.

    `where` is the path of the object, with its trailing dot, for the error message."""
    value = container.get(name)
    if not isinstance(value, kind) or isinstance(value, bool):
        expected = {dict: "an object", list: "a list"}[kind]
        raise BadSetting(f"{where}{name}: must be {expected}, not {str(value)[:40]!r}")
    return value


def host_port(text, where):
    """Returns an address in the form host:port; raises BadSetting for any other text."""
    try:
        host.address(text)
    except (ValueError, AttributeError):
        raise BadSetting(f"{where}: {str(text)[:60]!r} is not of the form host:port") from None
    return text


def read(path):
    """Reads the configuration file, a JSON object."""
    try:
        data = host.read_file(path)
        if data is None:
            raise BadSetting(f"{path}: no such file")
        document = decode_json(data)
    except (OSError, ValueError, RecursionError) as error:
        raise BadSetting(f"{path}: cannot be read: {str(error)[:200]}") from None
    if not isinstance(document, dict):
        raise BadSetting(f"{path}: must be an object")
    return document


def runtime_addresses(document):
    """The addresses that may change while the proxy runs: (discovery, release API)."""
    return (
        host_port(document.get("discovery"), "discovery"),
        host_port(field(document, "release_api", dict, "").get("address"), "release_api.address"),
    )


def section_with(container, name, fields, where):
    """The object `name` of the file, which must have one of `fields` at least. Raises BadSetting."""
    section = field(container, name, dict, where)
    if not any(one in section for one in fields):
        raise BadSetting(f"{where}{name}: must have {', '.join(fields)}")
    return section


def read_state(told):
    """(the release state, None), or (None, the UnreadableState): the proxy starts without one and asks for it."""
    try:
        return news(told), None
    except UnreadableState as error:
        return None, error


def read_listing(listing, told):
    """(the listing, None), or (the entries that can be read, the BadAnswer): the list may be out of date anyway,
    and the complete one is asked for."""
    try:
        return listing.listing(told), None
    except UnreadableEntries as error:
        return error.listing, error
    except BadAnswer as error:
        return EMPTY_LISTING, error


class Start:
    """The validated configuration from which a proxy is built."""

    def __init__(self, document, environment):
        """`document` is what read() returns; `environment` overrides some of its addresses."""
        settings = field(document, "settings", dict, "")
        self.facts = codec.deployment_from_settings(settings)
        zones, kinds = (
            field(settings, "localities", list, "settings."),
            field(settings, "models", list, "settings."),
        )
        if self.facts.zone >= len(zones):
            raise BadSetting(
                f"settings.myZone: must be one of the {len(zones)} localities, not {self.facts.zone}"
            )
        self.me, self.listing = self.facts.me, Listing(zones, kinds)
        self.listen = host_port(environment.get("EDGE_LISTEN") or document.get("listen"), "EDGE_LISTEN")
        self.discovery, self.release_api = runtime_addresses(document)
        if environment.get("EDGE_DISCOVERY"):
            self.discovery = host_port(environment["EDGE_DISCOVERY"], "EDGE_DISCOVERY")
        ceilings = Section(field(settings, "ceilings", dict, "settings."), "settings.ceilings.")
        limits = Section(field(document, "limits", dict, ""), "limits.")
        self.connect_limit = ceilings.positive_number("connectTimeoutMs")
        # Well before the server closes an idle connection: a request that crosses the close may have been
        # executed.
        self.pool_idle = 0.5 * ceilings.positive_number("idleCloseMs")
        self.most_held = max(1, int(min(ceilings.positive_number("mostHeld"), MOST_HELD)))
        memory_mb = limits.positive_number("memory_mb") if "memory_mb" in limits.values else DEFAULT_MEMORY_MB
        self.memory = MemoryBudget(int(memory_mb * MIB))
        self.budget = Budget(int(limits.positive_number("sockets")), self.memory)
        seed = str(document.get("seed", ""))
        try:
            self.seed = int(seed, 16)
        except ValueError:
            raise BadSetting(f"seed: {seed[:40]!r} is not hexadecimal") from None
        self.initial_state, self.unreadable_state = read_state(
            section_with(document["release_api"], "news", STATE_FIELDS, "release_api.")
        )
        self.initial_listing, self.unreadable_listing = read_listing(
            self.listing, section_with(document, "known", LISTING_FIELDS, "")
        )
        # limits: time limit in ms by operation index. operations: name in bytes -> (index, fingerprinted),
        # for wire/pg.
        self.limits = [operation.time_limit for operation in self.facts.operations]
        self.operations = {
            operation.name.encode(): (index, operation.effect == "fingerprinted")
            for index, operation in enumerate(self.facts.operations)
        }
        self.operation_indexes = {
            operation.name: index for index, operation in enumerate(self.facts.operations)
        }
        peers = document.get("peers") or []
        if not isinstance(peers, list):
            raise BadSetting("peers: must be a list")
        peers_by_id = {
            str(index): host_port(address, f"peers[{index}]") for index, address in enumerate(peers)
        }
        self.peers = {peer_id: address for peer_id, address in peers_by_id.items() if peer_id != str(self.me)}
        self.peer_listen = (
            host_port(document["peer_listen"], "peer_listen") if document.get("peer_listen") else None
        )
        if not self.peer_listen:
            # The setting allows signals, but without an address to listen at none can be received from peers.
            self.facts = replace(self.facts, may_signal=False)
