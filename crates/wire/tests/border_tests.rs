//! Holds the committed border types to the schema.

#[test]
fn border_source_matches_the_schema() {
    let generated = schema::generate_types(include_str!("../schema/wire.json"));
    assert_eq!(include_str!("../src/border.rs"), generated);
}
