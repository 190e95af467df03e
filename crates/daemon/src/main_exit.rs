//! Entry point of the `lacewingstiled` process: arguments, logging, runtime and signals.

use std::path::Path;

use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::arguments::Arguments;
use crate::exit::Exit;
use crate::json_logs::start_json_logs;
use crate::logs::start_logs;
use crate::run::run;
use crate::settings::{Settings, level_of};

/// Parses the arguments, runs the daemon until SIGTERM, SIGINT or a requested drain, and returns the result.
#[must_use]
pub fn main_exit() -> Exit {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments = match Arguments::parse_args_default(&arguments) {
        Ok(arguments) => arguments,
        Err(error) => {
            return usage_error(&format!(
                "{error}; run `lacewingstiled --help` to see the options"
            ));
        }
    };
    if arguments.help {
        println!(
            "Usage: lacewingstiled --settings FILE [--check]\n       lacewingstiled --platform [--check]\n\n{}",
            Arguments::usage()
        );
        return Exit::Ok;
    }
    if arguments.platform {
        return serve_on_platform(arguments.check);
    }
    let Some(path) = &arguments.settings else {
        return usage_error(
            "the option --settings is missing; give the path of the settings file: lacewingstiled --settings FILE",
        );
    };
    match Settings::read(path) {
        Err(error) => usage_error(&error.to_string()),
        Ok(_) if arguments.check => {
            println!("{}: ok", path.display());
            Exit::Ok
        }
        Ok(settings) => serve(path, settings),
    }
}

/// Runs a host on the platform, on one thread, so that no request waits for another thread to wake up.
fn serve_on_platform(check: bool) -> Exit {
    let path = match lw_platform::settings_path() {
        Ok(path) => path,
        Err(error) => return usage_error(&error.to_string()),
    };
    if check {
        return match lw_platform::check_settings(&path) {
            Ok(()) => {
                println!("{}: ok", path.display());
                Exit::Ok
            }
            Err(error) => usage_error(&error.to_string()),
        };
    }
    start_json_logs();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!(reason = error.to_string().as_str(); "cannot start the async runtime");
            return Exit::Failed;
        }
    };
    let tasks = tokio::task::LocalSet::new();
    let result = tasks.block_on(&runtime, lw_platform::run(&path));
    log::logger().flush();
    match result {
        Ok(()) => Exit::Ok,
        Err(error) => {
            eprintln!("lacewingstiled: {error}");
            Exit::Failed
        }
    }
}

fn usage_error(message: &str) -> Exit {
    eprintln!("lacewingstiled: {message}");
    Exit::Usage
}

fn serve(path: &Path, settings: Settings) -> Exit {
    start_logs(level_of(&settings.log_level).unwrap_or(log::LevelFilter::Info));
    log::info!("daemon: settings read from {}", path.display());
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("daemon: cannot start the async runtime: {error}");
            return Exit::Failed;
        }
    };
    runtime.block_on(async {
        let stop = CancellationToken::new();
        match cancel_on_signals(stop.clone()) {
            Ok(()) => run(settings, stop).await,
            Err(error) => {
                log::error!("daemon: cannot install the handlers of SIGTERM and SIGINT: {error}");
                Exit::Failed
            }
        }
    })
}

fn cancel_on_signals(stop: CancellationToken) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("daemon: received SIGTERM or SIGINT; draining");
        stop.cancel();
    });
    Ok(())
}
