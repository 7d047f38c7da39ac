"""The trail on disk: appended, committed in groups, rotated. Nothing counts as written before its sync has returned.

A full disk: records of the kinds in `must` are refused (the caller then does not do what it could not write down), others are
counted and the count is written when there is room again. It recovers by itself.
"""
from .. import host
from . import Refused, records

ENDING, RETRY, WAITING = ".trail", 500.0, 20000


class Trail:
    """`delay` ms at most from a record to its sync; `rotate` bytes a segment; `keep` sealed segments."""

    def __init__(self, folder, log, delay=2.0, rotate=64 << 20, keep=64, must=("intent",)):
        self.folder, self.log, self.delay, self.rotate, self.keep, self.must = folder, log, delay, rotate, keep, must
        self.waiting, self.lost, self.full, self.box, self.torn = [], 0, False, host.Mailbox(1), 0
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

    def append(self, kind, **facts):
        """A Once that holds True when it is on disk, False when it could not be written; raises Refused while the disk is
        full, for what must be written."""
        once = host.Once()
        if (self.full or len(self.waiting) >= WAITING) and kind in self.must:
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
        except host.Late:
            raise Refused(kind) from None
        return True

    def run(self):
        while True:
            self.box.take(RETRY)
            if self.waiting and self.delay:
                host.sleep(self.delay)
            self.commit()

    def commit(self):
        group, self.waiting = self.waiting, []
        if not group and not (self.full and self.lost):
            return
        rows = [("lost", host.wall(), dict(records=self.lost), None)] if self.lost else []
        seq, data = self.seq, b""
        for kind, at, facts, _ in rows + group:
            data += records.pack(seq, at, kind, facts)
            seq += 1
        size = self.file.size
        try:
            self.file.append(data)
            self.file.sync()
        except OSError as trouble:
            if not self.full:
                self.log.error("trail full", why=str(trouble))
            self.full = True
            if self.file.size > size:
                self.file.cut(size)
            for kind, _, _, once in group:
                self.lost += kind not in self.must
                once.set(False)
            return
        self.seq, self.lost = seq, 0
        if self.full:
            self.full = False
            self.log.info("trail has room again")
        for *_, once in group:
            once.set(True)
        if self.file.size >= self.rotate:
            self.file.close()
            self.file = self.segment()
            for path in host.folder_files(self.folder, ENDING)[:-self.keep - 1]:
                host.remove_file(path)

    def close(self):
        self.commit()
        self.file.close()


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
