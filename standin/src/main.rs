//! Runs one stand-in as a process of its own until it is ended.

use std::{future::pending, sync::Arc};

use anyhow::Context;
use clap::Parser;
use standin::{
    cloud::{self, CloudParams, Launch, Listing, StartOrder, Started},
    engine::{self, EngineParams},
    service::{self, ServiceParams},
    weights::{self, WeightParams},
};

/// Runs one stand-in; prints its address as the first line.
#[derive(Debug, Parser)]
#[command(version)]
enum Command {
    /// A model engine.
    Engine(EngineParams),
    /// A plain service.
    Service(ServiceParams),
    /// The cloud API. Instances that it starts run in its own process.
    Cloud {
        /// Parameters of the cloud API.
        #[command(flatten)]
        params: CloudParams,
        /// An instance that runs already, as JSON; may be repeated.
        #[arg(long = "instance")]
        instances: Vec<String>,
        /// A service whose started instances are plain services; others are engines.
        #[arg(long = "plain")]
        plain: Vec<String>,
        /// The models of started engines.
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
            serve(engine.address()).await
        }
        Command::Service(params) => {
            let service = service::start(params).await?;
            serve(service.address()).await
        }
        Command::Cloud {
            params,
            instances,
            plain,
            models,
        } => {
            let cloud = cloud::start(params, launch(plain, models)).await?;
            for text in instances {
                let listing: Listing = serde_json::from_str(&text)
                    .with_context(|| format!("could not read the instance {text}"))?;
                cloud.register(listing, || {});
            }
            serve(cloud.address()).await
        }
        Command::Weights(params) => {
            let weights = weights::start(params).await?;
            serve(weights.address()).await
        }
    }
}

async fn serve(address: std::net::SocketAddr) -> anyhow::Result<()> {
    println!("{address}");
    pending().await
}

fn launch(plain: Vec<String>, models: Vec<String>) -> Launch {
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

async fn start_service(order: StartOrder) -> anyhow::Result<Started> {
    let params = ServiceParams {
        name: order.service,
        ..ServiceParams::default()
    };
    let service = service::start(params).await?;
    Ok(Started {
        address: service.address(),
        stop: Box::new(move || service.stop()),
    })
}

async fn start_engine(models: Vec<String>) -> anyhow::Result<Started> {
    let params = EngineParams {
        models,
        ..EngineParams::default()
    };
    let engine = engine::start(params).await?;
    Ok(Started {
        address: engine.address(),
        stop: Box::new(move || engine.stop()),
    })
}
