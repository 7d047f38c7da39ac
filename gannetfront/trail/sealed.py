"""Segments that grow no more, as Parquet: smaller, and searched by column. A segment is whole in one form before the other goes.

Its name holds the sum of its bytes: not all of a Parquet file is under its own checksums, and a flipped bit anywhere must be
found.
"""

import io
import json

import pyarrow as pa
import pyarrow.compute as pc
import pyarrow.parquet as pq
import xxhash

from .. import host, parquet
from . import records

ENDING = ".parquet"
SCHEMA = pa.schema(
    [
        ("seq", pa.int64()),
        ("at", pa.float64()),
        ("kind", pa.string()),
        ("request", pa.string()),
        ("facts", pa.string()),
    ]
)


def pack(found):
    """Bytes of the Parquet file for records [(seq, at, kind, facts)]."""
    columns = list(
        zip(
            *[
                (seq, at, kind, str(facts.get("request", "")), json.dumps(facts, separators=(",", ":")))
                for seq, at, kind, facts in found
            ]
        )
    )
    table = pa.table(
        [pa.array(c, f.type) for c, f in zip(columns, SCHEMA)],
        schema=SCHEMA.with_metadata({"last": str(found[-1][0])}),
    )
    out = io.BytesIO()
    pq.write_table(table, out, compression="zstd", row_group_size=20000, write_page_checksum=True)
    return out.getvalue()


def rows_of(table):
    columns = table.to_pydict()
    return list(zip(columns["seq"], columns["at"], columns["kind"], map(json.loads, columns["facts"])))


def read(path, request=None):
    """Records of a sealed segment, of one `request` only or all; raises Damaged. Only a reading of all checks the sum."""
    try:
        if request is not None:
            table = parquet.read_table(path)
            return rows_of(table.filter(pc.equal(table["request"], request)))
        data = host.read_file(path)
        if f".{xxhash.xxh64(data).hexdigest()}{ENDING}" not in path:
            raise records.Damaged(f"{path}: its bytes are not those that its name tells of")
        return rows_of(parquet.read_table(io.BytesIO(data)))
    except (pa.ArrowException, OSError, ValueError, KeyError, TypeError) as trouble:
        raise records.Damaged(f"{path}: {str(trouble)[:200]}") from None


def last(path):
    """The number of its last record."""
    try:
        return int(pq.read_schema(path).metadata[b"last"])
    except (pa.ArrowException, OSError, ValueError, KeyError, TypeError) as trouble:
        raise records.Damaged(f"{path}: {str(trouble)[:200]}") from None


def seal(folder, keep=None):
    """Seals every segment but the last, the one that grows; then keeps the newest `keep` sealed ones. Returns (sealed, removed).
    Raises Damaged for a segment that is not sound: it stays as it is."""
    sealed = 0
    for path in host.folder_files(folder, ".trail")[:-1]:
        first = int(path.rpartition("/")[2].partition(".")[0])
        data = host.read_file(path)
        try:
            found, whole = records.read(data, first)
        except records.Damaged as trouble:
            raise records.Damaged(f"{path}: {trouble}") from None
        if whole < len(data):
            raise records.Damaged(f"{path}: torn at byte {whole}, and not the last")
        if found:
            made = pack(found)
            target = f"{path.removesuffix('.trail')}.{xxhash.xxh64(made).hexdigest()}{ENDING}"
            host.replace_file(target, made)
            if read(target) != found:
                raise records.Damaged(f"{target}: read back it is not what was written")
        host.remove_file(path)
        sealed += bool(found)
    old = host.folder_files(folder, ENDING)[:-keep] if keep else []
    for path in old:
        host.remove_file(path)
    return sealed, len(old)
