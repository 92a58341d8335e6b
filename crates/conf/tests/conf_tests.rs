//! Settings, documents, keys, and what is in force.

use conf::Adoption;
use conf::Findings;
use conf::IssuedKey;
use conf::KeyError;
use conf::Revised;
use conf::Settings;
use rand::SeedableRng;
use world::Contract;
use yare::parameterized;

fn places(findings: &Findings) -> Vec<(usize, usize)> {
    findings.all.iter().map(|f| (f.line, f.column)).collect()
}

fn settings_findings(text: &str) -> Findings {
    Settings::read_text("entry.yaml", text).expect_err("the file is wrong")
}

#[parameterized(
    entry = { include_str!("../../../settings/entry.yaml") },
    agent = { include_str!("../../../settings/agent.yaml") },
)]
fn example_settings_are_valid(text: &str) {
    Settings::read_text("example.yaml", text).expect("the example is valid");
}

#[test]
fn example_client_settings_are_valid() {
    let text = include_str!("../../../settings/client.yaml");
    conf::ClientSettings::read_text("client.yaml", text).expect("the example is valid");
}

#[test]
fn example_documents_are_valid() {
    let text = include_str!("../../../settings/documents.yaml");
    let contract = conf::read_document(&[("documents.yaml", text)]).expect("it is valid");
    assert_eq!(contract.classes.len(), 2);
    assert_eq!(contract.route("/open/x").map(|r| r.open), Some(true));
    assert_eq!(contract.route("/dispatch/x").map(|r| r.open), Some(false));
}

#[test]
fn settings_findings_come_all_together_with_their_places() {
    let text = "host: entry-1\nzone: ruahine\nrole: gate\nlisten: here\nadmin: 127.0.0.1:7002\n\
                store: 127.0.0.1:2379\nhosts: 127.0.0.1:2380\nsecrets: []\ncolour: blue\n";
    let findings = settings_findings(text);
    insta::assert_snapshot!(findings.to_string());
}

#[parameterized(
    list_left_open_is_found_at_the_end = { "host: [", (2, 1) },
    no_mapping = { "- a\n- b\n", (1, 1) },
    twice = { "host: a\nhost: b\n", (2, 1) },
)]
fn broken_yaml_is_told_with_its_place(text: &str, place: (usize, usize)) {
    let found = places(&settings_findings(text));
    assert_eq!(found.first().map(|p| p.0), Some(place.0), "{found:?}");
}

#[test]
fn document_findings_come_from_all_files() {
    let one = "classes:\n  - name: urgent\n    first_ms: 0\n    token_ms: 31\n";
    let two = "upstreams:\n  - name: summary\n    kind: model\n    model: summary-1\n    class: nobody\n\
               routes:\n  - path: orders\n    upstream: dispatch\n\
               organisations:\n  - name: a\n    rate: -1\n    burst: 5\n  - name: a\n    rate: 1\n    burst: 5\n";
    let findings = conf::read_document(&[("one.yaml", one), ("two.yaml", two)]);
    insta::assert_snapshot!(findings.expect_err("both are wrong").to_string());
}

fn contract_with_key() -> (Contract, String) {
    let mut random = rand::rngs::StdRng::seed_from_u64(7);
    let issued = IssuedKey::generate("rangers".into(), &mut random);
    let contract = Contract {
        keys: vec![issued.key],
        ..Contract::default()
    };
    (contract, issued.token)
}

#[test]
fn key_is_known_by_its_secret_alone() {
    let (contract, token) = contract_with_key();
    let key = conf::verify_key(&contract, &token).expect("the key is in force");
    assert_eq!(&*key.organisation, "rangers");
    let stored = serde_json::to_string(&contract).expect("a contract is JSON");
    let secret = token.rsplit('_').next().expect("a key has a secret");
    assert!(!stored.contains(secret));
    let wrong = format!("{token}0");
    assert_eq!(conf::verify_key(&contract, &wrong), Err(KeyError::Unknown));
    assert_eq!(
        conf::verify_key(&contract, "hbp_x"),
        Err(KeyError::Malformed)
    );
}

#[test]
fn configuration_never_goes_back() {
    let revised = |revision| Revised {
        revision,
        contract: Contract::default(),
        writer: String::new(),
    };
    let mut adoption = Adoption::default();
    assert!(adoption.offer(revised(3)));
    assert!(!adoption.offer(revised(2)));
    assert!(!adoption.offer(revised(3)));
    assert!(adoption.offer(revised(5)));
    assert_eq!(adoption.revision(), 5);
}
