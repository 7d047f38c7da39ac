"""Sealed segments: closed segments stored as Parquet, which is smaller and can be searched by column.

A sealed segment is complete before the plain one is removed. Its file name holds the checksum of its bytes:
not every byte of a Parquet file is covered by the format's own checksums, and any flipped bit must be found.
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
    """Bytes of the Parquet file for records [(seq, at, kind, facts)]; there must be at least one."""
    columns = list(
        zip(
            *[
                (seq, at, kind, str(facts.get("request", "")), json.dumps(facts, separators=(",", ":")))
                for seq, at, kind, facts in found
            ]
        )
    )
    table = pa.table(
        [pa.array(column, field.type) for column, field in zip(columns, SCHEMA)],
        schema=SCHEMA.with_metadata({"last": str(found[-1][0])}),
    )
    out = io.BytesIO()
    pq.write_table(table, out, compression="zstd", row_group_size=20000, write_page_checksum=True)
    return out.getvalue()


def rows_of(table):
    """The records [(seq, at, kind, facts)] of a table in SCHEMA."""
    columns = table.to_pydict()
    return list(zip(columns["seq"], columns["at"], columns["kind"], map(json.loads, columns["facts"])))


def read(path, request=None):
    """Records of a sealed segment, of all requests or only of `request`; raises Damaged.

    The checksum is verified only if all records are read.
    """
    try:
        if request is not None:
            table = parquet.read_table(path)
            return rows_of(table.filter(pc.equal(table["request"], request)))
        data = host.read_file(path)
        if f".{xxhash.xxh64(data).hexdigest()}{ENDING}" not in path:
            raise records.Damaged(f"{path}: the checksum in its name does not match its bytes")
        return rows_of(parquet.read_table(io.BytesIO(data)))
    except (pa.ArrowException, OSError, ValueError, KeyError, TypeError) as error:
        raise records.Damaged(f"{path}: {str(error)[:200]}") from None


def last(path):
    """Number of the last record of a sealed segment; raises Damaged."""
    try:
        return int(pq.read_schema(path).metadata[b"last"])
    except (pa.ArrowException, OSError, ValueError, KeyError, TypeError) as error:
        raise records.Damaged(f"{path}: {str(error)[:200]}") from None


def seal(folder, keep=None):
    """Seals every segment but the last, which is still being written, then removes all but the newest `keep`
    sealed ones (None: removes none). Returns (number sealed, number removed).

    Raises Damaged for a segment that is not sound, and leaves it as it is.
    """
    sealed = 0
    for path in host.folder_files(folder, ".trail")[:-1]:
        first = int(path.rpartition("/")[2].partition(".")[0])
        data = host.read_file(path)
        try:
            found, intact_size = records.read(data, first)
        except records.Damaged as error:
            raise records.Damaged(f"{path}: {error}") from None
        if intact_size < len(data):
            raise records.Damaged(f"{path}: torn at byte {intact_size}, but it is not the last segment")
        if found:
            packed = pack(found)
            target = f"{path.removesuffix('.trail')}.{xxhash.xxh64(packed).hexdigest()}{ENDING}"
            host.replace_file(target, packed)
            if read(target) != found:
                raise records.Damaged(f"{target}: reading it back does not return the records written")
        host.remove_file(path)
        sealed += bool(found)
    expired = host.folder_files(folder, ENDING)[:-keep] if keep else []
    for path in expired:
        host.remove_file(path)
    return sealed, len(expired)
