//! `measure steer|policies|hedge|cost|shift|shares|sums|crashes`.

use std::process::ExitCode;

use lexopt::{Arg, ValueExt};
use measure::model::deployment;
use measure::{cost, crashes, scenarios, shift, sums};

const HELP: &str = "\
measure steer --deployment bluestone|tesfaye [--seed N] [--seconds N] [--only WORD]
measure policies [--seed N] [--seconds N]
measure hedge [--seed N] [--seconds N]
measure cost [--seed N]
measure shift --deployment bluestone|tesfaye [--seed N] [--seconds N] [--only WORD]
measure shares
measure sums [--seed N] [--seeds N] [--seconds N] [--only WORD]
measure crashes [--seed N] [--seeds N] [--seconds N] [--only WORD]

steer     virtual time: latency and refusals of both engines under load and faults
policies  virtual time: ways to choose a target, 1 to 22 entry instances sharing 12
hedge     virtual time: a second attempt after 45 ms, its gain and its load
cost      processor time of one decision at 12, 144 and 1500 targets
shift     virtual time: caps and links when a region or a domain is lost
shares    processor time of caps at 1,500 instances and 3,696 shifts
sums      virtual time: largest use of the bounds on sums over a fleet, under faults
crashes   virtual time: targets that crashing requests end, and ordinary ones refused
";

struct Options {
    command: String,
    deployment: &'static deployment::Deployment,
    seed: u64,
    seeds: u64,
    seconds: u64,
    only: String,
}

fn main() -> ExitCode {
    let options = match parse() {
        Ok(options) => options,
        Err(error) => {
            eprint!("{error}\n\n{HELP}");
            return ExitCode::FAILURE;
        }
    };
    let Options { seed, seconds, .. } = options;
    let text = match &*options.command {
        "steer" => scenarios::steer(options.deployment, seed, seconds, &options.only),
        "policies" => scenarios::policies(seed, seconds),
        "hedge" => scenarios::hedge(seed, seconds),
        "cost" => cost::table(seed),
        "shift" => shift::table(options.deployment.name, seed, seconds, &options.only),
        "sums" => sums::table(seed, options.seeds, seconds, &options.only),
        "crashes" => crashes::table(seed, options.seeds, seconds, &options.only),
        "shares" => shift::cost::table(),
        _ => HELP.to_owned(),
    };
    print!("{text}");
    ExitCode::SUCCESS
}

fn parse() -> Result<Options, lexopt::Error> {
    let mut options = Options {
        command: String::new(),
        deployment: &deployment::BLUESTONE,
        seed: 1,
        seeds: 10,
        seconds: 30,
        only: String::new(),
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Value(command) => options.command = command.string()?,
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("seeds") => options.seeds = parser.value()?.parse()?,
            Arg::Long("seconds") => options.seconds = parser.value()?.parse()?,
            Arg::Long("only") => options.only = parser.value()?.string()?,
            Arg::Long("deployment") => {
                let name = parser.value()?.string()?;
                let found = deployment::DEPLOYMENTS.iter().find(|d| d.name == name);
                options.deployment = found.copied().ok_or("use bluestone or tesfaye")?;
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}
