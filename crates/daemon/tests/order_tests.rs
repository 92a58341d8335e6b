//! Tests that agents send their engine an order for its model, version, adapters and role, each once
//! and with a fencing number that never decreases.

mod session;

use engine::OrderKind;
use fake::ClusterSpec;
use session::TestSite;
use std::fs;
use std::path;
use yare::parameterized;

/// Returns the model orders that an engine received, each with its fencing number.
fn model_orders(engine: &fake::Engine) -> Vec<(u64, String)> {
    let orders = engine.orders();
    let fences_and_names = orders.iter().filter_map(|o| match &o.kind {
        OrderKind::Model { name, .. } => Some((o.fence, name.clone())),
        OrderKind::Role { .. } | OrderKind::Adapters { .. } | OrderKind::Fence => None,
    });
    fences_and_names.collect()
}

fn apply_model(site: &TestSite, model: &str) {
    apply_with_replacement(site, "model: summary-1", &format!("model: {model}"));
}

/// Applies the example documents with a part of their text replaced.
fn apply_with_replacement(site: &TestSite, old: &str, new: &str) {
    let text = fs::read_to_string(&site.documents_path).expect("the documents can be read");
    let text = text.replace(old, new);
    let path = site.cluster.folder.join("next.yaml");
    fs::write(&path, text).expect("the folder is writable");
    let (code, out) = site.run_client(&["apply", &path.display().to_string()]);
    assert_eq!(code, 0, "{out}");
}

#[parameterized(
    engine_with_fencing = { true },
    engine_without_fencing = { false },
)]
fn restarted_agent_orders_the_model_with_a_higher_fence(fencing: bool) {
    let mut spec = ClusterSpec::small();
    spec.engine.fencing = fencing;
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut site = TestSite::start(spec, program, &[]);
    let first_order = (1, "summary-1".to_owned());
    let ordered = site.cluster.wait_until(session::WAIT_LIMIT, |cluster| {
        model_orders(&cluster.decode_engines[0]) == [first_order.clone()]
    });
    assert!(
        ordered,
        "{:?}",
        model_orders(&site.cluster.decode_engines[0])
    );
    let agent = site.cluster.daemon_index("decode-1");
    site.cluster.daemons[agent].kill();
    site.cluster.spawn(agent);
    apply_model(&site, "summary-2");
    let second_order = (2, "summary-2".to_owned());
    let ordered = site.cluster.wait_until(session::WAIT_LIMIT, |cluster| {
        model_orders(&cluster.decode_engines[0]).last() == Some(&second_order)
    });
    let orders = model_orders(&site.cluster.decode_engines[0]);
    assert!(ordered, "{orders:?}");
    assert!(orders.is_sorted_by_key(|(fence, _)| *fence), "{orders:?}");
    // This order was given by the agent's first run and arrives late.
    let late_order = engine::Order {
        fence: 1,
        kind: OrderKind::Model {
            name: "summary-1".into(),
            version: String::new(),
        },
    };
    let result =
        engine::EngineClient::new(site.cluster.decode_engines[0].address()).send_order(&late_order);
    let expected = match fencing {
        true => Err(engine::EngineError::Fenced),
        false => Ok(()),
    };
    assert_eq!(result, expected);
}

fn wait_for_orders(site: &TestSite, wanted: &[OrderKind]) {
    let kinds = |cluster: &fake::TestCluster| -> Vec<OrderKind> {
        let orders = cluster.decode_engines[0].orders();
        orders.into_iter().map(|o| o.kind).collect()
    };
    let all_received = |cluster: &fake::TestCluster| kinds(cluster).len() >= wanted.len();
    site.cluster.wait_until(session::WAIT_LIMIT, all_received);
    assert_eq!(kinds(&site.cluster), wanted);
}

#[test]
fn version_adapters_and_role_are_ordered_once_each() {
    let spec = ClusterSpec::small();
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let site = TestSite::start(spec, program, &[]);
    let model = |version: &str| OrderKind::Model {
        name: "summary-1".into(),
        version: version.into(),
    };
    let role = "decode".into();
    let mut wanted = vec![OrderKind::Role { role }, model("")];
    wait_for_orders(&site, &wanted);
    let new = "model: summary-1\n    version: \"7\"\n    adapters: [slips, culverts]";
    apply_with_replacement(&site, "model: summary-1", new);
    let names = vec!["slips".into(), "culverts".into()];
    wanted.extend([model("7"), OrderKind::Adapters { names }]);
    wait_for_orders(&site, &wanted);
    // A caller selects an adapter by its name in the field `model`.
    let (_, key) = site.issue_key(session::RANGERS);
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let body = r#"{"model": "culverts", "prompt": "How many?", "max_tokens": 9}"#;
    let url = site.url(0, "/v1/completions");
    let response = session::send_request("POST", &url, &headers, body);
    assert_eq!(response.status, 200, "{response:?}");
    let (_, shown) = site.run_client(&["show"]);
    assert!(
        shown.contains("adapters: [\"slips\", \"culverts\"]"),
        "{shown}"
    );
}
