"""A client's request as its dispatches need it, and what is held for it until nothing of it can run any more."""

from .. import host
from ..interface import FULL, MOOT, SUCCEEDED, UNCONNECTED
from ..memory import Purpose, Reservation

INVOCATION_BYTES = (
    14 << 10
)  # of an invocation with its first dispatch, small content and a small answer included
DISPATCH_BYTES = 8 << 10  # of each further dispatch under way
ANSWERED_BYTES = 4 << 10  # of an invocation whose answer waits to be written, a small answer included
SMALL_CONTENT = 2 << 10  # bytes, included in those
NEVER_RAN = (FULL, MOOT, UNCONNECTED)


class Request:
    """Only the codec reads `content`. `done` is set with the final answer.

    The owner of the client's connection replaces `client_gone()`, which tells whether the client has closed it, and
    `on_settled()`, which is called once, when the client has been served or has gone and no dispatch is under way.
    `may_have_run` then tells whether a dispatch may have run, or may yet, without its answer reaching the client.
    """

    __slots__ = (
        "content name tenant done arrived_at client_gone on_settled "
        "memory content_memory answer_memory dispatches_out unanswered_runs answered_runs is_over is_served"
    ).split()

    def __init__(self, content, name, tenant, budget):
        self.content = content
        self.name = name
        self.tenant = tenant
        self.done = host.Once()
        self.arrived_at = host.now()
        self.client_gone = lambda: False
        self.on_settled = lambda: None
        self.memory = Reservation(budget, Purpose.INVOCATION)
        self.content_memory = Reservation(budget, Purpose.REQUEST_CONTENT)
        self.answer_memory = None
        self.dispatches_out = 0
        self.unanswered_runs = 0
        self.answered_runs = 0
        self.is_over = False
        self.is_served = False

    @property
    def content_size(self):
        """Bytes of the content as it is sent."""
        return sum(len(part) for part in self.content if isinstance(part, (bytes, bytearray)))

    def reserve(self):
        """Reserves memory for the request and its first dispatch; returns False where there is too little."""
        large = max(0, 2 * self.content_size - SMALL_CONTENT)
        if self.memory.resize(INVOCATION_BYTES) and self.content_memory.resize(large):
            return True
        self.release()
        return False

    def release(self):
        """Gives back all that was reserved."""
        self.memory.release()
        self.content_memory.release()
        if self.answer_memory:
            self.answer_memory.release()
            self.answer_memory = None

    def begin_dispatch(self):
        """Counts a dispatch that begins; returns False where there is too little memory for a further one."""
        if self.dispatches_out:
            if not self.memory.grow(DISPATCH_BYTES):
                return False
            if self.content_memory.size and not self.content_memory.grow(self.content_size):
                return False
        self.dispatches_out += 1
        return True

    def end_dispatch(self, status):
        """Counts the end of a dispatch with its status."""
        self.dispatches_out -= 1
        if status == SUCCEEDED:
            self.answered_runs += 1
        elif status not in NEVER_RAN:
            self.unanswered_runs += 1
        if self.done.ready() and not self.dispatches_out:
            # Nothing more is sent: only the answer is kept until the client has it.
            self.content = ()
            self.content_memory.release()
            self.memory.resize(min(self.memory.size, ANSWERED_BYTES))
        self.settle_if_over()

    def keep_answer(self, reservation):
        """Takes over what a dispatch has reserved for the answer, until the client has it."""
        self.answer_memory = reservation

    def end(self, is_served):
        """The client has its answer, which is its success where `is_served`, or it has gone."""
        self.is_over, self.is_served = True, is_served
        if self.answer_memory:
            self.answer_memory.release()
            self.answer_memory = None
        self.settle_if_over()

    @property
    def may_have_run(self):
        return self.unanswered_runs > 0 or self.answered_runs > 0 and not self.is_served

    def settle_if_over(self):
        if self.is_over and not self.dispatches_out and self.on_settled:
            on_settled, self.on_settled = self.on_settled, None
            on_settled()
            # Not left to the garbage collector: its owner's callback may refer back to the request.
            self.content = ()
            self.release()
