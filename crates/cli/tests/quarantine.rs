//! The subcommand `quarantine`: faults in its arguments, and a store that cannot be reached.

use lw_cli::run;
use test_case::test_case;

struct Case {
    arguments: &'static [&'static str],
    code: u8,
    shown: &'static str,
}

// Guards against a lift that looks as if it had succeeded.
#[test_case(&Case { arguments: &["quarantine"], code: 2, shown: "--kv" }; "no address")]
#[test_case(&Case { arguments: &["--kv", "store", "quarantine"], code: 2, shown: "IP:PORT" }; "a malformed address")]
#[test_case(&Case { arguments: &["--kv", "127.0.0.1:1", "quarantine", "--lift", "zz"], code: 2, shown: "is not a part" }; "a malformed part")]
#[test_case(&Case { arguments: &["--kv", "127.0.0.1:1", "quarantine"], code: 5, shown: "check its address" }; "a list without a store")]
#[test_case(&Case { arguments: &["--kv", "127.0.0.1:1", "quarantine", "--lift", "3fb"], code: 5, shown: "check its address" }; "a lift without a store")]
fn faults_are_named(case: &Case) {
    let arguments: Vec<String> = case
        .arguments
        .iter()
        .map(|text| (*text).to_owned())
        .collect();
    let output = run(&arguments);
    assert_eq!(output.code, case.code, "{output:?}");
    assert!(output.stderr.contains(case.shown), "{output:?}");
    assert!(output.stdout.is_empty(), "{output:?}");
}
