//! Writes a configuration as YAML documents.

use std::io;
use world::Configuration;
use world::UpstreamKind;

/// Writes a configuration as documents that `apply` accepts. Names are quoted, so
/// that YAML does not read one as another type, such as a number.
pub(crate) fn write_documents(
    configuration: &Configuration,
    out: &mut impl io::Write,
) -> io::Result<()> {
    writeln!(out, "classes:")?;
    for class in &configuration.classes {
        writeln!(out, "  - name: {:?}", class.name)?;
        writeln!(out, "    first_ms: {}", class.first_ms)?;
        writeln!(out, "    token_ms: {}", class.token_ms)?;
        writeln!(out, "    waits: {}", class.waits)?;
    }
    writeln!(out, "organisations:")?;
    for organisation in &configuration.organisations {
        writeln!(out, "  - name: {:?}", organisation.name)?;
        writeln!(out, "    rate: {}", organisation.rate)?;
        writeln!(out, "    burst: {}", organisation.burst)?;
    }
    writeln!(out, "upstreams:")?;
    for upstream in &configuration.upstreams {
        writeln!(out, "  - name: {:?}", upstream.name)?;
        match &upstream.kind {
            UpstreamKind::Service => writeln!(out, "    kind: service")?,
            UpstreamKind::Model {
                model,
                class,
                version,
                adapters,
            } => {
                writeln!(out, "    kind: model")?;
                writeln!(out, "    model: {model:?}")?;
                writeln!(out, "    class: {class:?}")?;
                if !version.is_empty() {
                    writeln!(out, "    version: {version:?}")?;
                }
                if !adapters.is_empty() {
                    writeln!(out, "    adapters: {adapters:?}")?;
                }
            }
        }
    }
    writeln!(out, "routes:")?;
    for route in &configuration.routes {
        writeln!(out, "  - path: {:?}", route.path)?;
        writeln!(out, "    upstream: {:?}", route.upstream)?;
        writeln!(out, "    open: {}", route.open)?;
        writeln!(out, "    idempotent: {}", route.idempotent)?;
    }
    Ok(())
}
