//! Operators' documents: the files behind `check` and `apply`.

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

/// A file's name and text.
pub type Source<'a> = (&'a str, &'a str);

/// The file's names with their places, to check references across files.
type Names<'a> = collections::BTreeMap<Name, (&'a str, fields::Place)>;

/// Reads all files as one set; keys are not written in documents but issued.
pub fn parse_documents(sources: &[Source<'_>]) -> Result<Configuration, Findings> {
    let mut parse = Findings::default();
    let nodes: Vec<_> = sources
        .iter()
        .map(|(file, text)| (*file, fields::parse(file, text, &mut parse)))
        .collect();
    let findings = cell::RefCell::new(parse);
    let mut draft = Draft::default();
    for (file, node) in &nodes {
        if let Some(node) = node {
            draft.read_file(file, node, &findings);
        }
    }
    draft.check_references(&findings);
    findings.into_inner().into_result(draft.configuration)
}

/// What has been read so far, with the places that later checks need.
#[derive(Default)]
struct Draft<'a> {
    configuration: Configuration,
    classes: Names<'a>,
    organisations: Names<'a>,
    upstreams: Names<'a>,
    routes: Names<'a>,
    used_classes: Vec<Use<'a>>,
    used_upstreams: Vec<Use<'a>>,
}

/// A place where a name is used.
struct Use<'a> {
    name: Name,
    file: &'a str,
    place: fields::Place,
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
        top.finish();
    }

    fn read_class(&mut self, file: &'a str, fields: Option<fields::Fields<'_>>) {
        let Some(mut f) = fields else { return };
        let name = f.text("name").map(Name::from);
        let first = f.positive("first_ms");
        let token = f.positive("token_ms");
        let waits = f.flag("waits");
        let place = f.place_of("name");
        enter(&mut self.classes, name.as_ref(), file, place, &f);
        f.finish();
        if let (Some(name), Some(first_ms), Some(token_ms)) = (name, first, token) {
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
        let name = f.text("name").map(Name::from);
        let rate = f.positive("rate");
        let burst = f.positive("burst");
        let place = f.place_of("name");
        enter(&mut self.organisations, name.as_ref(), file, place, &f);
        f.finish();
        if let (Some(name), Some(rate), Some(burst)) = (name, rate, burst) {
            self.configuration
                .organisations
                .push(Organisation { name, rate, burst });
        }
    }

    fn read_upstream(&mut self, file: &'a str, fields: Option<fields::Fields<'_>>) {
        let Some(mut f) = fields else { return };
        let name = f.text("name").map(Name::from);
        let kind = self.read_kind(file, &mut f);
        let place = f.place_of("name");
        enter(&mut self.upstreams, name.as_ref(), file, place, &f);
        f.finish();
        if let (Some(name), Some(kind)) = (name, kind) {
            self.configuration.upstreams.push(Upstream { name, kind });
        }
    }

    fn read_kind(&mut self, file: &'a str, f: &mut fields::Fields<'_>) -> Option<UpstreamKind> {
        match f.text("kind")? {
            "service" => Some(UpstreamKind::Service),
            "model" => {
                let model = f.text("model").map(Name::from);
                let version = Name::from(f.text_or("version", ""));
                let adapters = f.names("adapters");
                let class = f.text("class").map(Name::from)?;
                self.used_classes.push(Use {
                    name: class.clone(),
                    file,
                    place: f.place_of("class"),
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
                f.report(f.place_of("kind"), text);
                None
            }
        }
    }

    fn read_route(&mut self, file: &'a str, fields: Option<fields::Fields<'_>>) {
        let Some(mut f) = fields else { return };
        let path = f.text("path").map(Name::from);
        let upstream = f.text("upstream").map(Name::from);
        let open = f.flag("open");
        let idempotent = f.flag("idempotent");
        let place = f.place_of("path");
        if path.as_ref().is_some_and(|p| !p.starts_with('/')) {
            f.report(place, "`path` must begin with /");
        }
        if path.as_ref().is_some_and(|p| p.starts_with("/v1/")) {
            f.report(place, "paths under /v1/ belong to the model interface");
        }
        enter(&mut self.routes, path.as_ref(), file, place, &f);
        if let Some(name) = upstream.clone() {
            let place = f.place_of("upstream");
            self.used_upstreams.push(Use { name, file, place });
        }
        f.finish();
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
        for used in &self.used_classes {
            if !self.classes.contains_key(&used.name) {
                let text = format!("class `{}` is not defined", used.name);
                findings.borrow_mut().add(used.file, used.place, text);
            }
        }
        for used in &self.used_upstreams {
            if !self.upstreams.contains_key(&used.name) {
                let text = format!("upstream `{}` is not defined", used.name);
                findings.borrow_mut().add(used.file, used.place, text);
            }
        }
        let upstreams = self.configuration.upstreams.iter();
        let models = upstreams.flat_map(|u| u.kind.model_names().map(move |m| (m, &u.name)));
        let mut seen = collections::BTreeMap::new();
        for (model, name) in models {
            if let Some(first) = seen.insert(model.clone(), name.clone()) {
                let (file, place) = self.upstreams[name];
                let text = format!("model `{model}` is already served by upstream `{first}`");
                findings.borrow_mut().add(file, place, text);
            }
        }
    }
}

fn enter<'a>(
    names: &mut Names<'a>,
    name: Option<&Name>,
    file: &'a str,
    place: fields::Place,
    f: &fields::Fields<'_>,
) {
    let Some(name) = name else { return };
    if let Some((other, at)) = names.get(name) {
        let text = format!("`{name}` is already defined at {other}:{}:{}", at.0, at.1);
        f.report(place, text);
        return;
    }
    names.insert(name.clone(), (file, place));
}
