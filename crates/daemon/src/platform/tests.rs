//! Answers to the daemon's orders and reports.

use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::*;

/// Time for which an exchange may last here, in milliseconds.
const LIMIT_MS: u64 = 5_000;

/// Starts a receiver that answers one request with a status line, and returns its address.
async fn start_receiver(line: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        let answer = format!("HTTP/1.1 {line}\r\ncontent-length: 2\r\n\r\n{{}}");
        stream.write_all(answer.as_bytes()).await.unwrap();
        // Keeps the connection open, so that nothing but the line can tell.
        while stream.read_u8().await.is_ok() {}
    });
    address
}

/// Guards against an order or a report that counts as answered by a status line that ends no request.
#[rstest]
#[case::answer("200 OK", Some(200))]
#[case::last("599 Unknown", Some(599))]
#[case::nothing("000", None)]
#[case::switched("101 Switching Protocols", None)]
#[case::unknown("600 Unknown", None)]
#[case::beyond("999 Unknown", None)]
#[tokio::test]
async fn an_exchange_without_a_final_status_has_no_outcome(
    #[case] line: &'static str,
    #[case] expected: Option<u16>,
) {
    let address = start_receiver(line).await;
    let sent = exchange(address, "/v1/usage", &json!({}), now() + LIMIT_MS).await;
    assert_eq!(sent.ok().map(|it| it.as_u16()), expected);
}
