//! Runs the daemon from its start to the end of its drain.

use tokio_util::sync::CancellationToken;

use crate::daemon::Daemon;
use crate::exit::Exit;
use crate::settings::Settings;

/// Runs a daemon until `stop` is cancelled or an operator requests a planned stop, then drains it.
///
/// Several daemons can run in one process.
pub async fn run(settings: Settings, stop: CancellationToken) -> Exit {
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            log::error!("daemon: cannot start: {error}");
            return Exit::Failed;
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = daemon.drain_requested() => {}
    }
    daemon.drain().await
}
