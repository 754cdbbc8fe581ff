//! Encoded sizes of messages: views, intents, heartbeats and journal entries.

use flamingocroft::{
    domain::Account,
    wire::{
        Body, Demand, Frame, GatewayHeartbeat, GatewayRecord, InstanceRecord, JournalAppend,
        JournalPut, JournalRemove, JournalTokens, JournaledRequest, LeaseReply, Ping, ShareRecord,
        ViewReply,
    },
};
use prost::Message;

use crate::support::{intent::intent, shape::Shape};

/// Size of a frame's length prefix.
const LENGTH_BYTES: usize = 4;
const GATEWAYS: usize = 330;

/// Prints the sizes.
pub fn print() {
    println!("\nbytes of frames with their length, without TCP");
    println!(
        "ping                                     {:>8}",
        frame_bytes(Body::Ping(Ping {}))
    );
    for count in [20, 100, 400, 950] {
        let view = ViewReply {
            instances: (0..count).map(instance_record).collect(),
            instances_complete: true,
            ..view_header()
        };
        println!(
            "view with {count:>3} instances, whole          {:>8}",
            frame_bytes(Body::View(view))
        );
    }
    for count in [4, 16, 64, GATEWAYS] {
        let view = ViewReply {
            gateways: (0..count).map(gateway_record).collect(),
            gateways_changed: true,
            ..view_header()
        };
        println!(
            "view with {count:>3} gateways                  {:>8}",
            frame_bytes(Body::View(view))
        );
    }
    for count in [5, 50, 500] {
        let view = ViewReply {
            intent: intent_json(count).into(),
            ..view_header()
        };
        println!(
            "view with an intent of {count:>3} accounts     {:>8}",
            frame_bytes(Body::View(view))
        );
    }
    for count in [1, 10, 50] {
        println!(
            "heartbeat with {count:>2} demands              {:>8}",
            heartbeat_bytes(count)
        );
        println!(
            "lease with {count:>2} shares                   {:>8}",
            lease_bytes(count)
        );
    }
    for prompt in [1024, 4096, 16384] {
        println!(
            "journal put, {prompt:>5} bytes of prompt       {:>8}",
            put_bytes(prompt)
        );
    }
    for tokens in [1, 8, 64] {
        println!(
            "journal append of {tokens:>2} tokens           {:>8}",
            append_bytes(tokens)
        );
    }
    let remove = JournalRemove {
        owner: "gateway-000".to_owned(),
        incarnation: 1_796_000_000_000,
        id: vec![7; 16],
    };
    println!(
        "journal remove                           {:>8}",
        frame_bytes(Body::JournalRemove(remove))
    );
}

fn frame_bytes(body: Body) -> usize {
    let frame = Frame {
        correlation: 10_000,
        reply: true,
        body: Some(body),
    };
    frame.encoded_len() + LENGTH_BYTES
}

fn view_header() -> ViewReply {
    ViewReply {
        index: 1_000_000,
        term: 9,
        sequence: 100,
        revision: 2_400,
        ..ViewReply::default()
    }
}

fn instance_record(i: usize) -> InstanceRecord {
    InstanceRecord {
        name: format!("i-0a1b2c3d4e5f{i:05}"),
        incarnation: 3,
        service: "assistant".to_owned(),
        zone: "tozeur".to_owned(),
        class: "standard".to_owned(),
        reclaimable: true,
        address: "10.120.130.140:8000".to_owned(),
        state: 0,
    }
}

fn gateway_record(i: usize) -> GatewayRecord {
    GatewayRecord {
        name: format!("gateway-{i:03}"),
        incarnation: 1_796_000_000_000,
        zone: "tozeur".to_owned(),
        caller_address: "10.120.130.140:8000".to_owned(),
        peer_address: "10.120.130.140:9000".to_owned(),
        leaving: false,
    }
}

/// Returns an intent as JSON.
pub fn intent_json(accounts: usize) -> Vec<u8> {
    let mut intent = intent(&Shape::default());
    let template = intent.accounts[0].clone();
    intent.accounts = (0..accounts)
        .map(|i| Account {
            name: format!("account-{i:03}").as_str().into(),
            ..template.clone()
        })
        .collect();
    serde_json::to_vec(&intent).expect("an intent can be encoded")
}

fn heartbeat_bytes(demands: usize) -> usize {
    let demand = Demand {
        service: "assistant".to_owned(),
        account: "account-000".to_owned(),
        running: 12,
        waiting: 3,
    };
    frame_bytes(Body::Heartbeat(GatewayHeartbeat {
        gateway: Some(gateway_record(0)),
        view_index: 1_000_000,
        demand: vec![demand; demands],
        leaving: Vec::new(),
        shares_version: 1 << 36,
    }))
}

fn lease_bytes(shares: usize) -> usize {
    let share = ShareRecord {
        service: "assistant".to_owned(),
        account: "account-000".to_owned(),
        slots: 12,
    };
    frame_bytes(Body::Lease(LeaseReply {
        lease_ms: 2000,
        required_index: 1_000_000,
        shares: vec![share; shares],
        shares_changed: true,
        shares_version: 1 << 36,
    }))
}

fn put_bytes(prompt: usize) -> usize {
    frame_bytes(Body::JournalPut(JournalPut {
        owner: "gateway-000".to_owned(),
        incarnation: 1_796_000_000_000,
        request: Some(JournaledRequest {
            id: vec![7; 16],
            account: "account-000".to_owned(),
            model: "assistant".to_owned(),
            prompt: "p".repeat(prompt),
            max_tokens: 512,
            seed: u64::MAX / 3,
            chat: true,
        }),
        tokens: Some(JournalTokens::default()),
        take_over: false,
    }))
}

fn append_bytes(tokens: usize) -> usize {
    frame_bytes(Body::JournalAppend(JournalAppend {
        owner: "gateway-000".to_owned(),
        incarnation: 1_796_000_000_000,
        id: vec![7; 16],
        tokens: Some(JournalTokens {
            offset: 200,
            texts: vec![" token".to_owned(); tokens],
            finish: 0,
        }),
    }))
}
