//! Polls the load reports and cache events of the instances, and the cloud's reclaim notices.
//! Instances found to be leaving are announced to the linked gateways.

use std::{sync::Arc, time::Duration};

use tokio::time::{MissedTickBehavior, interval, timeout};

use super::{
    core::Gateway,
    view::{CachedPrefixes, LoadReport, Member},
};
use crate::{
    domain::{Intent, ServiceKind},
    ports::{Clock, CloudApi, ReclaimNotice, Upstreams},
    wire::LeavingNotice,
};

/// Polls every instance in a task of its own, so that an unresponsive one does not delay the
/// others.
pub(super) async fn poll_instances<U: Upstreams, T: Clock>(gateway: Arc<Gateway<U, T>>) {
    let period = gateway.settings.timing.load_poll;
    let mut tick = interval(period);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let snapshot = gateway.snapshot.load_full();
        for member in snapshot.members() {
            announce_leaving(&gateway, member);
            if member.state.try_begin_poll() {
                let polls_cache = has_cache(&snapshot.view.intent, member);
                tokio::spawn(poll_instance(
                    Arc::clone(&gateway),
                    Arc::clone(member),
                    period,
                    polls_cache,
                ));
            }
        }
    }
}

fn has_cache(intent: &Intent, member: &Member) -> bool {
    intent.services.iter().any(|service| {
        service.name == member.instance.service
            && matches!(service.kind, ServiceKind::Engines { .. })
    })
}

fn announce_leaving<U: Upstreams, T: Clock>(gateway: &Gateway<U, T>, member: &Member) {
    if member.is_leaving_unreported() && member.state.mark_announced() {
        let instance = &member.instance;
        log::info!("gateway: {} is leaving.", instance.name);
        gateway.peers.broadcast_leaving(&LeavingNotice {
            instance: instance.name.to_string(),
            incarnation: instance.incarnation.0,
        });
    }
}

async fn poll_instance<U: Upstreams, T: Clock>(
    gateway: Arc<Gateway<U, T>>,
    member: Arc<Member>,
    call_timeout: Duration,
    polls_cache: bool,
) {
    let _ = timeout(call_timeout, poll_load(&gateway, &member)).await;
    if polls_cache {
        let _ = timeout(call_timeout, poll_cache(&gateway, &member)).await;
    }
    member.state.end_poll();
}

async fn poll_load<U: Upstreams, T: Clock>(gateway: &Gateway<U, T>, member: &Member) {
    let requested_at = gateway.clock.monotonic();
    let sent_before = member.state.sent_since_report();
    let Ok(load) = gateway.upstreams.load(&member.target).await else {
        return;
    };
    if load.leaving {
        member.state.mark_leaving();
    }
    let report = LoadReport {
        running: load.running,
        queued: load.queued,
        slots: load.slots,
        made_at: requested_at.saturating_sub(load.age),
    };
    member.state.set_report(report, sent_before);
}

async fn poll_cache<U: Upstreams, T: Clock>(gateway: &Gateway<U, T>, member: &Member) {
    let before = member.state.cache.load_full();
    let Ok(events) = gateway
        .upstreams
        .cache_events(&member.target, before.next)
        .await
    else {
        return;
    };
    let mut index = before.index.clone();
    index.apply(&events);
    member.state.cache.store(Arc::new(CachedPrefixes {
        index,
        next: events.next,
        read_at: Some(gateway.clock.monotonic()),
    }));
}

/// Polls the cloud's reclaim notices.
pub(super) async fn poll_notices<U: Upstreams, C: CloudApi, T: Clock>(
    gateway: Arc<Gateway<U, T>>,
    cloud: Arc<C>,
) {
    let mut tick = interval(gateway.settings.timing.cloud_poll);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        if let Ok(notices) = cloud.notices().await {
            notices
                .iter()
                .for_each(|notice| apply_reclaim_notice(&gateway, notice));
        }
    }
}

fn apply_reclaim_notice<U: Upstreams, T: Clock>(gateway: &Gateway<U, T>, notice: &ReclaimNotice) {
    if notice.instance.as_str() == &*gateway.settings.name {
        gateway.handle_reclaim(notice.remaining);
        return;
    }
    let reclaimed_at = gateway.clock.monotonic() + notice.remaining;
    let snapshot = gateway.snapshot.load();
    let member = snapshot.members().find(|m| {
        m.instance.name == notice.instance && m.instance.incarnation == notice.incarnation
    });
    if let Some(member) = member {
        member.state.set_reclaimed_at(reclaimed_at);
    }
}
