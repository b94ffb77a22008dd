//! Stand-ins and checks of the scripts in `review/6` to `review/10`.
//!
//! `review-standins-2 CASE FOLDER TEMPORARY`; exits with 1 if the rule was broken, 0 if it held, 2 if the
//! case couldn't run. `TROUBLE=0` leaves the disruption out.

mod carry;
mod drain;
mod first_start;
mod forgotten;
mod http;
mod tenants;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, temporary] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE FOLDER TEMPORARY");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    world::end_after(std::time::Duration::from_secs(110));
    let code = match case.as_str() {
        "carry" => carry::run(folder, temporary, has_trouble),
        "forgotten" => forgotten::run(folder, temporary, has_trouble),
        "drain" => drain::run(folder, temporary, has_trouble),
        "first-start" => first_start::run(folder, temporary, has_trouble),
        "tenants" => tenants::run(folder, temporary, has_trouble),
        _ => 2,
    };
    std::process::exit(code);
}
