"""The controller's durable state in an SQLite file: answered deliveries, moves, rollout state, the lease
of the leader, operators' orders and outgoing messages.

Each change is on disk before anyone is notified of it (journal mode WAL, every commit synced). The schema
has a version; an older file is migrated when it is opened."""

import json
import sqlite3

from .. import host

MIGRATIONS = (  # the migration to each schema version from the one before; they are applied one at a time
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


BUSY_TIMEOUT_S = 1.0  # seconds that a write waits for the lock of another process
OPEN_ATTEMPTS = 10  # attempts to open the file: the process that creates it may be waiting for a slow disk


class BadStore(Exception):
    """The file cannot be opened, is no store, or has a newer schema."""


class Fenced(Exception):
    """Another controller has become the leader; the decisions of this one no longer count."""


class Store:
    """The store in one file. Times are seconds of the calendar clock, because they must mean the same
    after a restart. `epoch` is the epoch under which the owner leads, and every write of decisions is
    fenced by it; None: it does not lead, or there is no election, and writes are not fenced."""

    def __init__(self, path):
        """Opens the file, or creates it. Raises BadStore."""
        self.epoch, self.seen_data_version = None, None
        for attempts_left in range(OPEN_ATTEMPTS - 1, -1, -1):
            try:
                return self.open(path)
            except sqlite3.OperationalError as error:
                # The busy timeout does not cover the switch to WAL mode, which two processes that start
                # together on a new file both make.
                if "locked" not in str(error) or not attempts_left:
                    raise BadStore(f"{path}: {error}") from None
                host.sleep(100 * BUSY_TIMEOUT_S)
            except sqlite3.Error as error:
                raise BadStore(f"{path}: {error}") from None

    def open(self, path):
        """Connects and migrates the schema. Raises sqlite3.Error or BadStore."""
        self.db = sqlite3.connect(path, isolation_level=None, timeout=BUSY_TIMEOUT_S, check_same_thread=False)
        try:
            self.db.execute("PRAGMA journal_mode=WAL")
            self.db.execute("PRAGMA synchronous=FULL")
            # The version is read before anything is locked: a process that only reads must not delay the
            # leader's writes.
            while self.schema_version() < len(MIGRATIONS):
                # One transaction for each version: a process killed within it leaves the version before. The
                # second of two processes that start at once finds the version already there.
                with self.transaction(fenced=False):
                    version = self.schema_version()
                    if version < len(MIGRATIONS):
                        for statement in MIGRATIONS[version].split(";"):
                            self.db.execute(statement)
                        self.db.execute(f"PRAGMA user_version={version + 1}")
            if self.schema_version() > len(MIGRATIONS):
                raise BadStore(
                    f"{path}: written by a later version (schema {self.schema_version()}, "
                    f"newest supported {len(MIGRATIONS)})"
                )
        except BaseException:
            self.db.close()
            raise

    def schema_version(self):
        return self.db.execute("PRAGMA user_version").fetchone()[0]

    # ---- leader election ----

    def lease_state(self):
        """(epoch, leader's name or '', heartbeat); (0, '', 0) where there was never a leader."""
        return self.db.execute("SELECT epoch, holder, beat FROM acting").fetchone() or (0, "", 0)

    def acquire_lease(self, name, observed):
        """Makes `name` the leader and returns the new epoch, or None where the lease has changed since it
        was read as `observed`. An epoch is never lower than the calendar time in ms, so that epochs also
        rise past those of a store that was lost."""
        with self.transaction(fenced=False):
            if self.lease_state() != tuple(observed):
                return None
            epoch = max(observed[0] + 1, int(host.wall() * 1000))
            self.db.execute(
                "INSERT INTO acting VALUES (1,?,?,1) ON CONFLICT (one) DO UPDATE SET epoch=excluded.epoch, "
                "holder=excluded.holder, beat=1",
                (epoch, name),
            )
        self.epoch = epoch
        return epoch

    def renew_lease(self):
        """Renews the leader's lease by a heartbeat. Raises Fenced."""
        with self.transaction():
            self.db.execute("UPDATE acting SET beat=beat+1")

    def release_lease(self):
        """Gives up the lease, so that a standby may take over at once. Raises Fenced."""
        with self.transaction():
            self.db.execute("UPDATE acting SET holder=''")
        self.epoch = None

    def transaction(self, fenced=True):
        """Begins a write transaction, to be used in a `with` statement. If `fenced`, raises Fenced where
        another controller has become the leader."""
        self.db.execute("BEGIN IMMEDIATE")
        if fenced and self.epoch is not None and self.lease_state()[0] != self.epoch:
            self.db.execute("ROLLBACK")
            raise Fenced()
        return Transaction(self.db)

    # ---- deliveries, moves and the rollout's state ----

    def find_answer(self, pipeline, delivery_id):
        """The (status, answer) that this delivery got before, or None."""
        return self.db.execute(
            "SELECT status, answer FROM deliveries WHERE pipeline=? AND id=?", (pipeline, delivery_id)
        ).fetchone()

    def deliver(self, pipeline, delivery_id, build, status, answer, saved):
        """Stores a delivery, its answer and the rollout's state after it, in one transaction."""
        with self.transaction():
            self.db.execute(
                "INSERT INTO deliveries VALUES (?,?,?,?,?,?)",
                (pipeline, delivery_id, build, host.wall(), status, answer),
            )
            self.save(saved)

    def record(self, moves, saved, orders=(), messages=()):
        """Stores the outcome of a round in one transaction: its moves, as (what, facts), the rollout's
        state after it, the orders that it answered, as (number, accepted, text), and the messages to be
        sent, as (receiver, build, body)."""
        with self.transaction():
            for what, facts in moves:
                self.db.execute(
                    "INSERT INTO moves (at, what, facts) VALUES (?,?,?)",
                    (host.wall(), what, json.dumps(facts)),
                )
            for number, accepted, text in orders:
                self.db.execute(
                    "UPDATE orders SET state=?, answer=? WHERE number=?",
                    ("done" if accepted else "refused", text, number),
                )
            for message in messages:
                self.db.execute(
                    "INSERT INTO outbox (receiver, build, body, at, tries, state, why) VALUES (?,?,?,?,0,'due','')",
                    (*message, host.wall()),
                )
            self.save(saved)

    def save(self, saved):
        self.db.execute(
            "INSERT INTO state VALUES (1,?,?) ON CONFLICT (one) DO UPDATE SET saved=excluded.saved, at=excluded.at",
            (json.dumps(saved), host.wall()),
        )

    def restore(self):
        """(the rollout's state, seconds since it was stored), or None in a new store."""
        row = self.db.execute("SELECT saved, at FROM state").fetchone()
        return row and (json.loads(row[0]), max(0.0, host.wall() - row[1]))

    def history(self, limit=100):
        """The latest `limit` moves, oldest first, each as a dict of number, at, what and its facts."""
        return [
            dict(number=n, at=at, what=what, **json.loads(facts))
            for n, at, what, facts in self.db.execute(
                "SELECT number, at, what, facts FROM moves ORDER BY number DESC LIMIT ?", (limit,)
            )
        ][::-1]

    def delete_older(self, max_age):
        """Deletes what is older than `max_age` seconds, the time within which a pipeline may repeat a
        delivery: deliveries, messages that were sent or given up, and answered orders."""
        with self.transaction(fenced=False):
            self.db.execute("DELETE FROM deliveries WHERE at < ?", (host.wall() - max_age,))
            self.db.execute("DELETE FROM outbox WHERE state != 'due' AND at < ?", (host.wall() - max_age,))
            self.db.execute("DELETE FROM orders WHERE state != 'new' AND at < ?", (host.wall() - max_age,))

    # ---- operators' orders ----

    def add_order(self, kind, build, by, why):
        """Stores an order, which the leader reads in its next round. Returns its number."""
        with self.transaction(fenced=False):
            return self.db.execute(
                "INSERT INTO orders (at, kind, build, by_whom, why, state, answer) VALUES (?,?,?,?,?,'new','')",
                (host.wall(), kind, build, by, why),
            ).lastrowid

    def order_result(self, number):
        """(state, answer) of an order."""
        return self.db.execute("SELECT state, answer FROM orders WHERE number=?", (number,)).fetchone()

    def withdraw_order(self, number):
        """Withdraws an order that has no answer yet. True if it was withdrawn."""
        with self.transaction(fenced=False):
            return (
                self.db.execute(
                    "UPDATE orders SET state='withdrawn' WHERE number=? AND state='new'", (number,)
                ).rowcount
                == 1
            )

    def new_orders(self):
        """Orders without an answer, as (number, kind, build, by, why). They are queried only if another
        connection has written to the file since the last call; otherwise the list is empty."""
        version = self.db.execute("PRAGMA data_version").fetchone()[0]
        if version == self.seen_data_version:
            return []
        self.seen_data_version = version
        return self.db.execute(
            "SELECT number, kind, build, by_whom, why FROM orders WHERE state='new' ORDER BY number"
        ).fetchall()

    # ---- messages to receivers ----

    def messages(self, state, receiver=None, limit=256):
        """Up to `limit` messages in `state` (due, done or dead), oldest first, as (number, receiver,
        build, body, at, attempts, why)."""
        return self.db.execute(
            "SELECT number, receiver, build, body, at, tries, why FROM outbox WHERE state=? AND "
            "receiver=ifnull(?, receiver) ORDER BY number LIMIT ?",
            (state, receiver, limit),
        ).fetchall()

    def store_message_state(self, number, attempts, state, why):
        """Stores a message's state after an attempt. Raises Fenced."""
        with self.transaction():
            self.db.execute(
                "UPDATE outbox SET tries=?, state=?, why=? WHERE number=?",
                (attempts, state, why[:200], number),
            )

    def requeue_dead(self, numbers=None):
        """Makes dead letters due again: those in `numbers`, or all. Returns how many there were."""
        with self.transaction(fenced=False):
            dead = [n for n, *_ in self.messages("dead", limit=10**6) if numbers is None or n in numbers]
            for number in dead:
                self.db.execute("UPDATE outbox SET state='due', tries=0 WHERE number=?", (number,))
            return len(dead)

    # ---- backup ----

    def snapshot(self, path):
        """Writes a consistent copy to `path`, also while a controller goes on writing."""
        with sqlite3.connect(path) as copy:
            self.db.backup(copy)
        copy.close()

    def replace_contents(self, other, by, why):
        """Replaces the contents by those of the store `other` in one transaction. The epoch becomes the
        higher one of the two, because epochs must not fall, and there is no leader afterwards."""
        epoch = max(self.lease_state()[0], other.lease_state()[0])
        other.snapshot(":memory:")  # raises sqlite3.Error where it is damaged, before anything is replaced
        with self.transaction(fenced=False):
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


class ThreadedStore:
    """A Store whose methods run in one worker thread, in the order of the calls. The calling greenlet
    waits for the disk while the other greenlets of the controller go on."""

    def __init__(self, store):
        self.__dict__.update(store=store, worker=host.Worker())

    def __getattr__(self, name):
        attribute = getattr(self.store, name)
        return (
            (lambda *args, **kwargs: self.worker.call(attribute, *args, **kwargs))
            if callable(attribute)
            else attribute
        )

    def __setattr__(self, name, value):
        setattr(self.store, name, value)


class Transaction:
    """Context manager of a transaction that has begun: commits, or rolls back after an exception."""

    def __init__(self, db):
        self.db = db

    def __enter__(self):
        return self

    def __exit__(self, error_type, *_):
        self.db.execute("ROLLBACK" if error_type else "COMMIT")
