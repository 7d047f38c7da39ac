"""The trail on disk: records are appended, committed in groups, and segments are rotated.

A record counts as written only after its sync has returned. While the disk is full or slow, records of the
`required` kinds are refused at once, those already waiting included, and the caller must not do what it
could not record. Other records wait; above a limit they are dropped and counted, and the count is written as
soon as the disk accepts writes again. Recovery is automatic: a write is attempted at intervals.
"""

from .. import host
from . import Refused, records
from .disk import Disk

ENDING = ".trail"  # suffix of segment files
RETRY_INTERVAL = 500.0  # ms between attempts on an idle trail
MAX_WAITING = 20000  # records that may wait for the disk
CLOSE_TIMEOUT = 2000.0  # ms that a stopping program waits for unwritten records


class Trail:
    """The writer of one trail: appends records to the newest segment in `folder`."""

    def __init__(self, folder, log, delay=2.0, rotate=64 << 20, keep=64, must=("intent",), patience=250.0):
        """Opens the newest segment, or creates the first; raises records.Damaged if it is not sound.

        `delay` is the maximum time in ms from a record to its write, so that one sync covers a group;
        `rotate` is the size of a segment in bytes; `keep` is the number of closed segments that a rotation
        leaves; `must` holds the required kinds. A write that takes longer than `patience` ms makes the disk a
        slow one.
        """
        self.folder = folder
        self.log = log
        self.group_delay = delay
        self.segment_size = rotate
        self.max_closed = keep
        self.required = must
        self.waiting = []  # [(kind, wall time, facts, Once)]
        self.lost = 0  # records dropped and not reported yet
        self.full = False
        self.wake = host.Mailbox(1)
        self.torn_bytes = 0
        self.disk = Disk(patience)
        self.running = False
        self.closing = False
        self.ended = host.Once()
        self.closes = False  # rotate after the next write, whatever the size of the segment
        files = host.folder_files(folder, ENDING)
        self.next_seq = 1
        if files:
            # A power cut may tear the end of the last segment; it was never acknowledged and is cut off.
            first = number(files[-1])
            data = host.read_file(files[-1])
            found, intact_size = records.read(data, first)
            self.next_seq = found[-1][0] + 1 if found else first
            self.file = host.AppendFile(files[-1])
            self.torn_bytes = len(data) - intact_size
            if self.torn_bytes:
                self.log.warning("torn end of the trail cut off", file=files[-1], bytes=self.torn_bytes)
                self.file.cut(intact_size)
        else:
            self.file = self.segment()

    def segment(self):
        """Creates the segment that begins with the next record."""
        return host.AppendFile(f"{self.folder}/{self.next_seq:016d}{ENDING}")

    def refuses(self):
        """Whether records of the required kinds are refused at the moment."""
        return self.full or self.disk.slow or len(self.waiting) >= MAX_WAITING or self.closing

    def write_ms(self):
        """Duration in ms of the write in progress so far, or else of the last one."""
        return self.disk.waiting_for(host.now()) or self.disk.took

    def append(self, kind, **facts):
        """Queues a record. Returns a Once that holds True when it is on disk, False if that failed.

        Raises Refused for a record of a required kind while the disk is full or slow.
        """
        once = host.Once()
        if kind in self.required and self.refuses():
            raise Refused(kind)
        if self.full or len(self.waiting) >= MAX_WAITING:
            self.lost += 1
            once.set(False)
            return once
        self.waiting.append((kind, host.wall(), facts, once))
        self.wake.put(True)
        return once

    def written(self, kind, limit, **facts):
        """Appends a record and returns True once it is on disk.

        Raises Refused if it cannot be written, or not within `limit` ms.
        """
        try:
            if not self.append(kind, **facts).wait(limit):
                raise Refused(kind)
        except host.Timeout:
            raise Refused(kind) from None
        return True

    def run(self):
        """Commits records until `close` is called."""
        self.running = True
        while not self.closing:
            self.wake.take(RETRY_INTERVAL)
            if self.waiting and self.group_delay:
                host.sleep(self.group_delay)
            self.commit()
        self.commit()
        self.ended.set()

    def commit(self):
        """Writes all waiting records with one sync, and rotates the segment if it is full."""
        group, self.waiting = self.waiting, []
        rows = [("lost", host.wall(), dict(records=self.lost), None)] if self.lost else []
        if self.disk.slow and not group and not rows:
            # Required records are refused on a slow disk: only a write of the trail's own shows its recovery.
            rows = [("slow", host.wall(), dict(ms=round(self.disk.took)), None)]
        if not group and not (rows and (self.full or self.disk.slow)):
            return
        seq, data = self.next_seq, b""
        for kind, at, facts, _ in rows + group:
            data += records.pack(seq, at, kind, facts)
            seq += 1
        try:
            self.write(data, group)
        except OSError as error:
            if not self.full:
                self.log.error("trail not writable", why=str(error))
            self.full = True
            for kind, _, _, once in group:
                self.lost += kind not in self.required
                once.set(False)
            return
        # Records lost during this write are not in its count; they are reported by a later one.
        self.next_seq, self.lost = (
            seq,
            self.lost - sum(facts["records"] for kind, _, facts, _ in rows if kind == "lost"),
        )
        if self.full:
            self.full = False
            self.log.info("trail writable again")
        for *_, once in group:
            once.set(True)
        if self.file.size >= self.segment_size or self.closes:
            self.closes = False
            try:
                host.Apart(self.next_segment).wait()
            except OSError as error:
                self.log.error("trail segment not rotated", why=str(error))  # the old one grows further

    def write(self, data, group):
        """Writes in a thread for as long as the disk takes.

        Past the disk's patience, waiting records of the required kinds fail, so that no caller waits longer.
        """
        self.disk.begun(host.now())
        job = host.Apart(self.file.append, data)
        try:
            try:
                job.wait(self.disk.patience)
            except host.Timeout:
                if self.disk.overdue(host.now()):
                    self.log.error("trail slow", ms=round(self.disk.patience))
                for kind, _, _, once in group + self.waiting:
                    if kind in self.required:
                        once.set(False)
                job.wait()
        finally:
            slow_ms = self.disk.ended(host.now())
            if slow_ms is not None:
                self.log.info("trail quick again", after_ms=round(slow_ms))

    def next_segment(self):
        """Opens the next segment, then removes the oldest closed ones above the limit."""
        opened = self.segment()
        self.file.close()
        self.file = opened
        for path in host.folder_files(self.folder, ENDING)[: -self.max_closed - 1]:
            host.remove_file(path)

    def close(self, limit=CLOSE_TIMEOUT):
        """Writes the waiting records and closes the segment.

        Gives up after `limit` ms, so that a disk that hangs does not keep the program from ending.
        """
        self.closing = True
        self.wake.put(True)
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
    """Number of the first record of the segment at `path`, from its file name."""
    return int(path.rpartition("/")[2].partition(".")[0])


