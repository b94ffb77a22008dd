//! Answers to the requests of duties: orders, reports and queries.

use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::*;

/// Time for which the lease lasts here, in milliseconds.
const LEASE_MS: u64 = 60_000;

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
        stream.read_u8().await.ok();
    });
    address
}

/// Guards against an order that counts as refused, or a report as answered, since what came back has a
/// status line that ends no request: it may have been carried out.
#[rstest]
#[case::answer("200 OK", Some(200))]
#[case::refusal("409 Conflict", Some(409))]
#[case::last("599 Unknown", Some(599))]
#[case::nothing("000", None)]
#[case::switched("101 Switching Protocols", None)]
#[case::unknown("600 Unknown", None)]
#[case::beyond("999 Unknown", None)]
#[tokio::test]
async fn a_duty_without_a_final_status_is_unclear(
    #[case] line: &'static str,
    #[case] expected: Option<u16>,
) {
    let lease = LeaseWatch::default();
    lease.set(now() + LEASE_MS);
    let call = OutboundCall {
        path: "/usage".to_owned(),
        headers: HeaderMap::new(),
        body: None,
    };
    let address = start_receiver(line).await;
    let result = send_duty(&TargetPool::new(), &lease, address, call).await;
    match result {
        Ok(answer) => assert_eq!(Some(answer.status.as_u16()), expected),
        Err(failure) => {
            assert_eq!(expected, None);
            assert!(matches!(failure, DutyFailure::Unclear));
        }
    }
}
