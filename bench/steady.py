"""The suite several times in a row beside busy loops and a loop that writes and syncs: it must say the same each time.

    python bench/steady.py [--times 10] [--loops 4] [--megabytes 200] [-- PYTEST WORDS ...]

Exit 1 where a run failed; what failed is printed.
"""

import subprocess
import sys
import tempfile
import time

import click

BUSY = "while True: pass"
WRITER = """
import os, sys
data = os.urandom(1 << 20)
while True:
    with open(sys.argv[1], "wb") as f:
        for _ in range(int(sys.argv[2])):
            f.write(data)
        f.flush()
        os.fsync(f.fileno())
"""


@click.command()
@click.option("--times", default=10, show_default=True)
@click.option("--loops", default=4, show_default=True)
@click.option("--megabytes", default=200, show_default=True)
@click.argument("words", nargs=-1)
def main(times, loops, megabytes, words):
    with tempfile.NamedTemporaryFile() as file:
        beside = [subprocess.Popen([sys.executable, "-c", BUSY]) for _ in range(loops)]
        beside.append(subprocess.Popen([sys.executable, "-c", WRITER, file.name, str(megabytes)]))
        failed = 0
        try:
            for nth in range(times):
                begun = time.monotonic()
                done = subprocess.run(
                    [sys.executable, "-m", "pytest", *words], capture_output=True, text=True
                )
                lines = [x for x in done.stdout.splitlines() if x.startswith(("FAILED", "ERROR"))]
                failed += done.returncode != 0
                print(
                    f"{nth + 1}: {'green' if done.returncode == 0 else f'exit {done.returncode}'} in {time.monotonic() - begun:.0f} s",
                    *lines,
                    sep="\n    ",
                    flush=True,
                )
        finally:
            for one in beside:
                one.kill()
                one.wait()
    print(f"{times - failed} of {times} green", flush=True)
    sys.exit(failed > 0)


if __name__ == "__main__":
    main()
