//! Load reports, region summaries, ticks and faults.

use lw_base::prelude::*;
use lw_base::report_violation;
use lw_route::{decode_load, encode_load};

use crate::play::event_queue::Event;
use crate::play::region_load::collect_summaries;
use crate::play::scenario::Fault;
use crate::play::simulation::Simulation;

const REPORT_DELAY_US: u64 = 300_000;
const REPORT_PERIOD_US: u64 = 2_000_000;
const SUMMARY_PERIOD_US: u64 = 5_000_000;
const TICK_PERIOD_US: u64 = 50_000;

impl Simulation<'_> {
    pub(super) fn read_reports(&mut self) {
        self.reports = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| !engine.is_down() && engine.reports_load())
            .map(|(index, engine)| (TargetKey::from_index(index), encode_load(&engine.report())))
            .collect();
        self.schedule_after(REPORT_DELAY_US, Event::DeliverReports);
        self.schedule_after(REPORT_PERIOD_US, Event::ReadReports);
    }

    pub(super) fn deliver_reports(&mut self) {
        let now = self.now().mono;
        for (target, bytes) in &self.reports {
            let report = decode_load(*bytes);
            for host in &mut self.hosts {
                host.view.report(now, *target, &report);
                host.target_selector.report(*target, report.requests);
            }
        }
    }

    pub(super) fn exchange_summaries(&mut self) {
        let now = self.now().mono;
        for host in &self.hosts {
            for (region, service, summary) in &self.summaries {
                host.view.set_service_summary(*region, *service, *summary);
            }
        }
        self.summaries = collect_summaries(now, &self.fleet, &self.engines, &self.hosts);
        self.schedule_after(SUMMARY_PERIOD_US, Event::ExchangeSummaries);
    }

    pub(super) fn tick(&mut self) {
        let now = self.now().mono;
        for host in 0..self.hosts.len() {
            self.hosts[host].adjust_concurrency();
            for service in 0..self.hosts[host].services.len() {
                self.expire(now, host, service);
                self.start_waiting(host, ServiceKey::from_index(service));
            }
        }
        self.schedule_after(TICK_PERIOD_US, Event::Tick);
    }

    pub(super) fn expire(&mut self, now: MonoMs, host: usize, service: usize) {
        let entry = &mut self.hosts[host].services[service];
        let mut tickets = Vec::new();
        entry.queue.expire(now, &mut tickets);
        for ticket in tickets {
            let waiting = &mut self.hosts[host].services[service].waiting;
            let Some(request) = waiting.remove(&ticket) else {
                report_violation(Invariant::OneOutcome, "an unknown ticket expired");
                continue;
            };
            let is_batch = self.arrivals[request as usize].class == PriorityClass::Batch;
            self.figures.batch_expired += u64::from(is_batch);
            self.reject(request, ErrorKind::DeadlineBeforeSend);
        }
    }

    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Down(service, region, share) => {
                let targets = self.targets(service, region);
                let count = (targets.len() as f64 * share).round() as usize;
                for target in &targets[..count] {
                    self.fail_target(*target);
                }
            }
            Fault::Up(service, region) => {
                for target in self.targets(service, region) {
                    self.engines[target.index()].recover();
                }
            }
            Fault::Slow(service, region, factor) => {
                if let Some(target) = self.targets(service, region).first() {
                    self.engines[target.index()].set_slowdown_factor(factor);
                }
            }
        }
    }

    pub(super) fn targets(&self, service: ServiceKey, region: RegionKey) -> Vec<TargetKey> {
        self.fleet.services[service].targets_by_region[region.index()].clone()
    }

    pub(super) fn fail_target(&mut self, target: TargetKey) {
        self.engines[target.index()].fail();
        for request in std::mem::take(&mut self.requests_by_target[target.index()]) {
            self.handle_failed_attempt(request);
        }
    }
}
