//! Stand-ins for the scripts of the review: the platform's store, servers and
//! clients, as PROTOCOL.md describes them, with the standard library only. One
//! process holds all of them and starts the gateways as processes of their own.

mod case_chunks;
mod case_writer;
mod http;
mod server;
mod site;
mod store;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let [_, case, record] = &args[..] else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let result = match case.as_str() {
        "chunks" => case_chunks::run(record, trouble),
        "writer" => case_writer::run(record, trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match result {
        Ok(true) => println!("the rule held"),
        Ok(false) => {
            println!("the rule was broken");
            std::process::exit(1);
        }
        Err(cause) => {
            println!("the case couldn't run: {cause}");
            std::process::exit(2);
        }
    }
}
