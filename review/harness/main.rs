// Runs one case of the review: `harness CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
// could not run.

mod big;
mod drain_list;
mod early;
mod one;
mod slow;
mod standins;
mod term;

use std::path::PathBuf;

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let record = standins::Record::create(&PathBuf::from(
        args.next().unwrap_or_else(|| "record.txt".into()),
    ));
    standins::limit_time(standins::ms(114_000));
    let broken = match case.as_str() {
        "list" => drain_list::run(&record),
        "big" => big::run(&record),
        "one" => one::run(&record),
        "slow" => slow::run(&record),
        "early" => early::run(&record),
        "term" => term::run(&record),
        _ => standins::cannot_run("there is no such case"),
    };
    record.say(if broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    std::process::exit(i32::from(broken));
}
