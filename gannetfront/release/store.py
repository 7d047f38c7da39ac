"""What the controller must not forget, in SQLite: deliveries answered, offers, stages, places. Each change is on disk before
anyone is told (journal in WAL, every commit synced). One file, one schema version, migrated forward at the start.
"""
import json
import sqlite3

from .. import host

STEPS = (   # the schema, version by version; a store is brought up one step at a time
    """CREATE TABLE deliveries (pipeline TEXT, id TEXT, build INTEGER, at REAL, status INTEGER, answer TEXT,
                                PRIMARY KEY (pipeline, id));
       CREATE TABLE moves (number INTEGER PRIMARY KEY, at REAL, what TEXT, facts TEXT);
       CREATE TABLE state (one INTEGER PRIMARY KEY CHECK (one = 1), saved TEXT, at REAL);""",
    """CREATE INDEX deliveries_at ON deliveries (at);""",
)


class BadStore(Exception):
    pass


class Store:
    """Times are seconds of the calendar clock: they must mean the same after a restart."""

    def __init__(self, path):
        try:
            self.db = sqlite3.connect(path, isolation_level=None)
            self.db.execute("PRAGMA journal_mode=WAL")
            self.db.execute("PRAGMA synchronous=FULL")
            version = self.db.execute("PRAGMA user_version").fetchone()[0]
            if version > len(STEPS):
                raise BadStore(f"{path}: written by a later version ({version}, known here {len(STEPS)})")
            for number in range(version, len(STEPS)):
                self.db.executescript(f"BEGIN; {STEPS[number]} PRAGMA user_version={number + 1}; COMMIT;")
        except sqlite3.Error as trouble:
            raise BadStore(f"{path}: {trouble}") from None

    def answered(self, pipeline, ident):
        """(status, answer) given to this delivery before, or None."""
        return self.db.execute("SELECT status, answer FROM deliveries WHERE pipeline=? AND id=?", (pipeline, ident)).fetchone()

    def deliver(self, pipeline, ident, build, status, answer, saved):
        """The delivery and what it changed, in one step."""
        with self.step():
            self.db.execute("INSERT INTO deliveries VALUES (?,?,?,?,?,?)", (pipeline, ident, build, host.wall(), status, answer))
            self.save(saved)

    def record(self, moves, saved):
        """A round: its moves, as (what, facts), and where it left things."""
        with self.step():
            for what, facts in moves:
                self.db.execute("INSERT INTO moves (at, what, facts) VALUES (?,?,?)", (host.wall(), what, json.dumps(facts)))
            self.save(saved)

    def save(self, saved):
        self.db.execute("INSERT INTO state VALUES (1,?,?) ON CONFLICT (one) DO UPDATE SET saved=excluded.saved, at=excluded.at",
                        (json.dumps(saved), host.wall()))

    def step(self):
        self.db.execute("BEGIN IMMEDIATE")
        return Step(self.db)

    def restore(self):
        """(saved, seconds ago), or None for a store that is new."""
        row = self.db.execute("SELECT saved, at FROM state").fetchone()
        return row and (json.loads(row[0]), max(0.0, host.wall() - row[1]))

    def history(self, most=100):
        return [dict(number=n, at=at, what=what, **json.loads(facts)) for n, at, what, facts in self.db.execute(
            "SELECT number, at, what, facts FROM moves ORDER BY number DESC LIMIT ?", (most,))][::-1]

    def forget(self, older_than):
        """Deliveries past the time in which a pipeline repeats them, in seconds."""
        self.db.execute("DELETE FROM deliveries WHERE at < ?", (host.wall() - older_than,))

    def snapshot(self, path):
        with sqlite3.connect(path) as other:
            self.db.backup(other)

    def close(self):
        self.db.close()


class Step:
    def __init__(self, db):
        self.db = db

    def __enter__(self):
        return self

    def __exit__(self, kind, *_):
        self.db.execute("ROLLBACK" if kind else "COMMIT")
