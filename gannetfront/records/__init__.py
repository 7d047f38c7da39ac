"""What crossed the sockets, as Arrow streams: a file a table and process, readable up to where a process died."""

import pyarrow as pa

from .. import host

STRING, FLOAT, INTEGER, BOOLEAN = pa.string(), pa.float64(), pa.int64(), pa.bool_()
NAMES = {
    # a client's try: one row when it ended for the client
    "tries": dict(
        request=STRING,
        work=STRING,
        proxy=INTEGER,
        operation=STRING,
        tenant=STRING,
        mark=STRING,
        due=FLOAT,
        sent=FLOAT,
        patience=FLOAT,
        ended=FLOAT,
        answer=STRING,
        status=INTEGER,
        retry_after=FLOAT,
        nth=INTEGER,
        after=INTEGER,
    ),
    # a dispatch that reached a node: one row when the node was through with it
    "dispatches": dict(
        request=STRING,
        proxy=STRING,
        seq=INTEGER,
        operation=STRING,
        mark=STRING,
        node=STRING,
        incarnation=INTEGER,
        build=INTEGER,
        zone=INTEGER,
        cell=INTEGER,
        came=FLOAT,
        began=FLOAT,
        ended=FLOAT,
        outcome=STRING,
        effect=BOOLEAN,
        work=FLOAT,
    ),
    # a node's life
    "nodes": dict(
        at=FLOAT,
        node=STRING,
        slot=INTEGER,
        incarnation=INTEGER,
        build=INTEGER,
        zone=INTEGER,
        cell=INTEGER,
        what=STRING,
        power=FLOAT,
        cold=FLOAT,
        cold_for=FLOAT,
    ),
    # each entry or stage as it was written into a proxy's link
    "told": dict(
        at=FLOAT,
        proxy=STRING,
        kind=STRING,
        whole=BOOLEAN,
        revision=INTEGER,
        node=STRING,
        incarnation=INTEGER,
        build=INTEGER,
        state=STRING,
        stage=INTEGER,
        cap=FLOAT,
        phase=INTEGER,
    ),
    # an act of a duty, by whoever was acted upon: under which token, which step, what became of it
    "acts": dict(
        at=FLOAT,
        duty=STRING,
        place=STRING,
        round=INTEGER,
        number=INTEGER,
        life=INTEGER,
        step=INTEGER,
        how=STRING,
        why=STRING,
    ),
    # what happened to processes and votes, for the story
    "events": dict(at=FLOAT, what=STRING, who=STRING, detail=STRING),
}
CLIENT_LATE = "client late"  # an event: a try that had no time left before it was sent, as the clients' own process was late
TABLES = {name: pa.schema(list(columns.items())) for name, columns in NAMES.items()}
ROWS, EVERY = 2000, 500.0


class Table:
    """Appends rows; they are on disk after `EVERY` ms or `ROWS` rows, whichever is first, or at `close`."""

    def __init__(self, folder, name, who):
        self.schema, self.rows, self.flushed = TABLES[name], [], host.now()
        self.file = pa.OSFile(f"{folder}/{name}.{who}.arrow", "wb")
        self.out = pa.ipc.new_stream(self.file, self.schema)

    def add(self, *row):
        self.rows.append(row)
        if len(self.rows) >= ROWS or host.now() - self.flushed > EVERY:
            self.flush()

    def flush(self):
        if self.rows:
            columns = [pa.array(column, field.type) for column, field in zip(zip(*self.rows), self.schema)]
            self.out.write_batch(pa.record_batch(columns, schema=self.schema))
            self.file.flush()
            self.rows = []
        self.flushed = host.now()

    def close(self):
        self.flush()
        self.out.close()
        self.file.close()


def read(folder, name):
    """All rows of a table as dicts, of every process, oldest file name first; a torn last batch is left out."""
    from pathlib import Path

    return [row for path in sorted(Path(folder).glob(f"{name}.*.arrow")) for row in read_on(path)[0]]


def read_on(path, batches=0):
    """(rows of one file behind its first `batches` batches, how many there are now), for who follows one that grows."""
    rows, nth = [], 0
    with pa.OSFile(str(path)) as file:
        try:
            stream = pa.ipc.open_stream(file)
            while True:
                batch = stream.read_next_batch()
                nth += 1
                if nth > batches:
                    rows.extend(batch.to_pylist())
        except (StopIteration, pa.ArrowInvalid, OSError):
            return rows, nth
