"""Inject faults that end by themselves into a running cell."""

import collections
import random
import threading
import time

KILLS_BARRED_AFTER_OUTAGE_S = 8
TAKEOVER_TIMEOUT_S = 20


class Injector:
    """Inject random faults one after another.

    The name of a fault's method is its key in `counts`, which is printed.
    """

    def __init__(self, cell, seed):
        self.cell = cell
        self.random = random.Random(seed)
        self.counts = collections.Counter()
        self.lock = threading.Lock()
        self.log_impairments = 0
        self.domain_impairments = collections.Counter()
        self.kills_barred_until = {}
        self.takeovers = []
        self.impaired_takeovers = []
        self.missed = []
        self.timers = []
        self.started = time.monotonic()
        self.history = []
        self.weighted_faults = (
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

    def run(self, duration_s, mean_interval_s):
        until = time.monotonic() + duration_s
        while time.monotonic() < until:
            fault = self.random.choice(self.weighted_faults)
            if fault():
                self.counts[fault.__name__] += 1
            time.sleep(self.random.uniform(0.5, 1.5) * mean_interval_s)

    def kill_everything(self):
        """Kill and replace all entry VMs when no impairment is active."""
        until = time.monotonic() + 20
        while self.is_impaired() and time.monotonic() < until:
            time.sleep(0.1)
        if self.is_impaired():
            return
        vms = [vm for vm in self.cell.vms if self.claim(vm)]
        self.counts['kill_all'] += 1
        self.record_event('kill_all')
        for vm in vms:
            vm.kill()
        self.schedule(1, lambda: [self.restart(vm) for vm in vms])

    def is_impaired(self):
        now = time.monotonic()
        return (
            self.log_impairments
            or any(self.domain_impairments.values())
            or any(now < at for at in self.kills_barred_until.values())
        )

    def wait_for_restores(self):
        for timer in self.timers:
            timer.join(30)

    def record_event(self, *parts):
        at_s = round(time.monotonic() - self.started, 2)
        self.history.append((at_s, *parts))

    def schedule(self, after_s, action):
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

    def restart(self, vm):
        vm.start()
        self.schedule(1, lambda: self.release(vm))

    def is_log_impaired(self, domain):
        return bool(self.log_impairments or self.domain_impairments[domain])

    def try_reserve_kill(self, domain):
        # During a log outage, only the writing entry VM and its standby hold a
        # record, so at most one VM of a domain may be killed in an outage.
        now = time.monotonic()
        if now < self.kills_barred_until.get(domain, 0):
            return False
        if self.is_log_impaired(domain):
            self.kills_barred_until[domain] = now + 1000
        return True

    def end_impairment(self, domains):
        now = time.monotonic()
        for domain in domains:
            if not self.is_log_impaired(domain):
                self.kills_barred_until[domain] = (
                    now + KILLS_BARRED_AFTER_OUTAGE_S
                )

    def kill_vm(self):
        vm = self.random.choice(self.cell.vms)
        if not self.claim(vm):
            return False
        if not self.try_reserve_kill(vm.domain):
            self.release(vm)
            return False
        self.watch_takeover(vm, vm.kill)
        self.record_event('kill', vm.name)
        self.schedule(self.random.uniform(0.2, 4), lambda: self.restart(vm))
        return True

    def kill_domain(self):
        domain = self.random.choice('abc')
        vms = [vm for vm in self.cell.vms if vm.domain == domain]
        if self.is_log_impaired(
            domain
        ) or time.monotonic() < self.kills_barred_until.get(
            domain,
            0,
        ):
            return False
        claimed = [vm for vm in vms if self.claim(vm)]
        self.record_event('kill_domain', domain)
        for vm in claimed:
            vm.kill()
        self.schedule(1, lambda: [self.restart(vm) for vm in claimed])
        return True

    def pause_vm(self):
        vm = self.random.choice(self.cell.vms)
        if not self.claim(vm):
            return False
        span_s = self.random.choice((0.3, 1, 2, 6, 9, 14))

        def resume():
            vm.resume()
            self.release(vm)

        self.record_event('pause', vm.name, span_s)
        if span_s >= 6:
            self.watch_takeover(vm, vm.pause)
        else:
            vm.pause()
        self.schedule(span_s, resume)
        return True

    def cut_vm(self):
        vm = self.random.choice(self.cell.vms)
        vm.log.cut()
        vm.vms.cut()
        self.record_event('cut_vm', vm.name)

        def restore():
            vm.log.restore()
            vm.vms.restore()

        self.schedule(self.random.uniform(1, 6), restore)
        return True

    def cut_domain(self):
        domain = self.random.choice('abc')
        vms = [vm for vm in self.cell.vms if vm.domain == domain]
        if time.monotonic() < self.kills_barred_until.get(domain, 0):
            return False
        self.domain_impairments[domain] += 1
        self.record_event('cut_domain', domain)
        for vm in vms:
            vm.log.cut()
            vm.vms.cut()

        def restore():
            for vm in vms:
                vm.log.restore()
                vm.vms.restore()
            self.domain_impairments[domain] -= 1
            self.end_impairment(domain)

        self.schedule(self.random.uniform(3, 8), restore)
        return True

    def log_outage(self):
        now = time.monotonic()
        if self.log_impairments or any(
            now < at for at in self.kills_barred_until.values()
        ):
            return False
        self.log_impairments += 1
        self.record_event('log_outage')
        self.cell.switch_log(outage=True)

        def restore():
            self.cell.switch_log(outage=False)
            self.log_impairments -= 1
            self.end_impairment('abc')

        self.schedule(self.random.uniform(3, 8), restore)
        return True

    def log_slow(self):
        self.cell.switch_log(delay_ms=self.random.choice((50, 200, 700)))
        self.record_event('log_slow')
        self.schedule(2, lambda: self.cell.switch_log(delay_ms=0))
        return True

    def log_lost_replies(self):
        self.cell.switch_log(lose_replies=self.random.randint(1, 6))
        self.record_event('log_lost_replies')
        return True

    def log_repeats(self):
        self.cell.switch_log(duplicates=self.random.randint(1, 6))
        return True

    def worker_pause(self):
        names = self.random.sample(self.cell.workers, 2)
        span_ms = self.random.choice((500, 3000, 8000))
        self.cell.switch_workers(names, pause_ms=span_ms)
        self.record_event('worker_pause', names, span_ms)
        return True

    def worker_outage(self):
        names = self.random.sample(self.cell.workers, 2)
        self.cell.switch_workers(names, outage=True)
        self.record_event('worker_outage', names)
        span_s = self.random.choice((1, 4, 8))
        self.schedule(
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
        self.record_event('worker_reboot', names)
        return True

    def watch_takeover(self, vm, inject):
        owned = [
            pool
            for pool, owner in self.cell.owners(vm).items()
            if owner.partition('@')[0] == vm.name
        ]
        before = self.cell.owners(vm)
        inject()
        fault_at = time.monotonic()
        if owned:
            threading.Thread(
                target=self.await_takeover,
                args=(vm, {pool: before[pool] for pool in owned}, fault_at),
                daemon=True,
            ).start()

    def await_takeover(self, vm, owned, fault_at):
        impaired = self.is_log_impaired(vm.domain)
        others = [
            other
            for other in self.cell.vms
            if other.domain == vm.domain and other is not vm
        ]
        left = dict(owned)
        while left and time.monotonic() < fault_at + TAKEOVER_TIMEOUT_S:
            impaired = impaired or self.is_takeover_impaired(vm, others)
            for other in (*others, vm):
                if other.is_paused:
                    continue
                for pool, owner in self.cell.owners(other).items():
                    mine = owner.partition('@')[0] == other.name
                    if pool in left and owner != left[pool] and mine:
                        self.record_takeover(
                            time.monotonic() - fault_at, impaired
                        )
                        self.record_event(
                            'taken', vm.name, pool, other.name, impaired
                        )
                        left.pop(pool)
            time.sleep(0.02)
        if left and not impaired:
            self.missed.append((vm.name, fault_at - self.started, list(left)))

    def is_takeover_impaired(self, vm, others):
        return self.is_log_impaired(vm.domain) or all(
            other.busy or other.log.cuts for other in others
        )

    def record_takeover(self, took_s, impaired):
        durations_ms = self.impaired_takeovers if impaired else self.takeovers
        durations_ms.append(round(took_s * 1000))
