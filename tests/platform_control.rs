//! Publishing documents on the users' platform: what is acknowledged, refused, kept and read back.

mod platform_support;

use hyper::{Method, StatusCode};
use platform_support::{Act, Site, call, document, post, until};
use serde_json::{Value, json};

async fn site() -> Site {
    Site::start(1, |_, _| Act::Answer(StatusCode::OK, Vec::new())).await
}

async fn put(site: &Site, document: &Value) -> StatusCode {
    post(site.control, "/api/config/put", document.to_string())
        .await
        .unwrap()
        .status
}

async fn held(site: &Site) -> Value {
    let res = call(site.control, Method::GET, "/api/config/get", &[], "")
        .await
        .unwrap();
    assert_eq!(res.status, StatusCode::OK);
    serde_json::from_slice(res.body.as_ref().unwrap()).unwrap()
}

#[tokio::test]
async fn the_highest_version_wins_and_every_valid_order_is_acknowledged() {
    let site = site().await;
    let read = call(site.control, Method::GET, "/api/config/get", &[], "")
        .await
        .unwrap();
    assert_eq!(
        read.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "nothing is known yet"
    );
    site.publish(&document(5)).await;
    let mut other = document(5);
    other["Routes"][0]["TimeoutMs"] = json!(77);
    assert_eq!(put(&site, &other).await, StatusCode::OK);
    assert_eq!(put(&site, &document(3)).await, StatusCode::OK);
    assert_eq!(held(&site).await, document(5), "neither took effect");
    assert_eq!(put(&site, &document(9)).await, StatusCode::OK);
    assert_eq!(put(&site, &document(5)).await, StatusCode::OK, "sent again");
    assert_eq!(held(&site).await, document(9));
}

#[tokio::test]
async fn what_is_invalid_is_refused_whatever_its_version() {
    let site = site().await;
    site.publish(&document(5)).await;
    let spoil = |change: &dyn Fn(&mut Value)| {
        let mut document = document(6);
        change(&mut document);
        document
    };
    let invalid = [
        spoil(&|d| d["Routes"][0]["Service"] = json!("unknown")),
        spoil(&|d| d["Routes"][1] = d["Routes"][0].clone()),
        spoil(&|d| {
            let route = d["Routes"][0].as_object_mut().unwrap();
            route.remove("Service");
            route.insert(
                "TrafficSplit".into(),
                json!([{"Service": "app", "Weight": 0}]),
            );
        }),
        spoil(&|d| d["Routes"][0]["TimeoutMs"] = json!(0)),
        spoil(&|d| {
            let key = d["Tenants"][0]["ApiKeys"].clone();
            d["Tenants"]
                .as_array_mut()
                .unwrap()
                .push(json!({"Name": "other", "ApiKeys": key}));
        }),
        spoil(&|d| d["Version"] = json!("six")),
    ];
    for document in &invalid {
        assert_eq!(
            put(&site, document).await,
            StatusCode::BAD_REQUEST,
            "{document}"
        );
    }
    let text = document(6).to_string();
    let cut = post(
        site.control,
        "/api/config/put",
        text[..text.len() / 2].to_owned(),
    )
    .await;
    assert_eq!(cut.unwrap().status, StatusCode::BAD_REQUEST);
    let mut old = invalid[0].clone();
    old["Version"] = json!(1);
    assert_eq!(
        put(&site, &old).await,
        StatusCode::BAD_REQUEST,
        "an old version too"
    );
    assert_eq!(held(&site).await, document(5));
}

#[tokio::test]
async fn a_published_document_reaches_the_gateway() {
    let site = site().await;
    site.publish(&document(1)).await;
    let mut changed = document(2);
    changed["Routes"][0]["PathPrefix"] = json!("/moved/");
    assert_eq!(put(&site, &changed).await, StatusCode::OK);
    until("the new route is served", || async {
        site.send(Method::GET, "/moved/x", "r1", "").await.status == StatusCode::OK
    })
    .await;
    let old = site.send(Method::GET, "/safe/x", "r2", "").await;
    assert_eq!(old.status, StatusCode::NOT_FOUND);
}
