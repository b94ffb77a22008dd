//! Target that answers each request with the same bytes.

use std::sync::Arc;
use std::sync::Mutex;

use reqwest::Method;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::support::Cluster;
use bergamotlane_standins::announce::AnnouncerSettings;
use bergamotlane_standins::announce::TargetCondition;
use bergamotlane_standins::announce::announce;

/// Target with a fixed answer.
pub struct RawTarget {
    /// Number of requests on each connection.
    requests: Arc<Mutex<Vec<u32>>>,
}

impl RawTarget {
    /// Starts a target of a service, and waits until it is known. `closes` tells whether it closes the
    /// connection after each answer.
    pub async fn start(
        cluster: &Cluster,
        service: &str,
        answer: impl Into<String>,
        closes: bool,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let target = Self {
            requests: Arc::default(),
        };
        let (counts, answer) = (Arc::clone(&target.requests), answer.into());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let connection = {
                    let mut counts = counts.lock().unwrap();
                    counts.push(0);
                    counts.len() - 1
                };
                let (answer, counts) = (answer.clone(), Arc::clone(&counts));
                tokio::spawn(async move {
                    serve(stream, &answer, closes, || {
                        counts.lock().unwrap()[connection] += 1
                    })
                    .await;
                });
            }
        });
        let settings = AnnouncerSettings {
            service: service.to_owned(),
            name: "raw".to_owned(),
            address,
            zone: "cai-a".to_owned(),
            class: "steady".to_owned(),
            software: String::new(),
            key: format!("{service}-target-key"),
            entries: cluster.addresses.iter().map(|it| it.targets).collect(),
        };
        let condition = || TargetCondition {
            warm: true,
            leaving: false,
            version: 0,
            load: 0,
        };
        tokio::spawn(announce(settings, condition));
        let listen = address.to_string();
        let is_known = async |cluster: &Cluster| {
            let targets = cluster
                .operate(0, Method::GET, "/v1/targets", Vec::new())
                .await;
            let mut targets = targets.as_array().unwrap().iter();
            targets.any(|target| target["address"] == listen)
        };
        cluster.until("the target is known", is_known).await;
        target
    }

    /// Returns the number of requests on each connection.
    pub fn requests(&self) -> Vec<u32> {
        self.requests.lock().unwrap().clone()
    }
}

/// Answers the requests of one connection, and calls `count` for each of them.
async fn serve(mut stream: TcpStream, answer: &str, closes: bool, count: impl Fn()) {
    while read_request(&mut stream).await {
        count();
        let sent = stream.write_all(answer.as_bytes()).await;
        if sent.is_err() || closes {
            break;
        }
    }
    stream.shutdown().await.ok();
}

/// Reads a request with a body of one byte or none; returns whether there was one.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return false,
        }
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    !head.contains("content-length: 1\r\n") || stream.read_u8().await.is_ok()
}
