//! Orders to engines: each from one giver, under a number that only grows.

mod session;

use engine::OrderKind;
use fake::ClusterSpec;
use session::Session;
use std::fs;
use std::path;
use yare::parameterized;

fn models(engine: &fake::Engine) -> Vec<(u64, String)> {
    let orders = engine.orders();
    let given = orders.iter().filter_map(|o| match &o.kind {
        OrderKind::Model { name, .. } => Some((o.fence, name.clone())),
        OrderKind::Role { .. } | OrderKind::Adapters { .. } | OrderKind::Fence => None,
    });
    given.collect()
}

fn apply_model(session: &Session, model: &str) {
    apply_instead(session, "model: summary-1", &format!("model: {model}"));
}

fn apply_instead(session: &Session, old: &str, new: &str) {
    let text = fs::read_to_string(&session.documents_path).expect("the documents are there");
    let text = text.replace(old, new);
    let path = session.lab.folder.join("next.yaml");
    fs::write(&path, text).expect("the folder takes files");
    let (code, out) = session.run_client(&["apply", &path.display().to_string()]);
    assert_eq!(code, 0, "{out}");
}

#[parameterized(
    engine_that_checks = { true },
    engine_that_does_not = { false },
)]
fn model_is_ordered_by_one_giver_after_the_other(fencing: bool) {
    let mut shape = ClusterSpec::small();
    shape.engine.fencing = fencing;
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut session = Session::start(shape, program, &[]);
    let first = (1, "summary-1".to_owned());
    let ordered = session.lab.wait_until(session::WAIT_LIMIT, |lab| {
        models(&lab.decode_engines[0]) == [first.clone()]
    });
    assert!(ordered, "{:?}", models(&session.lab.decode_engines[0]));
    let agent = session.lab.daemon_index("decode-1");
    session.lab.daemons[agent].kill();
    session.lab.spawn(agent);
    apply_model(&session, "summary-2");
    let second = (2, "summary-2".to_owned());
    let ordered = session.lab.wait_until(session::WAIT_LIMIT, |lab| {
        models(&lab.decode_engines[0]).last() == Some(&second)
    });
    let all = models(&session.lab.decode_engines[0]);
    assert!(ordered, "{all:?}");
    assert!(all.is_sorted_by_key(|(fence, _)| *fence), "{all:?}");
    // A late order of the first giver.
    let late = engine::Order {
        fence: 1,
        kind: OrderKind::Model {
            name: "summary-1".into(),
            version: String::new(),
        },
    };
    let taken =
        engine::EngineClient::new(session.lab.decode_engines[0].address()).send_order(&late);
    let expected = match fencing {
        true => Err(engine::EngineError::Fenced),
        false => Ok(()),
    };
    assert_eq!(taken, expected);
}

fn wait_for_orders(session: &Session, wanted: &[OrderKind]) {
    let kinds = |lab: &fake::TestCluster| -> Vec<OrderKind> {
        let orders = lab.decode_engines[0].orders();
        orders.into_iter().map(|o| o.kind).collect()
    };
    let enough = |lab: &fake::TestCluster| kinds(lab).len() >= wanted.len();
    session.lab.wait_until(session::WAIT_LIMIT, enough);
    assert_eq!(kinds(&session.lab), wanted);
}

#[test]
fn version_adapters_and_role_are_ordered_once_each() {
    let shape = ClusterSpec::small();
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let session = Session::start(shape, program, &[]);
    let model = |version: &str| OrderKind::Model {
        name: "summary-1".into(),
        version: version.into(),
    };
    let role = "decode".into();
    let mut wanted = vec![OrderKind::Role { role }, model("")];
    wait_for_orders(&session, &wanted);
    let new = "model: summary-1\n    version: \"7\"\n    adapters: [slips, culverts]";
    apply_instead(&session, "model: summary-1", new);
    let names = vec!["slips".into(), "culverts".into()];
    wanted.extend([model("7"), OrderKind::Adapters { names }]);
    wait_for_orders(&session, &wanted);
    // Callers ask for an adapter by its name.
    let (_, key) = session.issue_key(session::RANGERS);
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let body = r#"{"model": "culverts", "prompt": "How many?", "max_tokens": 9}"#;
    let url = session.url(0, "/v1/completions");
    let response = session::send_request("POST", &url, &headers, body);
    assert_eq!(response.status, 200, "{response:?}");
    let (_, shown) = session.run_client(&["show"]);
    assert!(
        shown.contains("adapters: [\"slips\", \"culverts\"]"),
        "{shown}"
    );
}
