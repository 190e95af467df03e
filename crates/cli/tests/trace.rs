//! The subcommand `trace`: shows the log lines of a request.

use lw_cli::run;
use test_case::test_case;

const LOG: &str = r#"{"time_ms":1000,"level":"INFO","message":"loaded a configuration","version":3}
  0.1 edge-1 {"time_ms":2000,"level":"INFO","message":"an attempt failed","id":"a1","to":"i-1","failure":"ConnectFailed"}
{"time_ms":2010,"level":"INFO","message":"answered","id":"a2","status":200}
not a line of the daemon
{"time_ms":2050,"level":"INFO","message":"answered","id":"a1","to":"i-2","status":200}
{"time_ms":9000,"level":"INFO","message":"the host stops"}
"#;

struct Case {
    id: &'static str,
    code: u8,
    shown: &'static [&'static str],
    hidden: &'static [&'static str],
}

/// Guards against output without the cause of a failure, and against lines of other requests in it.
#[test_case(&Case { id: "a1", code: 0, shown: &["loaded a configuration", "failure=ConnectFailed", "to=i-2", "-1000", "+50"], hidden: &["a2", "the host stops"] }; "a request with a failed attempt")]
#[test_case(&Case { id: "zz", code: 1, shown: &["no log line has the id zz"], hidden: &["answered"] }; "an unknown request")]
fn trace_shows_the_request_and_state_changes_before_it(case: &Case) {
    let name = format!("lacewingstile-trace-{}-{}.log", std::process::id(), case.id);
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, LOG).expect("a folder for temporary files");
    let file_name = file.display().to_string();
    let arguments = ["trace", "--id", case.id, &file_name].map(str::to_owned);
    let output = run(&arguments);
    std::fs::remove_file(&file).expect("the file is there");
    assert_eq!(output.code, case.code, "{output:?}");
    let printed = format!("{}{}", output.stdout, output.stderr);
    for text in case.shown {
        assert!(printed.contains(text), "{text}: {printed}");
    }
    for text in case.hidden {
        assert!(!printed.contains(text), "{text}: {printed}");
    }
}

/// Guards against empty output when no log file is given.
#[test]
fn a_log_file_is_required() {
    let arguments = ["trace", "--id", "a1"].map(str::to_owned);
    assert_eq!(run(&arguments).code, 2);
}
