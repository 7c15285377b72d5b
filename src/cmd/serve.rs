//! `serve`: runs an entry host until it is told to end.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use actix_rt::signal::unix::SignalKind;
use actix_rt::signal::unix::signal;
use log::info;
use log::warn;
use wagtailledge_entry::EntryHost;
use wagtailledge_entry::etcd_adapters;
use wagtailledge_settings::HostSettings;

use super::load_settings;

/// Between two looks whether the settings file has changed without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(5);

/// The settings file as last read.
struct SettingsFile {
    path: PathBuf,
    settings: HostSettings,
    text: String,
}

impl SettingsFile {
    /// Reads the file again; returns the settings when it has changed and has no fault.
    fn reload(&mut self, always: bool) -> Option<&HostSettings> {
        let text = std::fs::read_to_string(&self.path).unwrap_or_default();
        if text == self.text {
            if always {
                info!("told to reload the settings: they have not changed");
            }
            return None;
        }
        self.text = text;
        match load_settings(&self.path) {
            Ok(settings) => {
                for section in self.settings.sections_needing_restart(&settings) {
                    warn!("settings changed: {section} takes effect at the next start");
                }
                self.settings = settings;
                Some(&self.settings)
            }
            Err(faults) => {
                for fault in faults {
                    warn!("settings changed and are not taken over: {fault}");
                }
                None
            }
        }
    }
}

/// Runs an entry host.
pub fn run(path: &Path) -> Result<(), Vec<String>> {
    env_logger::Builder::from_env(
        env_logger::Env::default().default_filter_or("info,jsonrpsee_server=warn"),
    )
    .target(env_logger::Target::Stdout)
    .init();
    let settings = load_settings(path)?;
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let file = SettingsFile { path: path.to_owned(), settings, text };
    actix_rt::System::new().block_on(serve(file))
}

async fn serve(mut file: SettingsFile) -> Result<(), Vec<String>> {
    let listen = |kind| signal(kind).map_err(|error| vec![error.to_string()]);
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut hangup = listen(SignalKind::hangup())?;
    let adapters = match wagtailledge_platform::adapters(&file.settings) {
        Some(adapters) => adapters,
        None => etcd_adapters(&file.settings),
    };
    let started = EntryHost::start(&file.settings, adapters).await;
    let host = started.map_err(|error| vec![error.to_string()])?;
    loop {
        let signalled = tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => true,
            () = actix_rt::time::sleep(SETTINGS_LOOK) => false,
        };
        if let Some(settings) = file.reload(signalled) {
            host.apply_settings(settings);
        }
    }
    info!("told to end: requests in progress end first");
    host.drain().await;
    info!("ended");
    Ok(())
}
