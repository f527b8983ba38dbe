//! Control endpoints of a simulated engine: cache events, load, KV transfers and
//! orders.

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

/// Body of a KV transfer request: hashes of KV blocks.
#[derive(Debug, Deserialize)]
struct Blocks {
    blocks: Box<[u64]>,
}

/// JSON body of an order.
#[derive(Debug, Deserialize)]
struct PostedOrder {
    fence: u64,
    #[serde(flatten)]
    action: PostedAction,
}

/// Action of an order in JSON.
#[derive(Debug, Deserialize)]
#[serde(tag = "action", rename_all = "lowercase")]
enum PostedAction {
    Load { model: Box<str>, ms: u64 },
    Unload { model: Box<str> },
    Role { role: PostedRole },
}

/// Engine role in JSON.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum PostedRole {
    Whole,
    Prefill,
    Decode,
}

/// Serves a request. Returns status and body of the response, or `None` for an
/// unknown path.
pub fn serve(driver: &Driver, method: &str, path: &str, body: &[u8]) -> Option<(u16, Value)> {
    let reply = match (method, path) {
        ("GET", "/v1/cache/events") => {
            let events = driver.with_model(EngineModel::cache_events);
            let events: Vec<_> = events.iter().map(event_json).collect();
            json!({"events": events})
        }
        ("GET", "/v1/cache/snapshot") => {
            let snapshot = driver.with_model(|model, _| model.cache_snapshot());
            json!({"sequence": snapshot.sequence, "blocks": snapshot.blocks})
        }
        ("GET", "/v1/load") => load_json(driver),
        ("POST", "/v1/kv/export" | "/v1/kv/import" | "/v1/kv/release") => {
            return Some(transfer_blocks(driver, path, body));
        }
        ("POST", "/v1/orders") => return Some(apply_order(driver, body)),
        _ => return None,
    };
    Some((200, reply))
}

/// Converts a cache event to JSON.
fn event_json(event: &CacheEvent) -> Value {
    let (change, block) = match event.change {
        CacheChange::Stored(block) => ("stored", Some(block)),
        CacheChange::Evicted(block) => ("evicted", Some(block)),
        CacheChange::Cleared => ("cleared", None),
    };
    json!({"sequence": event.sequence, "at_us": event.at.as_micros(), "change": change, "block": block})
}

/// Latest published load report in JSON; `null` if there is none.
fn load_json(driver: &Driver) -> Value {
    let report = driver.with_model(|model, now| model.load(now).map(|report| (report, now)));
    report.map_or(Value::Null, |(report, now)| {
        json!({
            "age_ms": now.since(report.at).as_millis(), "running": report.running,
            "waiting": report.waiting, "kv_permille": report.kv_permille,
            "token_gap_us": report.token_gap_us,
        })
    })
}

/// Exports, imports or releases KV blocks.
fn transfer_blocks(driver: &Driver, path: &str, body: &[u8]) -> (u16, Value) {
    let blocks = match serde_json::from_slice::<Blocks>(body) {
        Ok(request) => request.blocks,
        Err(err) => return bad_request(&err),
    };
    let reply = match path {
        "/v1/kv/export" => {
            let export = driver.with_model(|model, _| model.export(&blocks));
            json!({"blocks": export.blocks})
        }
        "/v1/kv/import" => {
            let export = KvExport { blocks };
            let imported = driver.with_model(|model, now| model.import(now, &export, 0));
            json!({"imported": imported})
        }
        _ => {
            driver.with_model(|model, now| model.release(now, &blocks));
            json!({})
        }
    };
    (200, reply)
}

/// Applies an order; refuses a stale fence number if the engine checks it.
fn apply_order(driver: &Driver, body: &[u8]) -> (u16, Value) {
    let posted = match serde_json::from_slice::<PostedOrder>(body) {
        Ok(posted) => posted,
        Err(err) => return bad_request(&err),
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
    match driver.with_model(|model, now| model.order(now, order)) {
        Ok(()) => (200, json!({})),
        Err(OrderError::StaleFence(fence)) => (409, json!({"fence": fence.0})),
    }
}

/// Response to a malformed request body.
fn bad_request(err: &serde_json::Error) -> (u16, Value) {
    (400, json!({"error": err.to_string()}))
}
