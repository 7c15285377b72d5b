//! `serve`: runs an entry host until it is told to end.

use std::path::Path;

use actix_rt::signal::unix::SignalKind;
use actix_rt::signal::unix::signal;
use log::info;
use wagtailledge_entry::EntryHost;
use wagtailledge_entry::etcd_adapters;

use super::load_settings;

/// Runs an entry host.
pub fn run(settings: &Path) -> Result<(), Vec<String>> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .target(env_logger::Target::Stdout)
        .init();
    let settings = load_settings(settings)?;
    actix_rt::System::new().block_on(async move {
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| vec![e.to_string()])?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| vec![e.to_string()])?;
        let adapters = match wagtailledge_platform::adapters(&settings) {
            Some(adapters) => adapters,
            None => etcd_adapters(&settings),
        };
        let started = EntryHost::start(&settings, adapters).await;
        let host = started.map_err(|error| vec![error.to_string()])?;
        let ending =
            futures::future::select(Box::pin(terminate.recv()), Box::pin(interrupt.recv()));
        ending.await;
        info!("told to end: requests in progress end first");
        host.drain().await;
        Ok(())
    })
}
