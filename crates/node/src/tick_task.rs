//! The periodic work of membership, configuration and the at-most-once protocol.

use std::sync::Arc;
use std::time::Instant;

use crate::core::Core;

const TICK_MS: u64 = 100;

/// Regions and pulls from them change slowly, so they take part in one of ten ticks.
const SLOW_TICKS: u64 = 10;

/// Ticks until the node ends.
pub(crate) async fn tick(core: Arc<Core>) {
    let mut hosts = Vec::new();
    for number in 0_u64.. {
        let began = Instant::now();
        core.tick_members();
        core.tick_idem();
        core.tick_config(&mut hosts);
        if number.is_multiple_of(SLOW_TICKS) {
            core.measure_region();
            core.feed_regions(core.clock.mono(), core.clock.wall());
            core.pull_config();
        }
        core.traffic.busy(began.elapsed());
        core.clock.sleep(TICK_MS).await;
    }
}

impl Core {
    fn tick_members(self: &Arc<Self>) {
        let (revision, map_revision) = (self.revision(), self.idem.map_revision());
        let mut out = Vec::new();
        let clock_ok = {
            let mut members = self.members.lock();
            let now = self.clock.mono();
            members.set_revisions(revision, map_revision);
            members.tick(now, self.clock.wall(), &mut out);
            members.clock_ok(now)
        };
        self.idem.set_clock_ok(clock_ok);
        self.perform_members(out);
    }

    fn tick_idem(self: &Arc<Self>) {
        if let Some(map) = self.idem.map() {
            let (me, now) = (self.identity.instance(), self.clock.mono());
            self.proposal_rule.lock().hold(&map, &me, now);
        }
        let mut out = Vec::new();
        self.idem
            .tick(self.clock.mono(), self.clock.wall(), &mut out);
        self.perform_idem(out);
    }

    fn tick_config(&self, hosts: &mut Vec<String>) {
        let live = self.members.lock().ranked_live_hosts();
        let live: Vec<String> = live.iter().map(ToString::to_string).collect();
        if live != *hosts {
            self.conf.set_hosts(&self.identity.region, &live);
            *hosts = live;
        }
        self.deliver_config();
    }
}
