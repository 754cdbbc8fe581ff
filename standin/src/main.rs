//! Runs one stand-in as a process until it is killed.

use std::{future::pending, sync::Arc};

use anyhow::Context;
use clap::Parser;
use standin::{
    cloud::{self, CloudParams, LaunchFn, Listing, StartOrder, StartedInstance},
    engine::{self, EngineParams},
    service::{self, ServiceParams},
    weights::{self, WeightParams},
};

/// Runs one stand-in and prints its address as the first line.
#[derive(Debug, Parser)]
#[command(version)]
enum Command {
    /// A model engine.
    Engine(EngineParams),
    /// A plain service.
    Service(ServiceParams),
    /// The cloud API. The instances that it starts run in the same process.
    Cloud {
        /// Parameters of the cloud API.
        #[command(flatten)]
        params: CloudParams,
        /// A running instance to list from the start, as JSON; may be repeated.
        #[arg(long = "instance")]
        instances: Vec<String>,
        /// A service whose instances are started as plain services; all others are engines.
        #[arg(long = "plain")]
        plain: Vec<String>,
        /// Models loaded by started engines.
        #[arg(long = "model", default_values_t = EngineParams::default().models)]
        models: Vec<String>,
    },
    /// The weight store.
    Weights(WeightParams),
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    match Command::parse() {
        Command::Engine(params) => {
            let engine = engine::start(params).await?;
            print_address_and_wait(engine.address()).await
        }
        Command::Service(params) => {
            let service = service::start(params).await?;
            print_address_and_wait(service.address()).await
        }
        Command::Cloud {
            params,
            instances,
            plain,
            models,
        } => {
            let cloud = cloud::start(params, launcher(plain, models)).await?;
            for text in instances {
                let listing: Listing = serde_json::from_str(&text)
                    .with_context(|| format!("could not read the instance {text}"))?;
                cloud.register(listing, || {});
            }
            print_address_and_wait(cloud.address()).await
        }
        Command::Weights(params) => {
            let weights = weights::start(params).await?;
            print_address_and_wait(weights.address()).await
        }
    }
}

async fn print_address_and_wait(address: std::net::SocketAddr) -> anyhow::Result<()> {
    println!("{address}");
    pending().await
}

fn launcher(plain: Vec<String>, models: Vec<String>) -> LaunchFn {
    Arc::new(move |order| {
        let is_plain = plain.contains(&order.service);
        let models = models.clone();
        Box::pin(async move {
            if is_plain {
                start_service(order).await
            } else {
                start_engine(models).await
            }
        })
    })
}

async fn start_service(order: StartOrder) -> anyhow::Result<StartedInstance> {
    let params = ServiceParams {
        name: order.service,
        ..ServiceParams::default()
    };
    let service = service::start(params).await?;
    Ok(StartedInstance {
        address: service.address(),
        stop: Box::new(move || service.stop()),
    })
}

async fn start_engine(models: Vec<String>) -> anyhow::Result<StartedInstance> {
    let params = EngineParams {
        models,
        ..EngineParams::default()
    };
    let engine = engine::start(params).await?;
    Ok(StartedInstance {
        address: engine.address(),
        stop: Box::new(move || engine.stop()),
    })
}
