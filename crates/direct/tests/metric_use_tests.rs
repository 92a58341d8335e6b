//! Tests that metrics are used by their definitions only. One that is registered elsewhere
//! has no description, and is missing in the list.

use std::fs;
use std::path;

/// The file with all definitions.
const LIST: &str = "metric.rs";

#[test]
fn metrics_are_registered_in_the_list_only() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut file_count = 0;
    for folder in ["src", "../../platform/src", "../seam/src", "../web/src"] {
        let files = fs::read_dir(root.join(folder)).expect("the folder can be read");
        for file in files {
            let file = file.expect("the folder can be read").path();
            if file.file_name().is_some_and(|name| name == LIST) {
                continue;
            }
            let text = fs::read_to_string(&file).expect("a source file is text");
            let uses = text.lines().filter(|line| line.contains("metrics::"));
            assert_eq!(uses.collect::<Vec<_>>(), [""; 0], "{}", file.display());
            file_count += 1;
        }
    }
    assert!(file_count > 40, "{file_count} files");
}
