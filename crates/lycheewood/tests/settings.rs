//! Settings that are refused, and the role that they give to a process.

use lycheewood::{RoleSettings, Settings};

const COMMON: &str = "instance: a\nfailure_domain: a\nadmin_address: 127.0.0.1:0\n\
    log_address: 127.0.0.1:1\ninstance_list_address: 127.0.0.1:1\n";
const ENTRY: &str = "role: entry\ncaller_address: 127.0.0.1:0\n";
const ENGINE: &str = "role: endpoint\npeer_address: 127.0.0.1:0\nbackend_address: 127.0.0.1:1\n\
    endpoint_kind: engines\nversion: v1\n";
const SERVICE: &str = "role: endpoint\npeer_address: 127.0.0.1:0\nbackend_address: 127.0.0.1:1\n\
    endpoint_kind: jobs\n";

/// Guards against a daemon that starts with settings that contradict each other and then never joins
/// its group, or joins another one.
#[test]
fn contradictory_settings_are_refused_by_name() {
    let cases = [
        (ENTRY, "rank: {group: g, index: 0, ranks: 4}", "`rank`"),
        (SERVICE, "rank: {group: g, index: 0, ranks: 4}", "`rank`"),
        (ENGINE, "rank: {group: g, index: 4, ranks: 4}", "`rank.index`"),
        (ENGINE, "rank: {group: g, index: 0, ranks: 0}", "`rank.ranks`"),
        (ENGINE, "rank: {group: g, index: 0, ranks: 4097}", "`rank.ranks`"),
        (ENGINE, "rank: {group: g/2, index: 0, ranks: 4}", "`rank.group`"),
        (ENGINE, "rank: {group: '', index: 0, ranks: 4}", "`rank.group`"),
        (ENGINE, "rank: {group: g, index: 0, ranks: 4, speed: 1}", "speed"),
        (ENGINE, "rank: {group: g, index: 0}", "ranks"),
        (ENGINE, "control: true", "`control`"),
        (ENTRY, "timing: {lease_ms: 5}", "`timing.lease_ms`"),
        (ENTRY, "timing: {silence_ms: 500}", "`timing.silence_ms`"),
        (ENTRY, "timing: {entry_linger_ms: 500}", "`timing.entry_linger_ms`"),
        (ENTRY, "timing: {key_window_ms: 86400000}", "`timing.key_window_ms`"),
        (ENTRY, "routing: {load_bound: 0.5}", "`routing.load_bound`"),
        (ENTRY, "routing: {load_bound: .nan}", "`routing.load_bound`"),
        (ENTRY, "routing: {max_error_share: 2}", "`routing.max_error_share`"),
        (ENTRY, "retries: {share: 2}", "`retries`"),
        (ENTRY, "admission: {brownout_at: [2, 1, 3]}", "`admission.brownout_at`"),
        (ENTRY, "admission: {queue: 1}", "queue"),
    ];
    for (role, line, named) in cases {
        let error = Settings::from_yaml(&format!("{role}{COMMON}{line}\n")).expect_err(line);
        assert!(error.to_string().contains(named), "{line}: {error}");
    }
}

/// Guards against a fleet in which no entry takes part in control unless it is told to.
#[test]
fn entries_take_part_in_control_by_default() {
    for (line, expected) in [("", true), ("control: true\n", true), ("control: false\n", false)] {
        let settings = Settings::from_yaml(&format!("{ENTRY}{COMMON}{line}")).expect("valid");
        let RoleSettings::Entry { control, .. } = settings.role else { panic!("no entry") };
        assert_eq!(control, expected, "{line}");
    }
}

/// Guards against a rank that is read from the file and not handed on.
#[test]
fn a_rank_is_handed_on() {
    let yaml = format!("{ENGINE}{COMMON}rank: {{group: g, index: 3, ranks: 4}}\n");
    let RoleSettings::Endpoint { rank: Some(rank), .. } =
        Settings::from_yaml(&yaml).expect("valid").role
    else {
        panic!("no rank")
    };
    assert_eq!((rank.group.as_str(), rank.index, rank.ranks), ("g", 3, 4));
}
