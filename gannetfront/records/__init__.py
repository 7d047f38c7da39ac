"""What crossed the sockets, as Arrow streams: a file a table and process, readable up to where a process died."""

import pyarrow as pa

from .. import host

S, F, I, B = pa.string(), pa.float64(), pa.int64(), pa.bool_()
NAMES = {
    # a client's try: one row when it ended for the client
    "tries": dict(
        request=S,
        work=S,
        proxy=I,
        operation=S,
        tenant=S,
        mark=S,
        due=F,
        sent=F,
        patience=F,
        ended=F,
        answer=S,
        status=I,
        retry_after=F,
        nth=I,
        after=I,
    ),
    # a dispatch that reached a node: one row when the node was through with it
    "dispatches": dict(
        request=S,
        proxy=S,
        seq=I,
        operation=S,
        mark=S,
        node=S,
        incarnation=I,
        build=I,
        zone=I,
        cell=I,
        came=F,
        began=F,
        ended=F,
        outcome=S,
        effect=B,
        work=F,
    ),
    # a node's life
    "nodes": dict(
        at=F, node=S, slot=I, incarnation=I, build=I, zone=I, cell=I, what=S, power=F, cold=F, cold_for=F
    ),
    # each entry or stage as it was written into a proxy's link
    "told": dict(
        at=F,
        proxy=S,
        kind=S,
        whole=B,
        revision=I,
        node=S,
        incarnation=I,
        build=I,
        state=S,
        stage=I,
        cap=F,
        phase=I,
    ),
    # an act of a duty, by whoever was acted upon: under which token, which step, what became of it
    "acts": dict(at=F, duty=S, place=S, round=I, number=I, life=I, step=I, how=S, why=S),
    # what happened to processes and votes, for the story
    "events": dict(at=F, what=S, who=S, detail=S),
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
