"""When a client tries again. No I/O: on sockets and in virtual time alike."""

LINGER = 1500.0  # a client listens on for so long past its patience, to see an answer that comes too late


class Intent:
    """One thing a client wants done, over all its tries. Times in ms of the face's clock."""

    def __init__(self, day, arrival, start, chance):
        self.day, self.op, self.start, self.chance = day, day.operations[arrival.operation], start, chance
        self.end, self.first, self.nth = start + arrival.due + self.op["limit"], None, 0
        self.honours, self.arrival = chance.random() < day.traffic["honour"], arrival

    def patience(self, now):
        """How long the next try is waited for."""
        self.first = self.first or now
        return min(self.arrival.patience, self.end - now)

    def again(self, now, answer, advice):
        """The wait in ms before the next try, or None: it is over."""
        self.nth += 1
        abuse = self.day.during("retry_abuse", now - self.start)
        most = max([t.retries for t in abuse], default=self.day.traffic["retries"])
        failed = answer not in ("succeeded", "left")
        remembered = self.op["group"] == "all" and now < self.first + self.op["window"] - 2 * LINGER
        may = {"idempotent": failed, "fingerprinted": answer == "throttled" or failed and remembered}.get(
            self.op["effect"], answer == "throttled"
        ) or answer == "unreachable"
        if not may or self.nth > most:
            return None
        wait = 0.0 if abuse else self.day.traffic["backoff"] * (0.5 + self.chance.random())
        wait = max(wait, advice if self.honours and not abuse else 0.0)
        return wait if now + wait <= self.end - 50 else None
