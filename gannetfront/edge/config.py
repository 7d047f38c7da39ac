"""What the platform tells a proxy at its start: environment and configuration file, checked, as the figures that are used.

Whatever is wrong raises BadSetting, which names the variable or the field.
"""

import json
from dataclasses import replace
from math import isfinite

from .. import host
from ..benchlink import codec
from ..benchlink.codec import BadSetting
from ..wire import BadAnswer
from ..wire.platform import Listing, news
from .budget import Budget

MARGIN = 10.0  # ms kept back, so that an answer is written before the client's time is up


def part(whole, name, kind, where):
    value = whole.get(name)
    if not isinstance(value, kind) or isinstance(value, bool):
        word = {dict: "an object", list: "a list", str: "text", (int, float): "a number"}[kind]
        raise BadSetting(f"{where}{name}: must be {word}, not {str(value)[:40]!r}")
    return value


def place(text, where):
    try:
        host.address(text)
    except (ValueError, AttributeError):
        raise BadSetting(f"{where}: {str(text)[:60]!r} is no host:port") from None
    return text


def read(path):
    """The file as an object."""
    try:
        data = host.read_file(path)
        if data is None:
            raise BadSetting(f"{path}: there is no such file")
        told = json.loads(data)
    except (OSError, ValueError, RecursionError) as trouble:
        raise BadSetting(f"{path}: cannot be read: {str(trouble)[:200]}") from None
    if not isinstance(told, dict):
        raise BadSetting(f"{path}: must be an object")
    return told


def moved(told):
    """The addresses that may change while the proxy runs: (discovery, release API)."""
    return (
        place(told.get("discovery"), "discovery"),
        place(part(told, "release_api", dict, "").get("address"), "release_api.address"),
    )


class Start:
    """The figures that a proxy is built from."""

    def __init__(self, told, environment):
        settings = part(told, "settings", dict, "")
        self.facts = codec.deployment_from_settings(settings)
        zones, kinds = (
            part(settings, "localities", list, "settings."),
            part(settings, "models", list, "settings."),
        )
        if self.facts.zone >= len(zones):
            raise BadSetting(
                f"settings.myZone: must be one of the {len(zones)} localities, not {self.facts.zone}"
            )
        self.me, self.listing = self.facts.me, Listing(zones, kinds)
        self.listen = place(environment.get("EDGE_LISTEN") or told.get("listen"), "EDGE_LISTEN")
        self.discovery, self.release_api = moved(told)
        if environment.get("EDGE_DISCOVERY"):
            self.discovery = place(environment["EDGE_DISCOVERY"], "EDGE_DISCOVERY")
        ceilings, limits = part(settings, "ceilings", dict, "settings."), part(told, "limits", dict, "")

        def count(whole, name, where):
            return part(whole, name, (int, float), where)

        self.connect_limit = count(ceilings, "connectTimeoutMs", "settings.ceilings.")
        # Well before the server's own end: a request that crosses it may have run.
        self.pool_idle = 0.5 * count(ceilings, "idleCloseMs", "settings.ceilings.")
        self.most_held = int(min(count(ceilings, "mostHeld", "settings.ceilings."), 5000))
        for name, value in (
            ("connectTimeoutMs", self.connect_limit),
            ("idleCloseMs", self.pool_idle),
            ("mostHeld", self.most_held),
        ):
            if not isfinite(value) or value <= 0:
                raise BadSetting(f"settings.ceilings.{name}: must be above 0")
        self.budget = Budget(int(count(limits, "sockets", "limits.")))
        seed = str(told.get("seed", ""))
        try:
            self.seed = int(seed, 16)
        except ValueError:
            raise BadSetting(f"seed: {seed[:40]!r} is not hexadecimal") from None
        try:
            self.news = news(part(told["release_api"], "news", dict, "release_api."))
        except BadAnswer as bad:
            raise BadSetting(f"release_api.news: {bad}") from None
        try:
            self.known = self.listing.listing(part(told, "known", dict, ""))
        except BadAnswer as bad:
            raise BadSetting(f"known: {bad}") from None
        # The time limit, by operation; names in bytes to what a statement is read by.
        self.limits = [o.time_limit for o in self.facts.operations]
        self.operations = {
            o.name.encode(): (n, o.effect == "fingerprinted") for n, o in enumerate(self.facts.operations)
        }
        self.by_name = {o.name: n for n, o in enumerate(self.facts.operations)}
        peers = told.get("peers") or []
        if not isinstance(peers, list):
            raise BadSetting("peers: must be a list")
        named = {str(n): place(at, f"peers[{n}]") for n, at in enumerate(peers)}
        self.peers = {ident: at for ident, at in named.items() if ident != str(self.me)}
        self.peer_listen = place(told["peer_listen"], "peer_listen") if told.get("peer_listen") else None
        if not self.peer_listen:
            self.facts = replace(self.facts, may_signal=False)  # allowed, but there is no way to the others
