//! `serve`: runs an entry host until it receives SIGTERM or SIGINT.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use actix_rt::signal::unix::SignalKind;
use actix_rt::signal::unix::signal;
use log::error;
use log::info;
use log::warn;
use wagtailledge_entry::EntryHost;
use wagtailledge_entry::etcd_adapters;
use wagtailledge_settings::HostSettings;

use super::load_settings;

/// Interval at which the settings file is checked for changes if no SIGHUP is received.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The settings file: its text as last read, and the last valid settings.
struct SettingsFile {
    path: PathBuf,
    settings: HostSettings,
    text: String,
}

impl SettingsFile {
    /// Reads the file again and returns the settings if the file has changed and is valid. If
    /// `requested` by a SIGHUP, logs that the file is unchanged.
    fn reload(&mut self, requested: bool) -> Option<&HostSettings> {
        let text = std::fs::read_to_string(&self.path).unwrap_or_default();
        if text == self.text {
            if requested {
                info!("settings reload requested: {} is unchanged", self.path.display());
            }
            return None;
        }
        self.text = text;
        match load_settings(&self.path) {
            Ok(settings) => {
                for section in self.settings.sections_needing_restart(&settings) {
                    warn!("settings changed: {section} takes effect only after a restart");
                }
                self.settings = settings;
                Some(&self.settings)
            }
            Err(faults) => {
                for fault in faults {
                    warn!("changed settings rejected, the previous ones stay in force: {fault}");
                }
                None
            }
        }
    }
}

/// Runs an entry host with the settings file at `path`; logs to standard output.
pub fn run(path: &Path) -> Result<(), Vec<String>> {
    env_logger::Builder::from_env(
        env_logger::Env::default().default_filter_or("info,jsonrpsee_server=warn"),
    )
    .target(env_logger::Target::Stdout)
    .init();
    std::panic::set_hook(Box::new(|panic| error!("{panic}")));
    let settings = load_settings(path)?;
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let file = SettingsFile { path: path.to_owned(), settings, text };
    actix_rt::System::new().block_on(serve(file))
}

async fn serve(mut file: SettingsFile) -> Result<(), Vec<String>> {
    let listen =
        |kind| signal(kind).map_err(|error| vec![format!("cannot listen for signals: {error}")]);
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
            () = host.failure() => return Err(vec!["ended after a panic, see the log".to_owned()]),
            _ = hangup.recv() => true,
            () = actix_rt::time::sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        if let Some(settings) = file.reload(signalled) {
            host.apply_settings(settings);
        }
    }
    info!("shutdown requested: draining requests in progress");
    host.drain().await;
    info!("ended");
    Ok(())
}
