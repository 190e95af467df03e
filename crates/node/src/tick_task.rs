//! Runs the periodic work of membership, configuration and the at-most-once protocol.

use std::sync::Arc;
use std::time::Instant;

use crate::core::Core;

const TICK_PERIOD_MS: u64 = 100;

/// Region summaries and configuration revisions change slowly, so the work on them runs in one of ten ticks.
const TICKS_PER_SLOW_TICK: u64 = 10;

/// Runs the ticks until the node ends.
pub(crate) async fn tick(core: Arc<Core>) {
    let mut last_hosts = Vec::new();
    for number in 0_u64.. {
        let began = Instant::now();
        core.tick_members();
        core.tick_idem();
        core.tick_config(&mut last_hosts);
        if number.is_multiple_of(TICKS_PER_SLOW_TICK) {
            core.measure_region_load();
            core.update_region_summaries(core.clock.mono(), core.clock.wall());
            core.pull_config();
        }
        core.counters.record_work(began.elapsed());
        core.clock.sleep(TICK_PERIOD_MS).await;
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
        self.perform_member_actions(out);
    }

    fn tick_idem(self: &Arc<Self>) {
        if let Some(map) = self.idem.map() {
            let (me, now) = (self.identity.instance(), self.clock.mono());
            self.proposal_rule.lock().observe_map(&map, &me, now);
        }
        let mut out = Vec::new();
        self.idem
            .tick(self.clock.mono(), self.clock.wall(), &mut out);
        self.perform_idem_actions(out);
    }

    fn tick_config(&self, last_hosts: &mut Vec<String>) {
        let live = self.members.lock().ranked_live_hosts();
        let live: Vec<String> = live.iter().map(ToString::to_string).collect();
        if live != *last_hosts {
            self.conf.set_hosts(&self.identity.region, &live);
            *last_hosts = live;
        }
        self.deliver_config();
    }
}
