"""gannet-trail: why something was done, and whether the trail is sound."""

import json

import click

from ..trail import log
from ..trail.records import Damaged
from .common import complain


def records_of(folder, request=None):
    try:
        return log.read(folder, request)
    except (Damaged, OSError) as trouble:
        raise SystemExit(complain(str(trouble))) from None


@click.group()
def main():
    """Reads an audit trail."""


@main.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
def verify(folder):
    """Check every record: exit 0, or 2 with the file and place of what is wrong."""
    found = records_of(folder)
    missing = sum(facts["records"] for _, _, kind, facts in found if kind == "lost")
    click.echo(
        f"{len(found)} records, {found[0][0] if found else 0} to {found[-1][0] if found else 0}, without a gap"
        + (f"; {missing} could not be written while the disk was full" if missing else "")
    )


@main.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
@click.argument("key")
@click.option("--json", "as_json", is_flag=True)
def why(folder, key, as_json):
    """Everything about the invocation that its client calls KEY; exit 1 where there is nothing."""
    found = records_of(folder, key)
    for seq, at, kind, facts in found:
        click.echo(
            json.dumps(dict(facts, seq=seq, at=at, kind=kind))
            if as_json
            else f"{seq:8} {at:.3f} {kind} {facts}"
        )
    raise SystemExit(0 if found else 1)


@main.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
@click.option("--keep", type=click.IntRange(1), help="sealed segments to keep, the newest; else all")
def seal(folder, keep):
    """Turn the segments that grow no more into Parquet; safe while a proxy writes, and when it is killed."""
    from ..trail import sealed

    try:
        made, gone = sealed.seal(folder, keep)
    except (Damaged, OSError) as trouble:
        raise SystemExit(complain(str(trouble))) from None
    click.echo(f"{made} segments sealed, {gone} old ones removed")


@main.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
@click.argument("parquet", type=click.Path(dir_okay=False))
def export(folder, parquet):
    """The whole trail as one Parquet file."""
    import pyarrow as pa
    import pyarrow.parquet as pq

    found = records_of(folder)
    pq.write_table(
        pa.table(
            dict(
                seq=pa.array([r[0] for r in found], pa.int64()),
                at=pa.array([r[1] for r in found], pa.float64()),
                kind=[r[2] for r in found],
                request=[str(r[3].get("request", "")) for r in found],
                facts=[json.dumps(r[3]) for r in found],
            )
        ),
        parquet,
    )
    click.echo(f"{len(found)} records in {parquet}")


if __name__ == "__main__":
    main()
