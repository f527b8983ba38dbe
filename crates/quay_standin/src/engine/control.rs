//! What an engine tells of its cache and load, and the orders that it takes.

use {
    crate::{
        engine::driver::Driver,
        model::{
            CacheChange, CacheEvent, EngineModel, EngineRole, KvExport, Order, OrderAction,
            OrderError,
        },
    },
    quay_types::{FenceNumber, ModelId},
    serde::Deserialize,
    serde_json::{Value, json},
    std::time::Duration,
};

/// Blocks of KV content.
#[derive(Debug, Deserialize)]
struct Blocks {
    blocks: Box<[u64]>,
}

/// An order as it is posted.
#[derive(Debug, Deserialize)]
struct PostedOrder {
    fence: u64,
    #[serde(flatten)]
    action: PostedAction,
}

/// What an order asks for.
#[derive(Debug, Deserialize)]
#[serde(tag = "action", rename_all = "lowercase")]
enum PostedAction {
    Load { model: Box<str>, ms: u64 },
    Unload { model: Box<str> },
    Role { role: PostedRole },
}

/// Names of roles.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum PostedRole {
    Whole,
    Prefill,
    Decode,
}

/// Status and body of the answer; `None` for a path that is not served here.
pub fn serve(driver: &Driver, method: &str, path: &str, body: &[u8]) -> Option<(u16, Value)> {
    let answer = match (method, path) {
        ("GET", "/v1/cache/events") => {
            let events = driver.ask(EngineModel::cache_events);
            let events: Vec<_> = events.iter().map(event_json).collect();
            json!({"events": events})
        }
        ("GET", "/v1/cache/snapshot") => {
            let snapshot = driver.ask(|model, _| model.cache_snapshot());
            json!({"sequence": snapshot.sequence, "blocks": snapshot.blocks})
        }
        ("GET", "/v1/load") => load(driver),
        ("POST", "/v1/kv/export" | "/v1/kv/import" | "/v1/kv/release") => {
            return Some(move_blocks(driver, path, body));
        }
        ("POST", "/v1/orders") => return Some(take_order(driver, body)),
        _ => return None,
    };
    Some((200, answer))
}

/// A cache event in JSON.
fn event_json(event: &CacheEvent) -> Value {
    let (change, block) = match event.change {
        CacheChange::Stored(block) => ("stored", Some(block)),
        CacheChange::Evicted(block) => ("evicted", Some(block)),
        CacheChange::Cleared => ("cleared", None),
    };
    json!({"sequence": event.sequence, "at_us": event.at.as_micros(), "change": change, "block": block})
}

/// The newest load report that is known.
fn load(driver: &Driver) -> Value {
    let report = driver.ask(|model, now| model.load(now).map(|report| (report, now)));
    report.map_or(Value::Null, |(report, now)| {
        json!({
            "age_ms": now.since(report.at).as_millis(), "running": report.running,
            "waiting": report.waiting, "kv_permille": report.kv_permille,
            "token_gap_us": report.token_gap_us,
        })
    })
}

/// Exports, imports or releases KV content.
fn move_blocks(driver: &Driver, path: &str, body: &[u8]) -> (u16, Value) {
    let blocks = match serde_json::from_slice::<Blocks>(body) {
        Ok(posted) => posted.blocks,
        Err(err) => return bad(&err),
    };
    let answer = match path {
        "/v1/kv/export" => {
            let export = driver.ask(|model, _| model.export(&blocks));
            json!({"blocks": export.blocks})
        }
        "/v1/kv/import" => {
            let export = KvExport { blocks };
            let imported = driver.ask(|model, now| model.import(now, &export, 0));
            json!({"imported": imported})
        }
        _ => {
            driver.ask(|model, now| model.release(now, &blocks));
            json!({})
        }
    };
    (200, answer)
}

/// Carries out an order, unless its fence number is old and that is checked.
fn take_order(driver: &Driver, body: &[u8]) -> (u16, Value) {
    let posted = match serde_json::from_slice::<PostedOrder>(body) {
        Ok(posted) => posted,
        Err(err) => return bad(&err),
    };
    let action = match posted.action {
        PostedAction::Load { model, ms } => {
            OrderAction::Load(ModelId::of(&model), Duration::from_millis(ms))
        }
        PostedAction::Unload { model } => OrderAction::Unload(ModelId::of(&model)),
        PostedAction::Role { role } => OrderAction::Role(match role {
            PostedRole::Whole => EngineRole::Whole,
            PostedRole::Prefill => EngineRole::Prefill,
            PostedRole::Decode => EngineRole::Decode,
        }),
    };
    let order = Order {
        fence: FenceNumber(posted.fence),
        action,
    };
    match driver.ask(|model, now| model.order(now, order)) {
        Ok(()) => (200, json!({})),
        Err(OrderError::StaleFence(fence)) => (409, json!({"fence": fence.0})),
    }
}

/// The answer to a body that can't be read.
fn bad(err: &serde_json::Error) -> (u16, Value) {
    (400, json!({"error": err.to_string()}))
}
