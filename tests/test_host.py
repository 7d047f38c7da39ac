"""The seam: waits that begin when they begin."""

import time

from gannetfront import host
from rig import Log


def test_a_loop_held_up_does_not_end_a_wait_before_it_began():
    listener = host.Listener("127.0.0.1:0")
    host.spawn(host.serve, listener, lambda stream: stream.recv(1, 3000), Log())
    host.sleep(5)
    time.sleep(0.3)  # a round that takes long, a collection, a machine that stands still
    host.connect(listener.where, 150).close()  # raises Refused where the wait is over at once
    box = host.Mailbox(1)
    time.sleep(0.3)
    host.later(60, box.put, "here")
    assert box.take(250) == "here"
    listener.close()


def test_a_worker_makes_one_call_after_the_other():
    worker, inside, most, order = host.Worker(), [], [], []

    def call(n):
        inside.append(n)
        most.append(len(inside))
        host.hold_up(2.0)
        inside.remove(n)
        order.append(n)

    host.join([host.spawn(worker.call, call, n) for n in range(6)], 5000)
    assert most == [1] * 6 and order == list(range(6))
