"""Parquet files read in the thread that asks.

`pyarrow.parquet.read_table` takes the reader of data sets, whose pool of threads is still at work when the process ends: one run in ten to
twenty ended by SIGABRT ("terminate called without an active exception") after all of its output (docs/incidents/abort-after-verdict.md).
"""

import pyarrow.parquet as pq


def read_table(source):
    """The pyarrow.Table in `source`, a path or a binary file; raises ArrowException or OSError for what is no whole Parquet file."""
    with pq.ParquetFile(source, pre_buffer=False, page_checksum_verification=True) as file:
        return file.read(use_threads=False)
