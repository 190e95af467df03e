//! Reads every file in `samples/` with the code of the program that uses it.

use std::path::{Path, PathBuf};

use lw_daemon::Settings;
use lw_demo::StandSettings;
use test_case::test_case;

fn samples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples")
}

fn files_in(directory: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(directory).unwrap();
    let mut files: Vec<PathBuf> = entries
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.is_file())
        .collect();
    files.sort();
    files
}

fn run_cli(arguments: &[&str]) -> lw_cli::CommandOutput {
    let arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
    lw_cli::run(&arguments)
}

/// Guards against sample documents that the command-line tool rejects.
#[test]
fn sample_documents_are_valid() {
    let files = files_in(&samples());
    assert!(files.len() >= 3, "{files:?}");
    for file in files {
        let output = run_cli(&["validate", file.to_str().unwrap()]);
        assert_eq!(output.code, 0, "{}: {}", file.display(), output.stderr);
    }
}

/// Guards against sample settings that their program rejects, and against a new file that no test reads.
#[test]
fn sample_settings_are_accepted() {
    let directory = samples().join("settings");
    for file in files_in(&directory) {
        let name = file.file_name().unwrap().to_str().unwrap();
        if name == "stand.json" {
            StandSettings::read(&file).unwrap();
        } else if name == "cli.json" {
            let document = samples().join("local.json");
            let arguments = ["--settings", file.to_str().unwrap(), "validate"];
            let output = run_cli(&[&arguments[..], &[document.to_str().unwrap()]].concat());
            assert_eq!(output.code, 0, "{}", output.stderr);
        } else if name.starts_with("host-") {
            Settings::read(&file).unwrap();
        } else {
            panic!("{name}: no program reads this file");
        }
    }
}

/// Guards against settings of hosts that do not match the settings of `lacewingstile-stand`.
#[test_case("host-1"; "first")]
#[test_case("host-2"; "second")]
#[test_case("host-3"; "third")]
fn host_settings_match_the_stand_settings(host: &str) {
    let directory = samples().join("settings");
    let stand = StandSettings::read(&directory.join("stand.json")).unwrap();
    let settings = Settings::read(&directory.join(format!("{host}.json"))).unwrap();
    let platform = &settings.platform;
    let key_value = stand.key_value.to_string();
    let host_list = stand.host_list.to_string();
    assert_eq!(platform.key_value.as_ref(), Some(&key_value));
    assert_eq!(platform.host_list.as_ref(), Some(&host_list));
    assert_eq!(platform.directory.as_ref(), Some(&host_list));
    let entry = stand.hosts.iter().find(|entry| entry.host == host).unwrap();
    assert_eq!(
        (&entry.region, &entry.zone),
        (&settings.region, &settings.zone)
    );
    assert_eq!(entry.caller_address, settings.listen.callers.to_string());
    assert_eq!(entry.peer_address, settings.listen.nng.to_string());
    let mut known = stand.hosts.iter().map(|entry| &entry.peer_address);
    let seeds = settings.seeds.iter().chain(&settings.region_seeds);
    assert!(
        seeds.count() == 2
            && known.all(|peer| {
                *peer == entry.peer_address
                    || settings.seeds.contains(peer)
                    || settings.region_seeds.contains(peer)
            })
    );
}
