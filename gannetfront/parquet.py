"""Reads Parquet files in the calling thread.

`pyarrow.parquet.read_table` uses the dataset reader, whose thread pool is still running when the process
ends: one run in ten to twenty ended by SIGABRT ("terminate called without an active exception") after all of
its output (docs/incidents/abort-after-verdict.md).
"""

import pyarrow.parquet as pq


def read_table(source):
    """The pyarrow.Table in `source`, a path or a binary file.

    Raises ArrowException or OSError if it is not a complete Parquet file.
    """
    with pq.ParquetFile(source, pre_buffer=False, page_checksum_verification=True) as file:
        return file.read(use_threads=False)
