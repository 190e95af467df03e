//! The demonstration from its start to its end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use lw_doc::{Document, parse_document};
use parking_lot::Mutex;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::caller::Caller;
use crate::demo_error::DemoError;
use crate::demo_summary::DemoSummary;
use crate::faults::{Fault, Faults};
use crate::host_plan::plan_hosts;
use crate::hosts::Hosts;
use crate::intro::{address_text, command_text, order_text};
use crate::options::Options;
use crate::orders::wait_for_orders;
use crate::platform::{Platform, PlatformAddresses};
use crate::publisher::{Publisher, time_until_in_force};
use crate::scrape::Scrape;
use crate::table::traffic_table;
use crate::tally::Tally;
use crate::targets::Targets;
use crate::traffic::Traffic;
use crate::workload::Workload;

const TABLE_PERIOD: Duration = Duration::from_secs(5);
/// The time between two faults.
const FAULT_PAUSE: Duration = Duration::from_secs(3);

/// A running demonstration.
struct Demo {
    document: Document,
    platform: Platform,
    targets: Targets,
    hosts: Hosts,
    publisher: Publisher,
    traffic: Traffic,
    scrape: Scrape,
    failed_steps: Vec<String>,
    faults: u64,
    orders_accepted: bool,
}

/// Runs the demonstration and returns what it counted.
///
/// # Errors
///
/// Returns an error when a part cannot be started or the document is not in force in time.
pub async fn run_demo(options: &Options) -> Result<DemoSummary, DemoError> {
    let stop = CancellationToken::new();
    stop_on_signals(stop.clone())?;
    let mut demo = Demo::start(options).await?;
    demo.publish().await?;
    println!("{}", address_text(&demo.hosts, &demo.platform.addresses));
    println!("{}", command_text(&demo.document, &demo.hosts));
    demo.play(options, &stop).await;
    demo.end().await
}

impl Demo {
    async fn start(options: &Options) -> Result<Self, DemoError> {
        let deployment = options.deployment;
        let mut document = parse_document(deployment.file(), deployment.text())?.document;
        let targets = Targets::start_on_free_ports(&mut document).await?;
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let wanted = PlatformAddresses {
            key_value: free,
            host_list: free,
            weights: free,
        };
        let platform = Platform::start(wanted, &document).await?;
        let hosts = Hosts::start(
            plan_hosts(&document),
            platform.addresses,
            platform.hosts.clone(),
        )
        .await?;
        println!(
            "started {} hosts and {} targets of {}; traffic seed {}",
            hosts.iter().count(),
            targets.len(),
            deployment.file(),
            options.seed
        );
        let traffic = Traffic {
            caller: Caller::new(platform.hosts.clone()),
            workload: Arc::new(Mutex::new(Workload::new(&document, options.seed))),
            tally: Arc::new(Mutex::new(Tally::default())),
        };
        Ok(Self {
            publisher: Publisher::new(platform.addresses.key_value),
            document,
            platform,
            targets,
            hosts,
            traffic,
            scrape: Scrape::default(),
            failed_steps: Vec::new(),
            faults: 0,
            orders_accepted: false,
        })
    }

    /// Publishes the document and waits until it is in force and all hosts are in the directory.
    async fn publish(&self) -> Result<(), DemoError> {
        let start = Instant::now();
        let addresses = self.hosts.gateway_addresses();
        let change = |next: &mut Document| next.clone_from(&self.document);
        let revision = self.publisher.change(addresses, change).await?;
        for (region, time) in
            time_until_in_force(&self.hosts, &self.regions(), revision, start).await
        {
            match time {
                Some(time) => println!(
                    "revision {revision} is in force in {region} after {} ms",
                    time.as_millis()
                ),
                None => println!("revision {revision} is not in force in {region} yet"),
            }
        }
        self.hosts.wait_for(revision).await?;
        self.hosts.wait_for_directory().await
    }

    fn regions(&self) -> Vec<String> {
        self.document.regions.keys().cloned().collect()
    }

