//! The role names that commands and load reports carry.
//!
//! Guards against a renamed role, which engines would not understand.

use lw_place::EngineRole;

#[test]
fn role_names_stay_the_same() {
    for (role, name) in [
        (EngineRole::Serve, "serve"),
        (EngineRole::Drain, "drain"),
        (EngineRole::Standby, "standby"),
    ] {
        assert_eq!(role.as_str(), name);
        assert_eq!(EngineRole::from_name(name), Some(role));
    }
    assert_eq!(EngineRole::from_name("Serve"), None);
}
