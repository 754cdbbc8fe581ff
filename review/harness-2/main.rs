//! Scripts of the second review: starts the project's programs as separate processes on loopback addresses, with a
//! platform, an operator, servers and clients of its own, and checks one rule. Standard library only.
//!
//! Use: `review2 CASE`, in the repository's root; CASE is a folder of `review/`. The exit code is 1 if the rule was
//! broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 there is no disruption.

mod cases;
mod http;
mod platform;
mod world;

use std::{path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let Some(folder) = std::env::args().nth(1).map(PathBuf::from) else {
        eprintln!("use: review2 FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let number = folder
        .file_name()
        .map(|name| name.to_string_lossy().into_owned())
        .unwrap_or_default();
    let record = match world::Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("record.txt cannot be written: {e}");
            return ExitCode::from(2);
        }
    };
    record.note(&format!("case {number}, trouble: {trouble}"));
    let result = cases::run(&number, trouble, &record);
    match result {
        Ok(None) => {
            record.note("result: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(broken)) => {
            record.note(&format!("result: the rule is broken: {broken}"));
            ExitCode::from(1)
        }
        Err(reason) => {
            record.note(&format!("result: the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}
