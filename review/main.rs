//! Stand-ins of the platform and the clients for the cases of the review.
//!
//! `standin CASE FOLDER` runs a case and writes FOLDER/record.txt. It exits with 1 if the
//! rule was broken, with 0 if it held, and with 2 if the case could not run. With TROUBLE=0
//! in the environment the disruption is left out.

mod cases;
mod client;
mod entry;
mod http;
mod json;
mod record;
mod site;
mod store;
mod worker;

use record::Record;
use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(&PathBuf::from(folder).join("record.txt")) else {
        eprintln!("{folder} is not writable");
        return ExitCode::from(2);
    };
    record.line(&format!("case={case} trouble={trouble}"));
    entry::limit_time(Duration::from_secs(115));
    let result = cases::run(case, trouble, &record);
    let (text, code) = match result {
        Ok(broken) if broken.is_empty() => ("the rule held".to_owned(), 0),
        Ok(broken) => (format!("the rule was broken: {broken}"), 1),
        Err(cause) => (format!("the case could not run: {cause}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
