//! Stand-ins and checks of the review's cases. `main CASE RECORD` plays one case and exits with 1 if its rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod case_accept;
mod case_forged;
mod case_map;
mod case_memory;
mod case_stall;
mod deployment;
mod http;
mod store;

use deployment::Record;

fn main() {
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("the case could not run: {panic}");
        std::process::exit(2);
    }));
    let mut arguments = std::env::args().skip(1);
    let (case, path) = (arguments.next(), arguments.next());
    let (Some(case), Some(path)) = (case, path) else {
        eprintln!("usage: main CASE RECORD");
        std::process::exit(2);
    };
    let record = Record::create(&path);
    match case.as_str() {
        "map" => case_map::play(record),
        "forged" => case_forged::play(record),
        "accept" => case_accept::play(record),
        "stall" => case_stall::play(record),
        "memory" => case_memory::play(record),
        _ => {
            eprintln!("unknown case {case}");
            std::process::exit(2);
        }
    }
}
