//! Publishing configuration documents: which are acknowledged, refused and stored, and what is read back.

mod platform_support;

use hyper::{Method, StatusCode};
use platform_support::{Installation, ServerAction, call, document, post, wait_until};
use serde_json::{Value, json};

async fn start_installation() -> Installation {
    Installation::start(1, |_, _| ServerAction::Respond(StatusCode::OK, Vec::new())).await
}

async fn put(installation: &Installation, document: &Value) -> StatusCode {
    post(
        installation.control_address,
        "/api/config/put",
        document.to_string(),
    )
    .await
    .unwrap()
    .status
}

async fn stored_document(installation: &Installation) -> Value {
    let res = call(
        installation.control_address,
        Method::GET,
        "/api/config/get",
        &[],
        "",
    )
    .await
    .unwrap();
    assert_eq!(res.status, StatusCode::OK);
    serde_json::from_slice(res.body.as_ref().unwrap()).unwrap()
}

#[tokio::test]
async fn the_highest_version_wins_and_every_valid_document_is_acknowledged() {
    let installation = start_installation().await;
    let res = call(
        installation.control_address,
        Method::GET,
        "/api/config/get",
        &[],
        "",
    )
    .await
    .unwrap();
    assert_eq!(
        res.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "no document was published yet"
    );
    installation.publish(&document(5)).await;
    let mut other = document(5);
    other["Routes"][0]["TimeoutMs"] = json!(77);
    assert_eq!(put(&installation, &other).await, StatusCode::OK);
    assert_eq!(put(&installation, &document(3)).await, StatusCode::OK);
    assert_eq!(
        stored_document(&installation).await,
        document(5),
        "neither took effect"
    );
    assert_eq!(put(&installation, &document(9)).await, StatusCode::OK);
    assert_eq!(
        put(&installation, &document(5)).await,
        StatusCode::OK,
        "sent again"
    );
    assert_eq!(stored_document(&installation).await, document(9));
}

#[tokio::test]
async fn invalid_documents_are_refused_whatever_their_version() {
    let installation = start_installation().await;
    installation.publish(&document(5)).await;
    let invalidate = |change: &dyn Fn(&mut Value)| {
        let mut document = document(6);
        change(&mut document);
        document
    };
    let invalid = [
        invalidate(&|d| d["Routes"][0]["Service"] = json!("unknown")),
        invalidate(&|d| d["Routes"][1] = d["Routes"][0].clone()),
        invalidate(&|d| {
            let route = d["Routes"][0].as_object_mut().unwrap();
            route.remove("Service");
            route.insert(
                "TrafficSplit".into(),
                json!([{"Service": "app", "Weight": 0}]),
            );
        }),
        invalidate(&|d| d["Routes"][0]["TimeoutMs"] = json!(0)),
        invalidate(&|d| {
            let key = d["Tenants"][0]["ApiKeys"].clone();
            d["Tenants"]
                .as_array_mut()
                .unwrap()
                .push(json!({"Name": "other", "ApiKeys": key}));
        }),
        invalidate(&|d| d["Version"] = json!("six")),
    ];
    for document in &invalid {
        assert_eq!(
            put(&installation, document).await,
            StatusCode::BAD_REQUEST,
            "{document}"
        );
    }
    let text = document(6).to_string();
    let truncated = post(
        installation.control_address,
        "/api/config/put",
        text[..text.len() / 2].to_owned(),
    )
    .await;
    assert_eq!(truncated.unwrap().status, StatusCode::BAD_REQUEST);
    let mut old = invalid[0].clone();
    old["Version"] = json!(1);
    assert_eq!(
        put(&installation, &old).await,
        StatusCode::BAD_REQUEST,
        "an old version too"
    );
    assert_eq!(stored_document(&installation).await, document(5));
}

#[tokio::test]
async fn a_published_document_reaches_the_gateway() {
    let installation = start_installation().await;
    installation.publish(&document(1)).await;
    let mut changed = document(2);
    changed["Routes"][0]["PathPrefix"] = json!("/moved/");
    assert_eq!(put(&installation, &changed).await, StatusCode::OK);
    wait_until("the new route is served", || async {
        installation
            .send(Method::GET, "/moved/x", "r1", "")
            .await
            .status
            == StatusCode::OK
    })
    .await;
    let old = installation.send(Method::GET, "/safe/x", "r2", "").await;
    assert_eq!(old.status, StatusCode::NOT_FOUND);
}
