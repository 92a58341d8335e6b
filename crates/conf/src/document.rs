//! Parses operators' documents, the YAML files that `check` and `apply` take.

use crate::errors::Findings;
use crate::fields;
use std::cell;
use std::collections;
use world::Class;
use world::Configuration;
use world::Name;
use world::Organisation;
use world::Route;
use world::Upstream;
use world::UpstreamKind;

/// A file's name and its text.
pub type Source<'a> = (&'a str, &'a str);

/// Defined names with the file and position of each definition, to check
/// references across files.
type Definitions<'a> = collections::BTreeMap<Name, (&'a str, fields::Position)>;

/// Parses all files as one set. Keys are issued by a command, so documents hold
/// none. Fails with every finding in any of the files.
pub fn parse_documents(sources: &[Source<'_>]) -> Result<Configuration, Findings> {
    let mut findings = Findings::default();
    let nodes: Vec<_> = sources
        .iter()
        .map(|(file, text)| (*file, fields::parse(file, text, &mut findings)))
        .collect();
    let findings = cell::RefCell::new(findings);
    let mut draft = Draft::default();
    for (file, node) in &nodes {
        if let Some(node) = node {
            draft.read_file(file, node, &findings);
        }
    }
    draft.check_references(&findings);
    findings.into_inner().into_result(draft.configuration)
}

/// The configuration parsed so far, with the positions that the checks of
/// references report.
#[derive(Default)]
struct Draft<'a> {
    configuration: Configuration,
    classes: Definitions<'a>,
    organisations: Definitions<'a>,
    upstreams: Definitions<'a>,
    routes: Definitions<'a>,
    class_references: Vec<Reference<'a>>,
    upstream_references: Vec<Reference<'a>>,
}

/// A reference to a name that must be defined in one of the files.
struct Reference<'a> {
    name: Name,
    file: &'a str,
    position: fields::Position,
}

impl<'a> Draft<'a> {
    fn read_file(
        &mut self,
        file: &'a str,
        node: &'a marked_yaml::Node,
        findings: &cell::RefCell<Findings>,
    ) {
        let Some(mut top) = fields::Fields::new(file, node, findings) else {
            return;
        };
        for node in top.list("classes") {
            self.read_class(file, fields::Fields::new(file, node, findings));
        }
        for node in top.list("organisations") {
            self.read_organisation(file, fields::Fields::new(file, node, findings));
        }
        for node in top.list("upstreams") {
            self.read_upstream(file, fields::Fields::new(file, node, findings));
        }
        for node in top.list("routes") {
            self.read_route(file, fields::Fields::new(file, node, findings));
        }
        top.report_unknown();
    }

    fn read_class(&mut self, file: &'a str, fields: Option<fields::Fields<'_>>) {
        let Some(mut f) = fields else { return };
        let name = f.required_text("name").map(Name::from);
        let first_ms = f.positive("first_ms");
        let token_ms = f.positive("token_ms");
        let waits = f.flag("waits");
        let position = f.field_position("name");
        define(&mut self.classes, name.as_ref(), file, position, &f);
        f.report_unknown();
        if let (Some(name), Some(first_ms), Some(token_ms)) = (name, first_ms, token_ms) {
            self.configuration.classes.push(Class {
                name,
                first_ms,
                token_ms,
                waits,
            });
        }
    }

    fn read_organisation(&mut self, file: &'a str, fields: Option<fields::Fields<'_>>) {
        let Some(mut f) = fields else { return };
        let name = f.required_text("name").map(Name::from);
        let rate = f.positive("rate");
        let burst = f.positive("burst");
        let position = f.field_position("name");
        define(&mut self.organisations, name.as_ref(), file, position, &f);
        f.report_unknown();
        if let (Some(name), Some(rate), Some(burst)) = (name, rate, burst) {
            self.configuration
                .organisations
                .push(Organisation { name, rate, burst });
        }
    }

