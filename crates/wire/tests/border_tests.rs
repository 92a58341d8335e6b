//! The committed message types match the schema from which they are generated.

#[test]
fn generated_types_match_the_schema() {
    let generated = schema::generate_types(include_str!("../schema/wire.json"));
    assert_eq!(include_str!("../src/border.rs"), generated);
}