def read(folder, request=None):
    """All records [(seq, at, kind, facts)] in order, plain and sealed, or only those of `request`.

    Raises Damaged, naming the file. A torn end is accepted in the last segment only.
    """
    from . import sealed

    plain = host.folder_files(folder, ENDING)
    # A process killed while sealing leaves a segment in both forms: the plain one is read.
    plain_numbers = {number(path) for path in plain}
    files = sorted(
        plain
        + [path for path in host.folder_files(folder, sealed.ENDING) if number(path) not in plain_numbers]
    )
    found, expected = [], None
    for path in files:
        first = number(path)
        if expected is not None and first != expected:
            raise records.Damaged(
                f"{path}: begins with record {first}, expected {expected}: a segment is missing"
            )
        if path.endswith(sealed.ENDING):
            if request is not None:
                found += sealed.read(path, request)
                expected = sealed.last(path) + 1
                continue
            segment_records = sealed.read(path)
        else:
            data = host.read_file(path)
            try:
                segment_records, intact_size = records.read(data, first)
            except records.Damaged as error:
                raise records.Damaged(f"{path}: {error}") from None
            if intact_size < len(data) and path != files[-1]:
                raise records.Damaged(f"{path}: torn at byte {intact_size}, but it is not the last segment")
        expected = segment_records[-1][0] + 1 if segment_records else first
        found += [r for r in segment_records if request is None or r[3].get("request") == request]
    return found
