//! Periodic announcements of a stand-in target to the entries.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::arguments::StandinArguments;
use bergamotlane_wire::http::AnnounceBody;

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Identity of the announcing target, and where it sends its announcements.
#[derive(Debug, Clone)]
pub struct AnnouncerSettings {
    /// ID of the service that the target belongs to.
    pub service: String,
    /// Name of the target.
    pub name: String,
    /// Address that the target listens on and announces.
    pub address: SocketAddr,
    /// Availability zone that the target runs in.
    pub zone: String,
    /// Capacity class, `steady` or `reclaimable`.
    pub class: String,
    /// Version of the target's software.
    pub software: String,
    /// Key that the targets of the service authenticate with.
    pub key: String,
    /// Addresses of the entries' listeners for targets. Announcements go to one after the
    /// other, as a load balancer would spread them. If empty, none are sent.
    pub entries: Vec<SocketAddr>,
}

impl AnnouncerSettings {
    /// Names of the options that [`Self::read`] takes.
    pub const OPTIONS: [&str; 8] = [
        "listen", "service", "name", "zone", "class", "software", "key", "entries",
    ];

    /// Reads the settings from a command line.
    ///
    /// # Panics
    ///
    /// Panics if `listen` is missing or an address is invalid.
    pub fn read(arguments: &StandinArguments) -> Self {
        let address = arguments.address("listen");
        Self {
            service: arguments.text("service", "service"),
            name: arguments.text("name", &format!("t{}", address.port())),
            address,
            zone: arguments.text("zone", "zone"),
            class: arguments.text("class", "steady"),
            software: arguments.text("software", ""),
            key: arguments.text("key", ""),
            entries: arguments.addresses("entries"),
        }
    }
}

/// Part of an announcement that changes over the life of the target.
#[derive(Debug, Clone, Copy)]
pub struct TargetCondition {
    /// Whether the target can take its full load.
    pub warm: bool,
    /// Whether the target is about to shut down.
    pub leaving: bool,
    /// Weight version that is loaded; 0 for services without weights.
    pub version: u64,
    /// Number of requests in progress.
    pub load: u32,
}

/// Announces the target every `ANNOUNCE_INTERVAL` until the process ends. Failed
/// announcements are not retried, since the next one replaces them.
///
/// # Panics
///
/// Panics if the HTTP client can't be created.
pub async fn announce(settings: AnnouncerSettings, condition: impl Fn() -> TargetCondition) {
    let client = reqwest::Client::builder()
        .timeout(ANNOUNCE_TIMEOUT)
        .build()
        .expect("HTTP client can be created");
    let started = Instant::now();
    let boot = rand::random::<u64>() >> 1;
    // Targets start at different entries, by their port.
    let mut round = settings.address.port() as usize;
    loop {
        let now = condition();
        let body = AnnounceBody {
            service: settings.service.clone(),
            name: settings.name.clone(),
            boot,
            uptime_ms: started.elapsed().as_millis() as u64,
            address: settings.address.to_string(),
            zone: settings.zone.clone(),
            class: settings.class.clone(),
            warm: now.warm,
            leaving: now.leaving,
            weight_version: now.version,
            software: settings.software.clone(),
            load: now.load,
        };
        round += 1;
        if let Some(entry) = settings.entries.get(round % settings.entries.len().max(1)) {
            let url = format!("http://{entry}/v1/announce");
            let request = client.post(url).bearer_auth(&settings.key).json(&body);
            request.send().await.ok();
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
