//! Runs the platform stand-in.

use clap::{Arg, Command, value_parser};
use compio::net::TcpListener;
use platform_standin::api::PlatformApi;
use standin_net::{Result, server::serve};
use std::{net::SocketAddr, rc::Rc};

/// The default seed of the random faults.
const DEFAULT_SEED: &str = "1";

/// Returns the definition of the command line.
fn command() -> Command {
    Command::new("platform-standin")
        .about("Stands in for the platform's object API, with injectable faults")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("The address to listen on"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .default_value(DEFAULT_SEED)
                .value_parser(value_parser!(u64))
                .help("The seed of the random faults"),
        )
}

/// Runs the stand-in until a signal ends the process.
#[compio::main]
async fn main() -> Result<()> {
    let matches = command().get_matches();
    let address = *matches
        .get_one::<SocketAddr>("listen")
        .expect("clap requires the argument");
    let seed = *matches
        .get_one::<u64>("seed")
        .expect("the argument has a default value");

    let listener = TcpListener::bind(address).await?;
    println!("platform-standin: listening on {}", listener.local_addr()?);

    serve(listener, Rc::new(PlatformApi::new(seed))).await
}
