"""The trail on disk: appended, committed in groups, rotated. Nothing counts as written before its sync has returned.

A full disk, or one that stands still: records of the kinds in `must` are refused (the caller then does not do what it could not
write down), at once, those that wait already among them. Others wait for it, past a bound they are counted and the count is
written when there is room again. It recovers by itself: something is written now and then to see.
"""

from .. import host
from . import Refused, records
from .disk import Disk

ENDING, RETRY, WAITING = ".trail", 500.0, 20000
CLOSE = 2000.0  # ms in which an ending program waits for what is not written yet


class Trail:
    """`delay` ms at most from a record to its write; `rotate` bytes a segment; `keep` sealed segments; a write that takes longer
    than `patience` ms makes the disk a slow one."""

    def __init__(self, folder, log, delay=2.0, rotate=64 << 20, keep=64, must=("intent",), patience=250.0):
        self.folder, self.log, self.delay, self.rotate, self.keep, self.must = (
            folder,
            log,
            delay,
            rotate,
            keep,
            must,
        )
        self.waiting, self.lost, self.full, self.box, self.torn = [], 0, False, host.Mailbox(1), 0
        self.disk, self.running, self.closing, self.ended = Disk(patience), False, False, host.Once()
        self.closes = False  # the segment is to end with its next write, whatever its size
        files = host.folder_files(folder, ENDING)
        self.seq = 1
        if files:
            # The end of the last may be torn by a power cut: cut off what no one was told is written.
            first = number(files[-1])
            data = host.read_file(files[-1])
            found, whole = records.read(data, first)
            self.seq = found[-1][0] + 1 if found else first
            self.file = host.AppendFile(files[-1])
            self.torn = len(data) - whole
            if self.torn:
                self.log.warning("trail's torn end cut off", file=files[-1], bytes=self.torn)
                self.file.cut(whole)
        else:
            self.file = self.segment()

    def segment(self):
        return host.AppendFile(f"{self.folder}/{self.seq:016d}{ENDING}")

    def refuses(self):
        """True while what must be written cannot be."""
        return self.full or self.disk.slow or len(self.waiting) >= WAITING or self.closing

    def write_ms(self):
        """How long the write that is out has taken, or the last one took."""
        return self.disk.waiting_for(host.now()) or self.disk.took

    def append(self, kind, **facts):
        """A Once that holds True when it is on disk, False when it could not be written; raises Refused while the disk is
        full or slow, for what must be written."""
        once = host.Once()
        if kind in self.must and self.refuses():
            raise Refused(kind)
        if self.full or len(self.waiting) >= WAITING:
            self.lost += 1
            once.set(False)
            return once
        self.waiting.append((kind, host.wall(), facts, once))
        self.box.put(True)
        return once

    def written(self, kind, limit, **facts):
        """True once it is on disk; Refused where it could not be, or not within `limit` ms."""
        try:
            if not self.append(kind, **facts).wait(limit):
                raise Refused(kind)
        except host.Timeout:
            raise Refused(kind) from None
        return True

    def run(self):
        self.running = True
        while not self.closing:
            self.box.take(RETRY)
            if self.waiting and self.delay:
                host.sleep(self.delay)
            self.commit()
        self.commit()
        self.ended.set()

    def commit(self):
        group, self.waiting = self.waiting, []
        rows = [("lost", host.wall(), dict(records=self.lost), None)] if self.lost else []
        if self.disk.slow and not group and not rows:
            # Nobody waits for a slow disk: without a write of its own it would never be seen to be quick again.
            rows = [("slow", host.wall(), dict(ms=round(self.disk.took)), None)]
        if not group and not (rows and (self.full or self.disk.slow)):
            return
        seq, data = self.seq, b""
        for kind, at, facts, _ in rows + group:
            data += records.pack(seq, at, kind, facts)
            seq += 1
        try:
            self.write(data, group)
        except OSError as trouble:
            if not self.full:
                self.log.error("trail full", why=str(trouble))
            self.full = True
            for kind, _, _, once in group:
                self.lost += kind not in self.must
                once.set(False)
            return
        # What was counted as lost while this was written is still owed.
        self.seq, self.lost = (
            seq,
            self.lost - sum(facts["records"] for kind, _, facts, _ in rows if kind == "lost"),
        )
        if self.full:
            self.full = False
            self.log.info("trail has room again")
        for *_, once in group:
            once.set(True)
        if self.file.size >= self.rotate or self.closes:
            self.closes = False
            try:
                host.Apart(self.next_segment).wait()
            except OSError as trouble:
                self.log.error("trail not rotated", why=str(trouble))  # the segment grows on

    def write(self, data, group):
        """In a thread, for as long as the disk takes; past the disk's patience nobody is left waiting for it."""
        self.disk.begun(host.now())
        job = host.Apart(self.file.append, data)
        try:
            try:
                job.wait(self.disk.patience)
            except host.Timeout:
                if self.disk.overdue(host.now()):
                    self.log.error("trail slow", ms=round(self.disk.patience))
                for kind, _, _, once in group + self.waiting:
                    if kind in self.must:
                        once.set(False)
                job.wait()
        finally:
            slow_for = self.disk.ended(host.now())
            if slow_for is not None:
                self.log.info("trail quick again", after_ms=round(slow_for))

    def next_segment(self):
        after = self.segment()
        self.file.close()
        self.file = after
        for path in host.folder_files(self.folder, ENDING)[: -self.keep - 1]:
            host.remove_file(path)

    def close(self, limit=CLOSE):
        """Writes what waits; a disk that does not answer within `limit` ms does not keep the program from ending."""
        self.closing = True
        self.box.put(True)
        if not self.running:
            host.spawn(self.run)
        try:
            self.ended.wait(limit)
            self.file.close()
        except host.Timeout:
            self.log.error(
                "trail not whole: its disk does not answer", records=len(self.waiting), for_ms=round(limit)
            )


def number(path):
    """Of a segment's first record."""
    return int(path.rpartition("/")[2].partition(".")[0])


def read(folder, request=None):
    """All records in order, sealed or not, or only those of one `request`; raises Damaged, naming the file. A torn end is no
    damage in the last segment only."""
    from . import sealed

    plain = host.folder_files(folder, ENDING)
    # Killed while it was sealed, a segment is there twice: the one that was written first counts.
    known = {number(p) for p in plain}
    files = sorted(plain + [p for p in host.folder_files(folder, sealed.ENDING) if number(p) not in known])
    found, due = [], None
    for path in files:
        first = number(path)
        if due is not None and first != due:
            raise records.Damaged(f"{path}: begins with record {first}, {due} was due: a segment is missing")
        if path.endswith(sealed.ENDING):
            if request is not None:
                found += sealed.read(path, request)
                due = sealed.last(path) + 1
                continue
            some = sealed.read(path)
        else:
            data = host.read_file(path)
            try:
                some, whole = records.read(data, first)
            except records.Damaged as trouble:
                raise records.Damaged(f"{path}: {trouble}") from None
            if whole < len(data) and path != files[-1]:
                raise records.Damaged(f"{path}: torn at byte {whole}, and not the last")
        due = some[-1][0] + 1 if some else first
        found += [r for r in some if request is None or r[3].get("request") == request]
    return found
