"""Whether the trails agree with what crossed the sockets, and webhooks with what was decided. No I/O.

The records of clients, nodes, pipeline and receiver are the measure; a trail that says less, or something else, is wrong.
"""

from collections import defaultdict

from ..release.outbox import EVENT_TYPES


def trails(fleet, tries, dispatches, kept, events, slack=60.0):
    """(checked, [story]). `kept` is {proxy: [(seq, at, kind, facts)]}. A proxy killed outright may not have written the
    answers of its last moment; an intent is on disk before the dispatch, whatever happens."""
    effect = {o.name: o.effect for o in fleet.operation}
    killed, slow, held_up = defaultdict(list), [], []
    for e in sorted(events, key=lambda e: e["at"]):
        if e["what"] == "proxy killed":
            killed[e["who"]].append(e["at"])
        elif e["what"] == "disk slow" and e["who"] in ("proxy", "all"):
            slow.append(
                (e["at"], *map(float, e["detail"].split()))
            )  # until when; ms that a call takes, 0: until then
        elif e["what"] == "disk held up":
            held_up.append((e["at"], float(e["detail"])))

    def unwritten(proxy, at):
        """True where what it answered then may have waited for its disk when it was killed: for the write that was out, then
        for its own, each as long as the witness of the disk waited then, or as a script made it."""
        for k in killed[proxy]:
            writes = [ms for begin, ms in held_up if begin <= k + slack and begin + ms >= k - 1000]
            writes += [ms or k - begin for begin, until, ms in slow if begin <= k <= until + ms]
            if k - slack - 2 * max(writes, default=0.0) <= at <= k + slack:
                return True
        return False

    intents, answers = set(), defaultdict(list)
    for proxy, rows in kept.items():
        for _, _, kind, facts in rows:
            if kind == "intent":
                intents.add((proxy, facts["request"], facts["seq"]))
            elif kind == "answer":
                answers[proxy, facts["request"]].append(facts["answer"])
    checked, stories = 0, []
    for d in dispatches:
        proxy = d["proxy"].rpartition("/")[2]
        if proxy in kept and effect.get(d["operation"]) == "side-effecting":
            checked += 1
            if (proxy, d["request"], d["seq"]) not in intents:
                stories.append(
                    f"{d['request']}: dispatch {d['seq']} by proxy {proxy} reached {d['node']} and no trail knows of it"
                )
    for t in tries:
        proxy = str(t["proxy"])
        if (
            proxy not in kept
            or t["answer"] not in ("succeeded", "terminated")
            or t["status"] in (400, 403, 404, 405)
        ):
            continue
        checked += 1
        said = answers[proxy, t["request"]]
        if not said and unwritten(proxy, t["ended"]):
            continue
        if len(said) != 1 or said[0] != t["answer"]:
            stories.append(
                f"{t['request']}: its client was told '{t['answer']}', proxy {proxy}'s trail says {said or 'nothing'}"
            )
    return checked, stories


def webhooks(events, moves):
    """(checked, [story]): a delivery has one answer however often it came; each move of a build reached the receiver, signed,
    those of one build in order (a repeat may come late). `moves` as Store.history tells them."""
    checked, stories, answers, first = 0, [], defaultdict(set), {}
    for e in sorted(events, key=lambda e: e["at"]):
        if e["what"] == "webhook answered":
            checked += 1
            answers[e["who"]].add(e["detail"])
        elif e["what"] in ("webhook unanswered", "letter badly signed"):
            stories.append(f"{e['what']}: {e['who']} {e['detail']}")
        elif e["what"] == "letter":
            first.setdefault(int(e["who"].rpartition("_")[2]), e["detail"])
    stories += [
        f"{ident} was answered in {len(some)} ways: {sorted(some)}"
        for ident, some in sorted(answers.items())
        if len(some) > 1
    ]
    by_build = defaultdict(list)
    for number, detail in first.items():  # in the order of arrival
        by_build[detail.split()[0]].append(number)
    for build, numbers in sorted(by_build.items()):
        checked += len(numbers)
        if numbers != sorted(numbers):
            stories.append(f"letters of build {build} came as {numbers}")
    told = sorted(tuple(detail.split()) for detail in first.values())
    due = sorted((str(m["build"]), EVENT_TYPES[m["phase"]]) for m in moves if m["what"] == "stage")
    if told != due:
        stories.append(f"moves {due} but letters {told}")
    return checked, stories
