//! Files that nobody wrote on purpose: whatever they hold, each is read or
//! refused with a place inside the file, and nothing panics.

use conf::Findings;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ENTRY: &str = include_str!("../../../settings/entry.yaml");
const DOCUMENTS: &str = include_str!("../../../settings/documents.yaml");

/// One change of a text, at a part of its length.
#[derive(Clone, Debug)]
enum Edit {
    Cut(prop::sample::Index),
    Insert(prop::sample::Index, String),
    /// Lines swapped, as by a careless hand.
    Swap(prop::sample::Index, prop::sample::Index),
    Indent(prop::sample::Index),
}

fn edit() -> impl Strategy<Value = Edit> {
    let index = any::<prop::sample::Index>;
    let piece = prop_oneof![
        "[-:#{}\\[\\]&*!|>'\"%@`,? \t\n]{1,4}",
        "\\PC{0,12}",
        Just("- name: twice\n".to_owned()),
        Just("rate: 99999999999999999999\n".to_owned()),
        Just("burst: -1e400\n".to_owned()),
    ];
    prop_oneof![
        index().prop_map(Edit::Cut),
        (index(), piece).prop_map(|(at, text)| Edit::Insert(at, text)),
        (index(), index()).prop_map(|(a, b)| Edit::Swap(a, b)),
        index().prop_map(Edit::Indent),
    ]
}

fn apply(text: &str, edit: &Edit) -> String {
    let mut chars: Vec<char> = text.chars().collect();
    let mut lines: Vec<&str> = text.lines().collect();
    match edit {
        Edit::Cut(at) => chars.truncate(at.index(chars.len() + 1)),
        Edit::Insert(at, piece) => {
            let at = at.index(chars.len() + 1);
            chars.splice(at..at, piece.chars());
        }
        Edit::Swap(a, b) if !lines.is_empty() => {
            let (a, b) = (a.index(lines.len()), b.index(lines.len()));
            lines.swap(a, b);
            return lines.join("\n");
        }
        Edit::Indent(at) if !lines.is_empty() => {
            let at = at.index(lines.len());
            let moved = format!("  {}", lines[at]);
            lines[at] = &moved;
            return lines.join("\n");
        }
        Edit::Swap(..) | Edit::Indent(_) => {}
    }
    chars.into_iter().collect()
}

fn edited(text: &str, edits: &[Edit]) -> String {
    edits
        .iter()
        .fold(text.to_owned(), |text, edit| apply(&text, edit))
}

/// Each finding names the file and a line that it has, or the whole of it.
fn assert_placed(findings: &Findings, file: &str, text: &str) {
    assert!(!findings.is_empty());
    for finding in &findings.all {
        assert_eq!(finding.file, file);
        assert!(finding.line <= text.lines().count() + 1, "{finding}");
        assert!(!finding.text.is_empty());
    }
}

fn cases() -> ProptestConfig {
    ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn settings_are_read_or_refused_with_a_place(
        edits in prop::collection::vec(edit(), 0..6),
    ) {
        let text = edited(ENTRY, &edits);
        if let Err(findings) = conf::Settings::parse("entry.yaml", &text) {
            assert_placed(&findings, "entry.yaml", &text);
        }
    }

    #[test]
    fn documents_are_read_or_refused_with_a_place(
        edits in prop::collection::vec(edit(), 0..6),
    ) {
        let text = edited(DOCUMENTS, &edits);
        if let Err(findings) = conf::parse_documents(&[("documents.yaml", &text)]) {
            assert_placed(&findings, "documents.yaml", &text);
        }
    }

    #[test]
    fn any_text_is_read_or_refused(text in "\\PC{0,200}") {
        if let Err(findings) = conf::Settings::parse("entry.yaml", &text) {
            assert_placed(&findings, "entry.yaml", &text);
        }
        // A key that no operator issued opens nothing.
        prop_assert!(conf::verify_key(&world::Configuration::default(), &text).is_err());
    }
}
