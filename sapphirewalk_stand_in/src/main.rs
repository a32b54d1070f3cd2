//! Command line of the stand-ins: demonstration, measurements of resource use, and load.

mod demo;

use std::env;
use std::path;
use std::process;

use gumdrop::Options;

use sapphirewalk_stand_in::open_loop;
use sapphirewalk_stand_in::open_loop::LoadPlan;
use sapphirewalk_stand_in::slopes;

/// File name of the `sapphirewalk` binary, which is built beside this program.
const BINARY_NAME: &str = "sapphirewalk";
/// Exit code after an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

/// Stand-ins for the environment of sapphirewalk, for tests and demonstrations.
#[derive(Debug)]
#[derive(Options)]
struct CommandLine {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<CommandName>,
}

#[derive(Debug)]
#[derive(Options)]
enum CommandName {
    #[options(help = "start a small fleet, send requests, run tasks, and stop it")]
    Demo(DemoOptions),
    #[options(help = "measure how the resource use of each role grows with its load")]
    Slopes(SlopeOptions),
    #[options(help = "send requests at a steady rate through gateways and directly")]
    Load(LoadOptions),
}

/// Starts a small fleet, sends requests, runs tasks, checks the results and stops the fleet.
#[derive(Debug)]
#[derive(Options)]
struct DemoOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        meta = "FILE",
        help = "sapphirewalk binary; default: beside this program"
    )]
    binary: Option<path::PathBuf>,
}

/// Measures how the resource use of each role grows with its load.
#[derive(Debug)]
#[derive(Options)]
struct SlopeOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        meta = "FILE",
        help = "sapphirewalk binary; default: beside this program"
    )]
    binary: Option<path::PathBuf>,
    #[options(free, help = "only series whose names contain this text")]
    filter: String,
}

/// Sends the same requests directly to endpoints and through gateways, and prints latencies.
#[derive(Debug)]
#[derive(Options)]
struct LoadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        meta = "FILE",
        help = "sapphirewalk binary; default: beside this program"
    )]
    binary: Option<path::PathBuf>,
    #[options(no_short, meta = "N", help = "requests per second", default = "500")]
    rate: u32,
    #[options(
        no_short,
        meta = "S",
        help = "seconds of load over each path",
        default = "10"
    )]
    seconds: u32,
    #[options(no_short, meta = "N", help = "seed of the arrivals", default = "1")]
    seed: u64,
}

fn main() -> process::ExitCode {
    let line = CommandLine::parse_args_default_or_exit();
    match line.command {
        None => print_usage(),
        Some(CommandName::Demo(options)) => {
            let binary = options.binary.unwrap_or_else(find_binary);
            block_on(demo::run(binary))
        }
        Some(CommandName::Load(options)) => {
            let plan = LoadPlan {
                binary: options.binary.unwrap_or_else(find_binary),
                per_second: options.rate,
                seconds: options.seconds,
                seed: options.seed,
            };
            block_on(open_loop::run(plan))
        }
        Some(CommandName::Slopes(options)) => {
            let binary = options.binary.unwrap_or_else(find_binary);
            block_on(slopes::run(binary, &options.filter))
        }
    }
}

fn block_on(work: impl Future<Output = process::ExitCode>) -> process::ExitCode {
    match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(work),
        Err(error) => {
            eprintln!(
                "sapphirewalk_stand_in: can't start the runtime: {error}; check the resource limits"
            );
            process::ExitCode::FAILURE
        }
    }
}

/// The path of the `sapphirewalk` binary in the folder of this program.
fn find_binary() -> path::PathBuf {
    let own = env::current_exe().unwrap_or_default();
    own.with_file_name(BINARY_NAME)
}

fn print_usage() -> process::ExitCode {
    let commands = CommandLine::command_list().unwrap_or_default();
    eprintln!("{}\n\n{commands}", CommandLine::usage());
    process::ExitCode::from(USAGE_EXIT_CODE)
}
