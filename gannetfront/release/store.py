"""What the controller must not forget, in SQLite: deliveries answered, offers, stages, places. Each change is on disk before
anyone is told (journal in WAL, every commit synced). One file, one schema version, migrated forward at the start.
"""

import json
import sqlite3

from .. import host

STEPS = (  # the schema, version by version; a store is brought up one step at a time
    """CREATE TABLE deliveries (pipeline TEXT, id TEXT, build INTEGER, at REAL, status INTEGER, answer TEXT,
                                PRIMARY KEY (pipeline, id));
       CREATE TABLE moves (number INTEGER PRIMARY KEY, at REAL, what TEXT, facts TEXT);
       CREATE TABLE state (one INTEGER PRIMARY KEY CHECK (one = 1), saved TEXT, at REAL);""",
    """CREATE INDEX deliveries_at ON deliveries (at);""",
    """CREATE TABLE acting (one INTEGER PRIMARY KEY CHECK (one = 1), epoch INTEGER, holder TEXT, beat INTEGER);
       CREATE TABLE orders (number INTEGER PRIMARY KEY, at REAL, kind TEXT, build INTEGER, by_whom TEXT, why TEXT,
                            state TEXT, answer TEXT);
       CREATE INDEX orders_state ON orders (state, number);
       CREATE TABLE outbox (number INTEGER PRIMARY KEY, receiver TEXT, build INTEGER, body TEXT, at REAL, tries INTEGER,
                            state TEXT, why TEXT);
       CREATE INDEX outbox_state ON outbox (state, receiver, number);""",
)


BUSY = 1.0  # seconds that a write waits for another process's
STARTS = 10  # times that long, at the start: whoever made the file may be waiting for a slow disk


class BadStore(Exception):
    pass


class Fenced(Exception):
    """Another controller has taken its turn: nothing that this one decides counts any more."""


