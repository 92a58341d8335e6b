//! Reads YAML mappings field by field and reports each error with its position.

use crate::errors::Findings;
use marked_yaml::types;
use std::cell;
use std::str;
use world::Name;

/// Line and column, from 1; (0, 0) where a node has no position.
pub(crate) type Position = (usize, usize);

/// Parses a file whose top level is a mapping; on failure, adds a finding and
/// returns nothing.
pub(crate) fn parse(file: &str, text: &str, findings: &mut Findings) -> Option<marked_yaml::Node> {
    let options = marked_yaml::LoaderOptions::default()
        .error_on_duplicate_keys(true)
        .toplevel_mapping();
    match marked_yaml::parse_yaml_with_options(0, text, options) {
        Ok(node) => Some(node),
        Err(error) => {
            findings.add(file, error_position(&error), error.to_string());
            None
        }
    }
}

fn error_position(error: &marked_yaml::LoadError) -> Position {
    use marked_yaml::LoadError;
    match error {
        LoadError::TopLevelMustBeMapping(mark)
        | LoadError::TopLevelMustBeSequence(mark)
        | LoadError::UnexpectedAnchor(mark)
        | LoadError::MappingKeyMustBeScalar(mark)
        | LoadError::UnexpectedTag(mark)
        | LoadError::ScanError(mark, _) => (mark.line(), mark.column()),
        LoadError::DuplicateKey(duplicate) => span_position(duplicate.key.span()),
    }
}

fn span_position(span: &marked_yaml::Span) -> Position {
    span.start().map_or((0, 0), |m| (m.line(), m.column()))
}

/// Returns the position where a node starts.
pub(crate) fn position(node: &marked_yaml::Node) -> Position {
    span_position(node.span())
}

/// The fields of one mapping. It records which fields were requested, so that
/// [`Fields::report_unknown`] can report the others.
pub(crate) struct Fields<'a> {
    file: &'a str,
    node: &'a types::MarkedMappingNode,
    requested: Vec<&'static str>,
    findings: &'a cell::RefCell<Findings>,
}

impl<'a> Fields<'a> {
    /// Opens a mapping; reports a node that is not one.
    pub(crate) fn new(
        file: &'a str,
        node: &'a marked_yaml::Node,
        findings: &'a cell::RefCell<Findings>,
    ) -> Option<Self> {
        let Some(mapping) = node.as_mapping() else {
            findings.borrow_mut().add(
                file,
                position(node),
                "expected fields of the form `name: value`",
            );
            return None;
        };
        Some(Self {
            file,
            node: mapping,
            requested: Vec::new(),
            findings,
        })
    }

    /// Opens a mapping that is the value of a field.
    pub(crate) fn nested(&self, node: &'a marked_yaml::Node) -> Option<Fields<'a>> {
        Fields::new(self.file, node, self.findings)
    }

    pub(crate) fn report(&self, position: Position, text: impl Into<String>) {
        self.findings.borrow_mut().add(self.file, position, text);
    }

    /// Returns the position where the mapping starts.
    pub(crate) fn position(&self) -> Position {
        span_position(self.node.span())
    }

    /// Returns the position of a field's value, or of the mapping where the field
    /// is missing.
    pub(crate) fn field_position(&self, field: &str) -> Position {
        self.node.get_node(field).map_or(self.position(), position)
    }

    /// Returns a field's value, if present, and records the field as requested.
    pub(crate) fn node(&mut self, field: &'static str) -> Option<&'a marked_yaml::Node> {
        self.requested.push(field);
        self.node.get_node(field)
    }

    fn required(&mut self, field: &'static str) -> Option<&'a marked_yaml::Node> {
        let node = self.node(field);
        if node.is_none() {
            self.report(self.position(), format!("field `{field}` is missing"));
        }
        node
    }

    fn scalar(&self, field: &str, node: &'a marked_yaml::Node) -> Option<&'a str> {
        let scalar = node.as_scalar().map(|s| s.as_str());
        if scalar.is_none() {
            self.report(position(node), format!("`{field}` must be a single value"));
        }
        scalar
    }

    /// Returns the text of a field; reports it where it is missing or empty.
    pub(crate) fn required_text(&mut self, field: &'static str) -> Option<&'a str> {
        let node = self.required(field)?;
        let text = self.scalar(field, node)?;
        if text.is_empty() {
            self.report(position(node), format!("`{field}` must not be empty"));
            return None;
        }
        Some(text)
    }

    /// Returns the text of a field, or the default where the field is missing.
    pub(crate) fn text_or(&mut self, field: &'static str, default: &'a str) -> &'a str {
        match self.node(field) {
            None => default,
            Some(node) => self.scalar(field, node).unwrap_or(default),
        }
    }

    /// Parses a field; reports it where it is missing or not of the form that
    /// `expected` describes.
    pub(crate) fn required_value<T: str::FromStr>(
        &mut self,
        field: &'static str,
        expected: &str,
    ) -> Option<T> {
        let node = self.required(field)?;
        self.parse_node(field, node, expected)
    }

    /// Parses a field that may be missing; reports it where it is not of the form
    /// that `expected` describes.
    pub(crate) fn optional_value<T: str::FromStr>(
        &mut self,
        field: &'static str,
        expected: &str,
    ) -> Option<T> {
        let node = self.node(field)?;
        self.parse_node(field, node, expected)
    }

    fn parse_node<T: str::FromStr>(
        &self,
        field: &str,
        node: &'a marked_yaml::Node,
        expected: &str,
    ) -> Option<T> {
        let text = self.scalar(field, node)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.report(
                position(node),
                format!("`{field}` must be {expected}, not `{text}`"),
            );
        }
        value
    }

    /// Parses a required whole number above 0.
    pub(crate) fn positive(&mut self, field: &'static str) -> Option<u64> {
        let value: u64 = self.required_value(field, "a whole number above 0")?;
        if value == 0 {
            self.report(
                self.field_position(field),
                format!("`{field}` must be above 0"),
            );
            return None;
        }
        Some(value)
    }

    /// Parses a boolean; a missing field is false.
    pub(crate) fn flag(&mut self, field: &'static str) -> bool {
        self.optional_value(field, "true or false").unwrap_or(false)
    }

    /// Returns the items of a list; a missing field is an empty list.
    pub(crate) fn list(&mut self, field: &'static str) -> &'a [marked_yaml::Node] {
        let Some(node) = self.node(field) else {
            return &[];
        };
        match node.as_sequence() {
            Some(sequence) => sequence,
            None => {
                self.report(position(node), format!("`{field}` must be a list"));
                &[]
            }
        }
    }

    /// Reads an optional list of names.
    pub(crate) fn names(&mut self, field: &'static str) -> Vec<Name> {
        let nodes = self.list(field);
        let texts = nodes.iter().filter_map(|node| self.scalar(field, node));
        texts.map(Name::from).collect()
    }

    /// Reports every field that was not requested as unknown.
    pub(crate) fn report_unknown(self) {
        for (key, _) in self.node.iter() {
            if !self.requested.contains(&key.as_str()) {
                let known = self.requested.join(", ");
                let text = format!("unknown field `{}`; known fields are {known}", key.as_str());
                self.report(span_position(key.span()), text);
            }
        }
    }
}