    fn read_upstream(&mut self, file: &'a str, fields: Option<fields::Fields<'_>>) {
        let Some(mut f) = fields else { return };
        let name = f.required_text("name").map(Name::from);
        let kind = self.read_upstream_kind(file, &mut f);
        let position = f.field_position("name");
        define(&mut self.upstreams, name.as_ref(), file, position, &f);
        f.report_unknown();
        if let (Some(name), Some(kind)) = (name, kind) {
            self.configuration.upstreams.push(Upstream { name, kind });
        }
    }

    fn read_upstream_kind(
        &mut self,
        file: &'a str,
        f: &mut fields::Fields<'_>,
    ) -> Option<UpstreamKind> {
        match f.required_text("kind")? {
            "service" => Some(UpstreamKind::Service),
            "model" => {
                let model = f.required_text("model").map(Name::from);
                let version = Name::from(f.text_or("version", ""));
                let adapters = f.names("adapters");
                let class = f.required_text("class").map(Name::from)?;
                self.class_references.push(Reference {
                    name: class.clone(),
                    file,
                    position: f.field_position("class"),
                });
                Some(UpstreamKind::Model {
                    model: model?,
                    class,
                    version,
                    adapters,
                })
            }
            other => {
                let text = format!("`kind` must be model or service, not `{other}`");
                f.report(f.field_position("kind"), text);
                None
            }
        }
    }

    fn read_route(&mut self, file: &'a str, fields: Option<fields::Fields<'_>>) {
        let Some(mut f) = fields else { return };
        let path = f.required_text("path").map(Name::from);
        let upstream = f.required_text("upstream").map(Name::from);
        let open = f.flag("open");
        let idempotent = f.flag("idempotent");
        let position = f.field_position("path");
        if path.as_ref().is_some_and(|p| !p.starts_with('/')) {
            f.report(position, "`path` must begin with /");
        }
        if path.as_ref().is_some_and(|p| p.starts_with("/v1/")) {
            f.report(position, "paths under /v1/ are reserved for the model API");
        }
        define(&mut self.routes, path.as_ref(), file, position, &f);
        if let Some(name) = upstream.clone() {
            let position = f.field_position("upstream");
            self.upstream_references.push(Reference {
                name,
                file,
                position,
            });
        }
        f.report_unknown();
        if let (Some(path), Some(upstream)) = (path, upstream) {
            self.configuration.routes.push(Route {
                path,
                upstream,
                open,
                idempotent,
            });
        }
    }

    fn check_references(&self, findings: &cell::RefCell<Findings>) {
        for reference in &self.class_references {
            if !self.classes.contains_key(&reference.name) {
                let text = format!("class `{}` is not defined", reference.name);
                findings
                    .borrow_mut()
                    .add(reference.file, reference.position, text);
            }
        }
        for reference in &self.upstream_references {
            if !self.upstreams.contains_key(&reference.name) {
                let text = format!("upstream `{}` is not defined", reference.name);
                findings
                    .borrow_mut()
                    .add(reference.file, reference.position, text);
            }
        }
        let upstreams = self.configuration.upstreams.iter();
        let models = upstreams.flat_map(|u| u.kind.model_names().map(move |m| (m, &u.name)));
        let mut upstream_of = collections::BTreeMap::new();
        for (model, name) in models {
            if let Some(first) = upstream_of.insert(model.clone(), name.clone()) {
                let (file, position) = self.upstreams[name];
                let text = format!("model `{model}` is already served by upstream `{first}`");
                findings.borrow_mut().add(file, position, text);
            }
        }
    }
}

/// Records the definition of a name; reports it if the name is already defined.
fn define<'a>(
    names: &mut Definitions<'a>,
    name: Option<&Name>,
    file: &'a str,
    position: fields::Position,
    f: &fields::Fields<'_>,
) {
    let Some(name) = name else { return };
    if let Some((other_file, other)) = names.get(name) {
        let text = format!(
            "`{name}` is already defined at {other_file}:{}:{}",
            other.0, other.1
        );
        f.report(position, text);
        return;
    }
    names.insert(name.clone(), (file, position));
}