class Store:
    """Times are seconds of the calendar clock: they must mean the same after a restart. `epoch` is that of the turn in which
    its owner acts; every write of decisions is fenced by it. None: nobody takes turns."""

    def __init__(self, path):
        self.epoch, self.read_at = None, None
        for left in range(STARTS - 1, -1, -1):
            try:
                return self.begin(path)
            except sqlite3.OperationalError as trouble:
                # Two that start together on a new file: its way into WAL mode is not waited for as other writes are.
                if "locked" not in str(trouble) or not left:
                    raise BadStore(f"{path}: {trouble}") from None
                host.sleep(100 * BUSY)
            except sqlite3.Error as trouble:
                raise BadStore(f"{path}: {trouble}") from None

    def begin(self, path):
        self.db = sqlite3.connect(path, isolation_level=None, timeout=BUSY, check_same_thread=False)
        try:
            self.db.execute("PRAGMA journal_mode=WAL")
            self.db.execute("PRAGMA synchronous=FULL")
            # Looked at before anything is locked: whoever only reads must not hold up the controller that acts.
            while self.version() < len(STEPS):
                # Each version in one step: killed within it, the store is that of the version before. Two that start at
                # once take turns, and the second finds it done.
                with self.step(fenced=False):
                    version = self.version()
                    if version < len(STEPS):
                        for statement in STEPS[version].split(";"):
                            self.db.execute(statement)
                        self.db.execute(f"PRAGMA user_version={version + 1}")
            if self.version() > len(STEPS):
                raise BadStore(
                    f"{path}: written by a later version ({self.version()}, known here {len(STEPS)})"
                )
        except BaseException:
            self.db.close()
            raise

    def version(self):
        return self.db.execute("PRAGMA user_version").fetchone()[0]

    # ---- whose turn it is ----

    def turn(self):
        """(epoch, holder, beat); all empty where there has been none."""
        return self.db.execute("SELECT epoch, holder, beat FROM acting").fetchone() or (0, "", 0)

    def take_turn(self, holder, seen):
        """The new epoch, or None where somebody else has moved since `seen`. Epochs only rise, also past those of a store
        that was lost: they are no lower than the calendar."""
        with self.step(fenced=False):
            if self.turn() != tuple(seen):
                return None
            epoch = max(seen[0] + 1, int(host.wall() * 1000))
            self.db.execute(
                "INSERT INTO acting VALUES (1,?,?,1) ON CONFLICT (one) DO UPDATE SET epoch=excluded.epoch, "
                "holder=excluded.holder, beat=1",
                (epoch, holder),
            )
        self.epoch = epoch
        return epoch

    def keep_turn(self):
        with self.step():
            self.db.execute("UPDATE acting SET beat=beat+1")

    def leave_turn(self):
        with self.step():
            self.db.execute("UPDATE acting SET holder=''")
        self.epoch = None

    def step(self, fenced=True):
        self.db.execute("BEGIN IMMEDIATE")
        if fenced and self.epoch is not None and self.turn()[0] != self.epoch:
            self.db.execute("ROLLBACK")
            raise Fenced()
        return Step(self.db)

    def answered(self, pipeline, ident):
        """(status, answer) given to this delivery before, or None."""
        return self.db.execute(
            "SELECT status, answer FROM deliveries WHERE pipeline=? AND id=?", (pipeline, ident)
        ).fetchone()

    def deliver(self, pipeline, ident, build, status, answer, saved):
        """The delivery and what it changed, in one step."""
        with self.step():
            self.db.execute(
                "INSERT INTO deliveries VALUES (?,?,?,?,?,?)",
                (pipeline, ident, build, host.wall(), status, answer),
            )
            self.save(saved)

    def record(self, moves, saved, orders=(), letters=()):
        """A round in one step: its moves, as (what, facts), where it left things, the orders it answered, as (number, fine,
        text), and what is to be sent, as (receiver, build, body)."""
        with self.step():
            for what, facts in moves:
                self.db.execute(
                    "INSERT INTO moves (at, what, facts) VALUES (?,?,?)",
                    (host.wall(), what, json.dumps(facts)),
                )
            for number, fine, text in orders:
                self.db.execute(
                    "UPDATE orders SET state=?, answer=? WHERE number=?",
                    ("done" if fine else "refused", text, number),
                )
            for letter in letters:
                self.db.execute(
                    "INSERT INTO outbox (receiver, build, body, at, tries, state, why) VALUES (?,?,?,?,0,'due','')",
                    (*letter, host.wall()),
                )
            self.save(saved)

    def save(self, saved):
        self.db.execute(
            "INSERT INTO state VALUES (1,?,?) ON CONFLICT (one) DO UPDATE SET saved=excluded.saved, at=excluded.at",
            (json.dumps(saved), host.wall()),
        )

    def restore(self):
        """(saved, seconds ago), or None for a store that is new."""
        row = self.db.execute("SELECT saved, at FROM state").fetchone()
        return row and (json.loads(row[0]), max(0.0, host.wall() - row[1]))

    def history(self, most=100):
        return [
            dict(number=n, at=at, what=what, **json.loads(facts))
            for n, at, what, facts in self.db.execute(
                "SELECT number, at, what, facts FROM moves ORDER BY number DESC LIMIT ?", (most,)
            )
        ][::-1]

    def forget(self, older_than):
        """Deliveries past the time in which a pipeline repeats them, in seconds; with them what was sent or given up."""
        with self.step(fenced=False):
            self.db.execute("DELETE FROM deliveries WHERE at < ?", (host.wall() - older_than,))
            self.db.execute("DELETE FROM outbox WHERE state != 'due' AND at < ?", (host.wall() - older_than,))
            self.db.execute("DELETE FROM orders WHERE state != 'new' AND at < ?", (host.wall() - older_than,))

    # ---- operators' orders ----

    def put_order(self, kind, build, by, why):
        """Its number; whichever controller acts takes it up."""
        with self.step(fenced=False):
            return self.db.execute(
                "INSERT INTO orders (at, kind, build, by_whom, why, state, answer) VALUES (?,?,?,?,?,'new','')",
                (host.wall(), kind, build, by, why),
            ).lastrowid

    def order(self, number):
        return self.db.execute("SELECT state, answer FROM orders WHERE number=?", (number,)).fetchone()

    def withdraw_order(self, number):
        """True where nobody had taken it up: it never will be."""
        with self.step(fenced=False):
            return (
                self.db.execute(
                    "UPDATE orders SET state='withdrawn' WHERE number=? AND state='new'", (number,)
                ).rowcount
                == 1
            )

    def new_orders(self):
        """Orders not yet answered, as (number, kind, build, by, why); looks at the file only where another wrote to it."""
        version = self.db.execute("PRAGMA data_version").fetchone()[0]
        if version == self.read_at:
            return []
        self.read_at = version
        return self.db.execute(
            "SELECT number, kind, build, by_whom, why FROM orders WHERE state='new' ORDER BY number"
        ).fetchall()

    # ---- what is sent to receivers ----

    def letters(self, state, receiver=None, most=256):
        """(number, receiver, build, body, at, tries, why), oldest first."""
        return self.db.execute(
            "SELECT number, receiver, build, body, at, tries, why FROM outbox WHERE state=? AND "
            "receiver=ifnull(?, receiver) ORDER BY number LIMIT ?",
            (state, receiver, most),
        ).fetchall()

    def keep_letter(self, number, tries, state, why):
        with self.step():
            self.db.execute(
                "UPDATE outbox SET tries=?, state=?, why=? WHERE number=?", (tries, state, why[:200], number)
            )

    def send_again(self, numbers=None):
        """Dead letters become due again; all of them, or those numbered. How many."""
        with self.step(fenced=False):
            some = [n for n, *_ in self.letters("dead", most=10**6) if numbers is None or n in numbers]
            for number in some:
                self.db.execute("UPDATE outbox SET state='due', tries=0 WHERE number=?", (number,))
            return len(some)

    def snapshot(self, path):
        """A whole copy, taken while a controller goes on writing."""
        with sqlite3.connect(path) as other:
            self.db.backup(other)
        other.close()

    def take_from(self, other, by, why):
        """All of `other` in one step, but for whose turn it is: epochs must not fall."""
        epoch = max(self.turn()[0], other.turn()[0])
        other.snapshot(":memory:")  # raises sqlite3.Error where it is damaged, before anything is replaced
        with self.step(fenced=False):
            for table in ("deliveries", "moves", "state", "orders", "outbox"):
                self.db.execute(f"DELETE FROM {table}")
                rows = other.db.execute(f"SELECT * FROM {table}").fetchall()
                if rows:
                    self.db.executemany(f"INSERT INTO {table} VALUES ({','.join('?' * len(rows[0]))})", rows)
            self.db.execute(
                "INSERT INTO moves (at, what, facts) VALUES (?,?,?)",
                (host.wall(), "restored", json.dumps(dict(by=by, why=why))),
            )
            self.db.execute(
                "INSERT INTO acting VALUES (1,?,'',0) ON CONFLICT (one) DO UPDATE SET epoch=excluded.epoch, holder=''",
                (epoch,),
            )

    def close(self):
        self.db.close()


class Aside:
    """A Store whose calls are made in a thread of their own, one after the other, in the order in which they come: whoever
    calls waits for the disk, the other greenlets of the controller go on."""

    def __init__(self, store):
        self.__dict__.update(store=store, worker=host.Worker())

    def __getattr__(self, name):
        real = getattr(self.store, name)
        return (lambda *fields, **named: self.worker.call(real, *fields, **named)) if callable(real) else real

    def __setattr__(self, name, value):
        setattr(self.store, name, value)


class Step:
    def __init__(self, db):
        self.db = db

    def __enter__(self):
        return self

    def __exit__(self, kind, *_):
        self.db.execute("ROLLBACK" if kind else "COMMIT")
