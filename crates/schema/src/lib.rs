//! Generates the border types of other crates from their JSON Schemas.
//!
//! Only developers and tests use it: the generated sources are committed, so
//! that the build needs no generator; see docs/LIBRARIES.md.

const HEAD: &str =
    "//! Generated from the schema beside this crate's sources; see docs/LIBRARIES.md.\n\n";

/// Gives the Rust source for a JSON Schema of definitions.
///
/// # Panics
///
/// Where the schema is not valid, since only a developer's edit brings that.
pub fn generate_types(schema: &str) -> String {
    let schema: schemars::schema::RootSchema =
        serde_json::from_str(schema).expect("the schema is valid JSON Schema");
    let mut space = typify::TypeSpace::new(&typify::TypeSpaceSettings::default());
    space
        .add_root_schema(schema)
        .expect("each definition maps to a type");
    let file = syn::parse2(space.to_stream()).expect("typify writes valid Rust");
    format!("{HEAD}{}", prettyplease::unparse(&file))
}
