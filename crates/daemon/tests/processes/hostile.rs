//! Malformed and hostile input on the listener for callers: it is rejected, reaches no target
//! and doesn't impair other requests.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Method;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::support::Cluster;

/// Longest wait for a response or the end of a connection.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Header with the key of a customer.
const KEY: &str = "authorization: Bearer state-mint-demo-key";

/// Sends bytes and returns the status line, or an empty text if the connection was closed
/// without one.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The daemon may close the connection before it has read everything.
    stream.write_all(bytes).await.ok();
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    while !answer.windows(2).any(|pair| pair == b"\r\n") {
        match timeout(WAIT_LIMIT, stream.read(&mut buffer))
            .await
            .expect("a response or the end of the connection within the limit")
        {
            Ok(0) | Err(_) => break,
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
        }
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

/// Returns a POST request with additional header lines.
fn request(head: &str, body: &str) -> Vec<u8> {
    format!("POST /s/proof-desk/x HTTP/1.1\r\nhost: x\r\n{KEY}\r\n{head}\r\n\r\n{body}")
        .into_bytes()
}

#[rstest]
#[case::two_lengths(request("content-length: 4\r\ncontent-length: 40", "abcd"))]
#[case::bad_length(request("content-length: -1", ""))]
#[case::bad_chunk(request("transfer-encoding: chunked", "zz\r\n"))]
#[case::huge_header(request(&format!("x-big: {}", "a".repeat(2_000_000)), ""))]
#[case::many_headers(request(&"x-many: 1\r\n".repeat(2_000), ""))]
#[case::not_http(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".to_vec())]
#[case::bad_path(b"GET /\xff\xfe HTTP/1.1\r\nhost: x\r\n\r\n".to_vec())]
#[case::huge_body(request("content-length: 900000000", ""))]
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_request_is_rejected_and_reaches_no_target(#[case] bytes: Vec<u8>) {
    let mut cluster = Cluster::start(1, 1, 1).await;
    let desk = cluster.target("plain", "proof-desk", &[]).await;
    let mut bytes = bytes;
    if bytes.windows(9).any(|window| window == b"900000000") {
        bytes.extend(std::iter::repeat_n(b'x', 9 * 1024 * 1024));
    }
    let status = exchange(cluster.addresses[0].callers, &bytes).await;
    assert!(!status.contains(" 200 "), "{status}");
    let audit = cluster.audit(desk).await;
    assert_eq!(audit["served"], 0, "{status}");
    // The daemon still serves other requests.
    let answer = cluster
        .call(0, Method::GET, "/s/proof-desk/x")
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
}

/// Guards against request smuggling. By RFC 9112, 6.1, a request with both `content-length` and
/// `transfer-encoding` may be read by its chunks, if nothing that follows on the connection is
/// taken for a request.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_two_framings_is_the_last_of_its_connection() {
    let mut cluster = Cluster::start(1, 1, 1).await;
    let desk = cluster.target("plain", "proof-desk", &[]).await;
    let smuggled = format!("GET /s/proof-desk/smuggled HTTP/1.1\r\nhost: x\r\n{KEY}\r\n\r\n");
    let head = "content-length: 4\r\ntransfer-encoding: chunked";
    let bytes = request(head, &format!("0\r\n\r\n{smuggled}"));
    let mut stream = TcpStream::connect(cluster.addresses[0].callers)
        .await
        .unwrap();
    stream.write_all(&bytes).await.unwrap();
    let mut answer = Vec::new();
    let ended = timeout(WAIT_LIMIT, stream.read_to_end(&mut answer)).await;
    assert!(ended.is_ok(), "the connection is still open");
    let text = String::from_utf8_lossy(&answer);
    assert_eq!(text.matches("HTTP/1.1 ").count(), 1, "{text}");
    assert!(cluster.audit(desk).await["served"].as_u64() <= Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_and_idle_connections_do_not_block_others() {
    let mut cluster = Cluster::start(1, 1, 1).await;
    cluster.target("plain", "proof-desk", &[]).await;
    let address = cluster.addresses[0].callers;
    let mut connections = Vec::new();
    for number in 0..1_000 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        if number % 2 == 0 {
            // An incomplete request head, which is never completed.
            stream
                .write_all(b"GET /s/proof-desk/x HTTP/1.1\r\nhost")
                .await
                .unwrap();
        }
        connections.push(stream);
    }
    for _ in 0..20 {
        let answer = cluster
            .call(0, Method::GET, "/s/proof-desk/x")
            .send()
            .await
            .unwrap();
        assert_eq!(answer.status(), 200);
    }
    // A connection whose request head isn't completed in time is closed.
    let mut buffer = [0; 64];
    let ended = timeout(WAIT_LIMIT, connections[0].read(&mut buffer)).await;
    assert!(ended.is_ok(), "the slow connection is still open");
}
