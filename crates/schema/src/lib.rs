//! Generates the message types of other crates from their JSON Schemas.
//!
//! Only developers and tests use this crate. The generated sources are committed,
//! so that the build doesn't need the generator; see docs/LIBRARIES.md.

/// The comment at the top of a generated file.
const FILE_HEADER: &str =
    "//! Generated from the schema beside this crate's sources; see docs/LIBRARIES.md.\n\n";

/// Returns the Rust source of the types for the definitions of a JSON Schema.
///
/// # Panics
///
/// Panics if the schema is invalid, which only an edit by a developer can cause.
pub fn generate_types(schema: &str) -> String {
    let schema: schemars::schema::RootSchema =
        serde_json::from_str(schema).expect("the schema is valid JSON Schema");
    let mut type_space = typify::TypeSpace::new(&typify::TypeSpaceSettings::default());
    type_space
        .add_root_schema(schema)
        .expect("each definition maps to a type");
    let file = syn::parse2(type_space.to_stream()).expect("typify generates valid Rust");
    format!("{FILE_HEADER}{}", prettyplease::unparse(&file))
}
