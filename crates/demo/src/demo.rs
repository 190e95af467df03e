//! Runs the demonstration.

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
use crate::host_placement::place_hosts;
use crate::hosts::Hosts;
use crate::instructions::{address_text, command_text, order_text};
use crate::metrics_scraper::MetricsScraper;
use crate::options::Options;
use crate::orders::wait_for_orders;
use crate::platform::{Platform, PlatformAddresses};
use crate::publisher::{Publisher, time_until_in_force};
use crate::table::traffic_table;
use crate::targets::Targets;
use crate::traffic::Traffic;
use crate::traffic_counts::TrafficCounts;
use crate::workload::Workload;

/// Interval between two traffic tables.
const TABLE_PERIOD: Duration = Duration::from_secs(5);
/// Pause between two faults.
const FAULT_PAUSE: Duration = Duration::from_secs(3);

/// A running demonstration.
struct Demo {
    document: Document,
    platform: Platform,
    targets: Targets,
    hosts: Hosts,
    publisher: Publisher,
    traffic: Traffic,
    metrics: MetricsScraper,
    failed_steps: Vec<String>,
    faults: u64,
    orders_accepted: bool,
}

/// Runs the demonstration and returns its counts.
///
/// # Errors
///
/// Returns an error when a part cannot be started, or when the document is not in force in time.
pub async fn run_demo(options: &Options) -> Result<DemoSummary, DemoError> {
    let stop = CancellationToken::new();
    stop_on_signals(stop.clone())?;
    let mut demo = Demo::start(options).await?;
    demo.publish().await?;
    println!("{}", address_text(&demo.hosts, &demo.platform.addresses));
    println!("{}", command_text(&demo.document, &demo.hosts));
    demo.run_traffic(options, &stop).await;
    demo.finish().await
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
            place_hosts(&document),
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
            counts: Arc::new(Mutex::new(TrafficCounts::default())),
        };
        Ok(Self {
            publisher: Publisher::new(platform.addresses.key_value),
            document,
            platform,
            targets,
            hosts,
            traffic,
            metrics: MetricsScraper::default(),
            failed_steps: Vec::new(),
            faults: 0,
            orders_accepted: false,
        })
    }

    /// Publishes the document, and waits until it is in force and the directory lists all hosts.
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
        self.hosts.wait_for_revision(revision).await?;
        self.hosts.wait_for_directory().await
    }

    fn regions(&self) -> Vec<String> {
        self.document.regions.keys().cloned().collect()
    }

    async fn run_traffic(&mut self, options: &Options, stop: &CancellationToken) {
        let start = Instant::now();
        let min_duration = Duration::from_secs(options.seconds);
        let traffic_task = self
            .traffic
            .clone()
            .run(options.requests_per_s, stop.clone());
        let traffic_task = tokio::spawn(traffic_task);
        let mut orders = self.spawn_order_check();
        let mut next_table = Instant::now() + TABLE_PERIOD;
        let mut next_fault = 0;
        let mut fault_at: Option<Instant> = None;
        let mut is_waiting_for_orders = true;
        while !stop.is_cancelled() {
            let faults_left = options.faults && next_fault < Fault::ALL.len();
            if options.seconds > 0 && start.elapsed() >= min_duration && !faults_left {
                break;
            }
            if is_waiting_for_orders && orders.is_finished() {
                is_waiting_for_orders = false;
                self.orders_accepted = (&mut orders).await.unwrap_or(false);
                self.start_orders_or_fail();
                fault_at = options.faults.then(|| Instant::now() + FAULT_PAUSE);
            }
            if fault_at.is_some_and(|at| Instant::now() >= at) {
                self.produce(next_fault, start).await;
                next_fault += 1;
                fault_at = Some(Instant::now() + FAULT_PAUSE);
            }
            if Instant::now() >= next_table {
                self.scrape_and_print_table(start).await;
                next_table = Instant::now() + TABLE_PERIOD;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        stop.cancel();
        orders.abort();
        println!("waiting for in-flight requests");
        if let Err(error) = traffic_task.await {
            self.failed_steps
                .push(format!("sending the traffic failed: {error}"));
        }
        self.scrape_and_print_table(start).await;
    }

    fn spawn_order_check(&self) -> tokio::task::JoinHandle<bool> {
        let (traffic, regions) = (self.traffic.clone(), self.regions());
        println!("orders start when the first shard maps accept keys, about 30 s from now");
        tokio::spawn(async move { wait_for_orders(&traffic, &regions).await })
    }

    fn start_orders_or_fail(&mut self) {
        if !self.orders_accepted {
            self.failed_steps
                .push("a region did not accept orders in time".to_owned());
            return;
        }
        self.traffic.workload.lock().start_orders();
        println!("every region accepts orders now");
        if let Some(region) = self.regions().first() {
            println!("{}", order_text(&self.document, &self.hosts, region));
        }
    }

    /// Produces a fault, and prints traffic tables until the affected part has recovered.
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
                _ = tables.tick() => print_table(&self.metrics, &self.traffic, &self.targets, start),
            }
        };
        self.faults += 1;
        if let Err(error) = result {
            println!("FAULT: a step failed: {error}");
            self.failed_steps.push(format!("{fault:?}: {error}"));
        }
    }

    async fn scrape_and_print_table(&mut self, start: Instant) {
        let admin = self.hosts.iter().map(|host| host.daemon.addresses().admin);
        self.metrics.read(admin).await;
        print_table(&self.metrics, &self.traffic, &self.targets, start);
    }

    /// Drains all hosts, prints the summary and returns it.
    async fn finish(self) -> Result<DemoSummary, DemoError> {
        println!("stopping all hosts");
        let failed_stops = self.hosts.drain_all().await;
        let counts = self.traffic.counts.lock();
        let summary = DemoSummary {
            failed_stops,
            failed_steps: self.failed_steps,
            faults: self.faults,
            sent_to_other_region: self.metrics.region_attempts(),
            orders_accepted: self.orders_accepted,
            ..DemoSummary::of(&counts, &self.targets)
        };
        println!("{}", summary.text());
        Ok(summary)
    }
}

fn print_table(metrics: &MetricsScraper, traffic: &Traffic, targets: &Targets, start: Instant) {
    let table = traffic_table(
        &traffic.counts.lock(),
        metrics.region_attempts(),
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
