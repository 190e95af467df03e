//! Contenders for one lease of the fake key-value service, on a clock that the test advances.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use lw_base::MonoMs;
use lw_lease::{LeaseClient, LeaseTimes, SingleHolderCheck};
use lw_plat::Kv;
use lw_stand::{FakeKv, KvLink};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub(crate) struct Contender {
    pub(crate) client: LeaseClient,
    pub(crate) kv: Kv,
    pub(crate) link: KvLink,
}

pub(crate) struct Harness {
    pub(crate) fake_kv: FakeKv,
    pub(crate) clock: Arc<AtomicU64>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) contenders: Vec<Contender>,
    check: SingleHolderCheck,
}

impl Harness {
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        println!("seed {seed}");
        let clock = Arc::new(AtomicU64::new(1_000));
        let time = clock.clone();
        let fake_kv = FakeKv::with_clock(move || MonoMs(time.load(Ordering::SeqCst)));
        // The test clock does not advance during a call, so a watch must return at once.
        let times = LeaseTimes {
            watch_ms: 0,
            ..LeaseTimes::default()
        };
        let contender = |index| {
            let mut client = LeaseClient::new("place/east", format!("h{index}-1"), times);
            client.set_wanted(MonoMs(0), true);
            let link = KvLink::default();
            let kv = link.attach(fake_kv.kv());
            Contender { client, kv, link }
        };
        Self {
            contenders: (0..count).map(contender).collect(),
            fake_kv,
            clock,
            rng: ChaCha8Rng::seed_from_u64(seed),
            check: SingleHolderCheck::default(),
        }
    }

    pub(crate) fn now(&self) -> MonoMs {
        MonoMs(self.clock.load(Ordering::SeqCst))
    }

    /// Makes one call of contender `index` if one is due; returns whether it was.
    pub(crate) async fn make_call(&mut self, index: usize) -> bool {
        let now = self.now();
        let contender = &mut self.contenders[index];
        let Some(call) = contender.client.tick(now) else {
            return false;
        };
        let result = contender.kv.call(call).await;
        contender.client.reply(now, &mut self.rng, result);
        true
    }

    /// Makes all due calls of contender `index`.
    pub(crate) async fn make_due_calls(&mut self, index: usize) {
        while self.make_call(index).await {}
    }

    /// Advances the clock while the contenders in `running` make calls, and checks after each call that at most one
    /// contender may act.
    pub(crate) async fn run(&mut self, span_ms: u64, running: &[usize]) {
        for _ in 0..span_ms / 100 {
            self.clock.fetch_add(100, Ordering::SeqCst);
            self.check_acting();
            for index in running {
                while self.make_call(*index).await {
                    self.check_acting();
                }
            }
        }
    }

    fn check_acting(&mut self) {
        let acting = self.acting();
        assert!(acting.len() <= 1, "{acting:?}");
        for (index, epoch) in acting {
            assert!(
                self.check
                    .record_action("east", epoch, &format!("h{index}"))
            );
        }
    }

    /// Returns the contenders that may act now, with their fencing numbers.
    pub(crate) fn acting(&self) -> Vec<(usize, u64)> {
        let now = self.now();
        let holders = self.contenders.iter().enumerate();
        holders
            .filter_map(|(index, one)| Some((index, one.client.may_act(now)?)))
            .collect()
    }

    /// Returns the one contender that may act now.
    pub(crate) fn current_holder(&self) -> (usize, u64) {
        self.acting()[0]
    }
}
