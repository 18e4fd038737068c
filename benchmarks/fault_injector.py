"""Inject faults into a running cell, each healing by itself."""

import collections
import random
import threading
import time

OUTAGE_GUARD_S = 8
TAKEOVER_LIMIT_S = 20


class Injector:
    """Inject faults one after another, each healing by itself."""

    def __init__(self, cell, seed):
        self.cell = cell
        self.random = random.Random(seed)
        self.counts = collections.Counter()
        self.lock = threading.Lock()
        self.log_trouble = 0
        self.domain_trouble = collections.Counter()
        self.guarded = {}
        self.takeovers = []
        self.hindered = []
        self.missed = []
        self.timers = []
        self.started = time.monotonic()
        self.history = []
        self.kinds = (
            [self.kill_vm] * 45
            + [self.pause_vm] * 40
            + [self.cut_vm] * 12
            + [self.cut_domain] * 6
            + [self.kill_domain] * 4
            + [self.log_outage] * 4
            + [self.log_slow] * 6
            + [self.log_lost_replies] * 16
            + [self.log_repeats] * 6
            + [self.worker_pause] * 14
            + [self.worker_outage] * 8
            + [self.worker_lost_replies] * 14
            + [self.worker_reboot] * 8
        )

    def run(self, for_s, pace_s):
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            fault = self.random.choice(self.kinds)
            if fault():
                self.counts[fault.__name__] += 1
            time.sleep(self.random.uniform(0.5, 1.5) * pace_s)

    def kill_everything(self):
        """Kill and replace all entry VMs at once."""
        until = time.monotonic() + 20
        while self.has_trouble() and time.monotonic() < until:
            time.sleep(0.1)
        if self.has_trouble():
            return
        vms = [vm for vm in self.cell.vms if self.claim(vm)]
        self.counts['kill_all'] += 1
        self.note('kill_all')
        for vm in vms:
            vm.kill()
        self.later(1, lambda: [self.revive(vm) for vm in vms])

    def has_trouble(self):
        now = time.monotonic()
        return (
            self.log_trouble
            or any(self.domain_trouble.values())
            or any(now < at for at in self.guarded.values())
        )

    def heal(self):
        for timer in self.timers:
            timer.join(30)

    def note(self, *parts):
        at_s = round(time.monotonic() - self.started, 2)
        self.history.append((at_s, *parts))

    def later(self, after_s, action):
        timer = threading.Timer(after_s, action)
        self.timers.append(timer)
        timer.start()

    def claim(self, vm):
        with self.lock:
            if vm.busy:
                return False
            vm.busy = True
            return True

    def release(self, vm):
        vm.busy = False

    def revive(self, vm):
        vm.start()
        self.later(1, lambda: self.release(vm))

    def lacks_log(self, domain):
        return bool(self.log_trouble or self.domain_trouble[domain])

    def may_kill(self, domain):
        # Two keepers of a held record may not both go in one outage.
        now = time.monotonic()
        if now < self.guarded.get(domain, 0):
            return False
        if self.lacks_log(domain):
            self.guarded[domain] = now + 1000
        return True

    def trouble_over(self, domains):
        now = time.monotonic()
        for domain in domains:
            if not self.lacks_log(domain):
                self.guarded[domain] = now + OUTAGE_GUARD_S

    def kill_vm(self):
        vm = self.random.choice(self.cell.vms)
        if not self.claim(vm):
            return False
        if not self.may_kill(vm.domain):
            self.release(vm)
            return False
        self.watch_takeover(vm, vm.kill)
        self.note('kill', vm.name)
        self.later(self.random.uniform(0.2, 4), lambda: self.revive(vm))
        return True

    def kill_domain(self):
        domain = self.random.choice('abc')
        vms = [vm for vm in self.cell.vms if vm.domain == domain]
        if self.lacks_log(domain) or time.monotonic() < self.guarded.get(
            domain,
            0,
        ):
            return False
        claimed = [vm for vm in vms if self.claim(vm)]
        self.note('kill_domain', domain)
        for vm in claimed:
            vm.kill()
        self.later(1, lambda: [self.revive(vm) for vm in claimed])
        return True

    def pause_vm(self):
        vm = self.random.choice(self.cell.vms)
        if not self.claim(vm):
            return False
        span_s = self.random.choice((0.3, 1, 2, 6, 9, 14))

        def wake():
            vm.wake()
            self.release(vm)

        self.note('pause', vm.name, span_s)
        if span_s >= 6:
            self.watch_takeover(vm, vm.pause)
        else:
            vm.pause()
        self.later(span_s, wake)
        return True

    def cut_vm(self):
        vm = self.random.choice(self.cell.vms)
        vm.log.cut()
        vm.vms.cut()
        self.note('cut_vm', vm.name)

        def heal():
            vm.log.heal()
            vm.vms.heal()

        self.later(self.random.uniform(1, 6), heal)
        return True

    def cut_domain(self):
        domain = self.random.choice('abc')
        vms = [vm for vm in self.cell.vms if vm.domain == domain]
        if time.monotonic() < self.guarded.get(domain, 0):
            return False
        self.domain_trouble[domain] += 1
        self.note('cut_domain', domain)
        for vm in vms:
            vm.log.cut()
            vm.vms.cut()

        def heal():
            for vm in vms:
                vm.log.heal()
                vm.vms.heal()
            self.domain_trouble[domain] -= 1
            self.trouble_over(domain)

        self.later(self.random.uniform(3, 8), heal)
        return True

    def log_outage(self):
        now = time.monotonic()
        if self.log_trouble or any(now < at for at in self.guarded.values()):
            return False
        self.log_trouble += 1
        self.note('log_outage')
        self.cell.switch_log(outage=True)

        def heal():
            self.cell.switch_log(outage=False)
            self.log_trouble -= 1
            self.trouble_over('abc')

        self.later(self.random.uniform(3, 8), heal)
        return True

    def log_slow(self):
        self.cell.switch_log(delay_ms=self.random.choice((50, 200, 700)))
        self.note('log_slow')
        self.later(2, lambda: self.cell.switch_log(delay_ms=0))
        return True

    def log_lost_replies(self):
        self.cell.switch_log(lose_replies=self.random.randint(1, 6))
        self.note('log_lost_replies')
        return True

    def log_repeats(self):
        self.cell.switch_log(duplicates=self.random.randint(1, 6))
        return True

    def worker_pause(self):
        names = self.random.sample(self.cell.workers, 2)
        span_ms = self.random.choice((500, 3000, 8000))
        self.cell.switch_workers(names, pause_ms=span_ms)
        self.note('worker_pause', names, span_ms)
        return True

    def worker_outage(self):
        names = self.random.sample(self.cell.workers, 2)
        self.cell.switch_workers(names, outage=True)
        self.note('worker_outage', names)
        span_s = self.random.choice((1, 4, 8))
        self.later(
            span_s,
            lambda: self.cell.switch_workers(names, outage=False),
        )
        return True

    def worker_lost_replies(self):
        names = self.random.sample(self.cell.workers, 3)
        self.cell.switch_workers(names, lose_replies=2)
        return True

    def worker_reboot(self):
        names = self.random.sample(self.cell.workers, 1)
        self.cell.switch_workers(names, reboot=True)
        self.note('worker_reboot', names)
        return True

    def watch_takeover(self, vm, hurt):
        owned = [
            pool
            for pool, owner in self.cell.owners(vm).items()
            if owner.partition('@')[0] == vm.name
        ]
        before = self.cell.owners(vm)
        hurt()
        began = time.monotonic()
        if owned:
            threading.Thread(
                target=self.await_takeover,
                args=(vm, {pool: before[pool] for pool in owned}, began),
                daemon=True,
            ).start()

    def await_takeover(self, vm, owned, began):
        hindered = self.lacks_log(vm.domain)
        others = [
            other
            for other in self.cell.vms
            if other.domain == vm.domain and other is not vm
        ]
        left = dict(owned)
        while left and time.monotonic() < began + TAKEOVER_LIMIT_S:
            hindered = hindered or self.is_hindered(vm, others)
            for other in (*others, vm):
                if other.is_paused:
                    continue
                for pool, owner in self.cell.owners(other).items():
                    mine = owner.partition('@')[0] == other.name
                    if pool in left and owner != left[pool] and mine:
                        self.taken(time.monotonic() - began, hindered)
                        self.note('taken', vm.name, pool, other.name, hindered)
                        left.pop(pool)
            time.sleep(0.02)
        if left and not hindered:
            self.missed.append((vm.name, began - self.started, list(left)))

    def is_hindered(self, vm, others):
        return self.lacks_log(vm.domain) or all(
            other.busy or other.log.cuts for other in others
        )

    def taken(self, took_s, hindered):
        kept = self.hindered if hindered else self.takeovers
        kept.append(round(took_s * 1000))
