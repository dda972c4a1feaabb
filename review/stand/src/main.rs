//! Stand-ins and drivers of the cases under review/. Run from the root of the repository:
//! `review-stand CASE RECORD`; `TROUBLE=0` leaves out the disruption.

mod comments;
mod consumer;
mod crashing_part;
mod fleet;
mod http;
mod odd_entry;
mod replica;
mod signature;
mod time_limit;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("review-stand CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = fleet::Record::create(path);
    record.line(format!("case {case}, disruption {has_trouble}"));
    let result = match case.as_str() {
        "comments" => comments::run(&record, has_trouble),
        "time-limit" => time_limit::run(&record, has_trouble),
        "signature" => signature::run(&record, has_trouble),
        "crashing-part" => crashing_part::run(&record, has_trouble),
        "engine" => {
            return match crashing_part::engine(&args[3..]) {
                Ok(_) => ExitCode::SUCCESS,
                Err(err) => {
                    eprintln!("{err}");
                    ExitCode::from(2)
                }
            }
        }
        "odd-entry" => odd_entry::run(&record, has_trouble),
        _ => Err("no such case".into()),
    };
    fleet::outcome(&record, result)
}

/// Returns a configuration with `routes`, the services `planner` (engines) and `trades`, and a tenant.
pub fn config(routes: &str) -> String {
    format!(
        r#"{{"version":7,"routes":[{routes}],
"services":[{{"name":"planner","health_path":"/healthz","max_conns":781,"protocol":"h1","tls":false,
"engine":{{"slots":64,"kv_capacity":606072,"model_ids":[{{"name":"m"}}]}}}},
{{"name":"trades","health_path":"/healthz","max_conns":232,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"kerb","api_keys":["{}"],"priority":1}}]}}"#,
        consumer::KEY
    )
}

/// Returns a route; `kind` may hold further fields.
pub fn route(name: &str, service: &str, timeout_ms: u64, goal_ms: u64, kind: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{}","path_prefix":"/{name}/","timeout_ms":{timeout_ms},
"latency_goal_ms":{goal_ms},"priority":1,"service":"{service}","max_attempts":2,"anonymous":false,{kind}}}"#,
        consumer::HOST
    )
}
