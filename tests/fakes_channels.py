"""For tests of channels alone: a plane between gateways of one process, and offices whose registers are one map."""
from __future__ import annotations

from milletsill.fleet.channels.errors import NoMajority, NotHeld, NotKeeper
from milletsill.fleet.plane import Kind, Member, Standing, View


class Hub:
    """Everything that gateways say, and what the registers hold. `away` are gateways that nobody reaches."""

    def __init__(self, reactor):
        self.reactor, self.planes, self.away, self.listens = reactor, {}, set(), True
        self.records, self.holders = {}, {}  # channel -> (value, written at); channel -> (name, run, until)

    def members(self):
        return [Member(each.name, "", each.run, Standing.ALIVE) for each in self.planes.values()]


class FakePlane:
    def __init__(self, hub, name, run):
        self.hub, self.name, self.run, self.heard = hub, name, run, {}
        hub.planes[name] = self

    @property
    def view(self):
        return View(1, self.hub.members())

    def tell(self, member, kind, body):
        if member not in self.hub.planes:
            return False
        if member not in self.hub.away and self.name not in self.hub.away:
            self.hub.reactor.callLater(0.001, self.deliver, member, kind, body)
        return True

    def deliver(self, member, kind, body):
        to = self.hub.planes.get(member)
        if to is not None and kind in to.heard and member not in self.hub.away:
            to.heard[kind](self.name, self.run, body)

    def hear(self, kind, heard):
        self.heard[kind] = heard

    def watch(self, told): ...


class FakeTerm:
    def __init__(self, channel, ends, value, age):
        self.channel, self.ends, self.value, self.age, self.busy, self.over = channel, ends, value, age, False, False


class FakeOffices:
    """Terms of `office`, in tenths of a millisecond; what holds is decided by the hub's map."""

    def __init__(self, reactor, now, plane, office):
        self.reactor, self.now, self.plane, self.hub, self.office, self.writes = reactor, now, plane, plane.hub, office, 0
        self.others = None
        plane.hear(Kind.CHANNEL, lambda member, run, body: self.others(member, run, body))

    def me(self):
        return self.plane.name, self.plane.run

    def keeper_of(self, channel):
        return (self.plane.view.chosen(channel, 1) or ("",))[0]

    def take(self, channel, then):
        self.reactor.callLater(0.002, self.taken, channel, then)

    def taken(self, channel, then):
        now, hub = self.now(), self.hub
        if self.plane.name in hub.away or not hub.listens:
            return then(NoMajority("nobody answers", channel, 3000))
        name, run, until = hub.holders.get(channel, ("", 0, 0))
        if (name, run) != self.me() and now < until:
            return then(NotKeeper(f"{name} is", channel, until - now, name))
        hub.holders[channel] = (*self.me(), now + self.office)
        value, at = hub.records.get(channel, (b"", now))
        then(FakeTerm(channel, now + self.office - 200, value, now - at))

    def write(self, term, value, then):
        self.reactor.callLater(0.002, self.written, term, value, then)

    def written(self, term, value, then):
        now, hub = self.now(), self.hub
        if self.plane.name in hub.away or hub.holders.get(term.channel, ("", 0, 0))[:2] != self.me():
            term.over = True
            return then(NotHeld("over", term.channel, 1000))
        self.writes += 1
        hub.records[term.channel] = (value, now)
        hub.holders[term.channel] = (*self.me(), now + self.office)
        term.value, term.ends = value, now + self.office - 200
        then(None)

    def holds(self, term):
        return not term.over and self.now() < term.ends

    def give_up(self, term):
        term.over = True
        if self.hub.holders.get(term.channel, ("", 0, 0))[:2] == self.me():
            self.hub.holders[term.channel] = ("", 0, 0)

    def stop(self): ...