    async fn play(&mut self, options: &Options, stop: &CancellationToken) {
        let start = Instant::now();
        let until = Duration::from_secs(options.seconds);
        let sender = self
            .traffic
            .clone()
            .run(options.requests_per_s, stop.clone());
        let sender = tokio::spawn(sender);
        let mut orders = self.spawn_orders();
        let mut next_table = Instant::now() + TABLE_PERIOD;
        let mut next_fault = 0;
        let mut fault_at: Option<Instant> = None;
        let mut waits_for_orders = true;
        while !stop.is_cancelled() {
            let round_left = options.faults && next_fault < Fault::ALL.len();
            if options.seconds > 0 && start.elapsed() >= until && !round_left {
                break;
            }
            if waits_for_orders && orders.is_finished() {
                waits_for_orders = false;
                self.orders_accepted = (&mut orders).await.unwrap_or(false);
                self.take_orders();
                fault_at = options.faults.then(|| Instant::now() + FAULT_PAUSE);
            }
            if fault_at.is_some_and(|at| Instant::now() >= at) {
                self.produce(next_fault, start).await;
                next_fault += 1;
                fault_at = Some(Instant::now() + FAULT_PAUSE);
            }
            if Instant::now() >= next_table {
                self.read_and_print(start).await;
                next_table = Instant::now() + TABLE_PERIOD;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        stop.cancel();
        orders.abort();
        println!("waiting for requests in flight");
        if let Err(error) = sender.await {
            self.failed_steps
                .push(format!("the sender of traffic: {error}"));
        }
        self.read_and_print(start).await;
    }

    fn spawn_orders(&self) -> tokio::task::JoinHandle<bool> {
        let (traffic, regions) = (self.traffic.clone(), self.regions());
        println!("orders begin when the first shard maps take keys, about 30 s from now");
        tokio::spawn(async move { wait_for_orders(&traffic, &regions).await })
    }

    fn take_orders(&mut self) {
        if !self.orders_accepted {
            self.failed_steps.push("a region took no orders".to_owned());
            return;
        }
        self.traffic.workload.lock().start_orders();
        println!("every region takes orders now");
        if let Some(region) = self.regions().first() {
            println!("{}", order_text(&self.document, &self.hosts, region));
        }
    }

    /// Produces a fault; the table goes on meanwhile.
    async fn produce(&mut self, number: usize, start: Instant) {
        let fault = Fault::ALL[number % Fault::ALL.len()];
        let mut faults = Faults {
            platform: &self.platform,
            targets: &self.targets,
            hosts: &mut self.hosts,
            document: &self.document,
            publisher: &self.publisher,
        };
        let produced = faults.produce(fault, number / Fault::ALL.len());
        tokio::pin!(produced);
        let mut tables = tokio::time::interval(TABLE_PERIOD);
        tables.tick().await;
        let result = loop {
            tokio::select! {
                result = &mut produced => break result,
                _ = tables.tick() => print_table(&self.scrape, &self.traffic, &self.targets, start),
            }
        };
        self.faults += 1;
        if let Err(error) = result {
            println!("FAULT: a step failed: {error}");
            self.failed_steps.push(format!("{fault:?}: {error}"));
        }
    }

    async fn read_and_print(&mut self, start: Instant) {
        let admin = self.hosts.iter().map(|host| host.daemon.addresses().admin);
        self.scrape.read(admin).await;
        print_table(&self.scrape, &self.traffic, &self.targets, start);
    }

    /// Stops all hosts and counts.
    async fn end(self) -> Result<DemoSummary, DemoError> {
        println!("stopping all hosts");
        let failed_stops = self.hosts.drain_all().await;
        let tally = self.traffic.tally.lock();
        let verdict = DemoSummary {
            failed_stops,
            failed_steps: self.failed_steps,
            faults: self.faults,
            sent_to_other_region: self.scrape.region_attempts(),
            orders_accepted: self.orders_accepted,
            ..DemoSummary::of(&tally, &self.targets)
        };
        println!("{}", verdict.text());
        Ok(verdict)
    }
}

fn print_table(scrape: &Scrape, traffic: &Traffic, targets: &Targets, start: Instant) {
    let table = traffic_table(
        &traffic.tally.lock(),
        scrape.region_attempts(),
        targets.orders(),
    );
    println!("\nafter {} s\n{table}", start.elapsed().as_secs());
}

fn stop_on_signals(stop: CancellationToken) -> Result<(), DemoError> {
    let mut interrupt = signal(SignalKind::interrupt()).map_err(DemoError::Signals)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(DemoError::Signals)?;
    tokio::spawn(async move {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        stop.cancel();
    });
    Ok(())
}
