//! Operations on a running cluster: changes of membership and keys.

use reqwest::Method;
use serde_json::Value;
use serde_json::json;

use crate::support::Cluster;
use bergamotlane_policy::plan::KeyHash;

/// Returns the names of the members with a role.
fn names(status: &Value, role: &str) -> Vec<String> {
    let members = status["members"].as_array().cloned().unwrap_or_default();
    let members = members.iter().filter(|member| member["role"] == role);
    members
        .map(|member| member["name"].as_str().unwrap().to_owned())
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_removed_voter_is_replaced_by_the_spare() {
    let cluster = Cluster::start(4, 4, 3).await;
    let voters = names(&cluster.status(0).await, "voter");
    let leader = cluster.leader(0).await.expect("there is a leader");
    let removed = voters
        .iter()
        .find(|name| **name != format!("entry{leader}"));
    let removed = removed.expect("there are three voters");
    let path = format!("/v1/instances/{removed}");
    let answer = cluster.operate(0, Method::DELETE, &path, Vec::new()).await;
    assert_eq!(answer["proposed"], true);
    let replaced = async |cluster: &Cluster| {
        let current = names(&cluster.status(0).await, "voter");
        current.len() == 3 && current != voters
    };
    cluster
        .until("another instance is a voter in its place", replaced)
        .await;
    let answer = cluster.operate(0, Method::POST, "/v1/instances/nobody", Vec::new());
    assert_eq!(answer.await["code"], "membership");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_granted_key_is_kept_by_an_exported_and_applied_sheet() {
    let mut cluster = Cluster::start(3, 3, 3).await;
    cluster.target("plain", "proof-desk", &[]).await;
    let grant = json!({
        "id": "desk-2", "role": "caller", "owner": "state-mint",
        "hash": KeyHash::of(b"granted-key").to_hex(),
    });
    let path = "/v1/keys?number=2&wait=in-force";
    let body = serde_json::to_vec(&grant).unwrap();
    let answer = cluster.operate(1, Method::POST, path, body).await;
    assert_eq!(answer["in_force"], true);
    let url = format!("http://{}/v1/sheet", cluster.addresses[2].operators);
    let export = cluster
        .client
        .get(url)
        .bearer_auth("test-operator-key-0123456789");
    let sheet = export.send().await.unwrap().bytes().await.unwrap();
    let path = "/v1/sheet?number=3&wait=in-force";
    let answer = cluster.operate(0, Method::PUT, path, sheet.to_vec()).await;
    assert_eq!(answer["in_force"], true);
    for index in 0..3 {
        let url = format!("http://{}/s/proof-desk/x", cluster.addresses[index].callers);
        let call = cluster.client.get(url).bearer_auth("granted-key");
        assert_eq!(call.send().await.unwrap().status(), 200);
    }
}
