//! Orders upstreams while this controller leads, as `policy::scale` says.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::{core::Core, duty::Duty, metrics::DutyCounters, rounds::repeat};
use crate::{
    domain::{EngineFacts, RouteTable, RoutedService, ScalingFacts, ServiceName, ZoneName},
    policy::scale::{self, EngineSize, NeedMeter, Ordered, Present, Use, Wanted, ZoneMarket},
    ports::{Clock, CloudError, DutyHolder, Platform, UpstreamOrder},
    settings::Ingress,
    wire::ServiceLoad,
};

/// Time between two looks at the use of services.
const LOOK: Duration = Duration::from_millis(500);
/// Longest time for the platform to take an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for which a zone that refused reclaimable upstreams gets no further order of them.
const DRY_FOR: Duration = Duration::from_secs(6);
/// Part by which a learnt speed must change to be told in the log.
const TOLD_CHANGE: f64 = 0.2;
/// Pause after an order that was refused or not answered.
const ORDER_PAUSE: Duration = Duration::from_secs(1);

/// Orders upstreams until the token is cancelled.
pub(super) async fn run<T: Clock, P: Platform>(
    core: Arc<Core<T>>,
    platform: Arc<P>,
    ingress: Ingress,
    stop: CancellationToken,
) {
    let counters = DutyCounters::new(&core.metrics, "orders");
    let shown = Arc::clone(&core);
    core.metrics.gauges(
        "controller_engine_tokens_per_second",
        "Prompt tokens that one engine reads in a second, as learnt from waits.",
        "service",
        move || {
            let followers = shown.followers();
            let speeds = followers.speeds().iter();
            speeds
                .map(|(name, speed)| (name.to_string(), *speed))
                .collect()
        },
    );
    let scaler = Scaler {
        core,
        counters,
        platform,
        duty: Duty::new("ordering upstreams", ingress.duty_lease),
        term: 0,
        table: RouteTable::default(),
        services: HashMap::new(),
    };
    repeat(LOOK, &stop, scaler, |mut scaler| async move {
        scaler.look().await;
        scaler
    })
    .await;
}

struct Scaler<T, P> {
    core: Arc<Core<T>>,
    platform: Arc<P>,
    duty: Duty,
    counters: DutyCounters,
    term: u64,
    table: RouteTable,
    services: HashMap<ServiceName, Scaled>,
}

/// What is known of one service in this term.
#[derive(Debug, Default)]
struct Scaled {
    meter: NeedMeter,
    used: Use,
    zones: HashMap<ZoneName, ZoneState>,
}

/// What was ordered in one zone in this term.
#[derive(Debug, Default)]
struct ZoneState {
    orders: Ordered,
    paused_until: Duration,
    /// Until when no reclaimable upstreams are expected to be there.
    dry_until: Duration,
}

impl<T: Clock, P: Platform> Scaler<T, P> {
    /// Measures what is used, also while another controller leads, so that a new leader knows the
    /// last while; orders if this one leads.
    async fn look(&mut self) {
        self.read_table();
        let services = self.table.services.clone();
        for service in &services {
            if let Some(engine) = service.engine {
                self.measure(service, engine);
            }
        }
        let Some((term, holder)) = self.duty.hold(&self.core).await else {
            return;
        };
        if self.term != term {
            self.term = term;
            self.services
                .values_mut()
                .for_each(|scaled| scaled.zones.clear());
        }
        for service in &services {
            if let Some(scaling) = &service.scaling {
                self.scale(&holder, service, scaling).await;
            }
        }
    }

    fn measure(&mut self, service: &RoutedService, engine: EngineFacts) {
        let now = self.core.now();
        let load = self.load(&service.name);
        let used = Use {
            in_flight: load.in_flight,
            prompt_tokens: load.prompt_tokens,
        };
        let speed = self.speed(&service.name, &load);
        let scaled = self.services.entry(service.name.clone()).or_default();
        scaled.used = used;
        // Without a speed nothing is planned, so what is there stays.
        if let Some(prompt_tokens) = speed.filter(|_| used.in_flight > 0.0) {
            let size = EngineSize {
                slots: engine.slots,
                prompt_tokens,
            };
            scaled.meter.take(now, scale::need(used, size));
        }
    }

    /// Returns how many prompt tokens an engine of a service reads in a second: what is learnt now, or else what
    /// was last.
    fn speed(&self, service: &ServiceName, load: &ServiceLoad) -> Option<f64> {
        // Only the leader has the platform's list; gateways have it from there.
        let engines = load.upstreams;
        let reading = load.reading.unwrap_or_default();
        let learnt = reading.speed(load.prompt_tokens, engines);
        let mut followers = self.core.followers();
        let before = followers.speeds().get(service).copied();
        let Some(speed) = learnt else {
            return before;
        };
        if before.is_none_or(|before| (speed / before - 1.0).abs() > TOLD_CHANGE) {
            log::info!(
                event = "engine.speed", service:% = service, tokens_per_second = speed,
                before = before.unwrap_or_default(), requests = reading.count,
                rate = load.prompt_tokens, engines = engines;
                "controller: an engine of {service} reads {speed:.0} prompt tokens in a second"
            );
            followers.set_speed(service, speed);
        }
        Some(speed)
    }

    fn read_table(&mut self) {
        let published = self.core.log.state().published().clone();
        if published.version <= self.table.version {
            return;
        }
        match self.platform.read_table(&published.document) {
            Ok(table) => self.table = table,
            Err(e) => log::error!("controller: version {} in force: {e}.", published.version),
        }
    }

    async fn scale(
        &mut self,
        holder: &DutyHolder,
        service: &RoutedService,
        scaling: &ScalingFacts,
    ) {
        let now = self.core.now();
        let present = self.present(&service.name);
        let Some(scaled) = self.services.get_mut(&service.name) else {
            return;
        };
        let total: u32 = present
            .values()
            .map(|here| here.reclaimable + here.on_demand)
            .sum();
        let planned = scaled.meter.plan(now, total);
        let Some(needed) = planned.filter(|_| total > 0) else {
            return;
        };
        let used = scaled.used;
        for wanted in scale::orders(needed, &scaled.markets(scaling, now)) {
            let here = present.get(&wanted.zone).copied().unwrap_or_default();
            if let Some(order) = self.next_order(&service.name, &wanted, here) {
                log::info!(
                    event = "order.sent", service:% = order.service, zone:% = order.zone,
                    count = order.count, reclaimable = order.reclaimable, fence = holder.fence.0,
                    needed:? = needed, used:? = used, present:? = here;
                    "controller: orders upstreams"
                );
                self.order(holder, &order).await;
            }
        }
    }

    /// Returns the upstreams of a service that are not leaving, by zone.
    fn present(&self, service: &ServiceName) -> HashMap<ZoneName, Present> {
        let followers = self.core.followers();
        let mut zones: HashMap<ZoneName, Present> = HashMap::new();
        let rows = followers.list().rows().iter();
        for row in
            rows.filter(|row| row.service == service.as_str() && !row.leaving && !row.said_leaving)
        {
            let here = zones.entry(row.zone.as_str().into()).or_default();
            match row.reclaimable {
                true => here.reclaimable += 1,
                false => here.on_demand += 1,
            }
        }
        zones
    }

    fn load(&self, service: &ServiceName) -> ServiceLoad {
        let followers = self.core.followers();
        let loads = followers.loads(self.core.now());
        loads.get(service.as_str()).cloned().unwrap_or_default()
    }

    /// Returns the next order that brings a zone nearer to what is wanted there.
    fn next_order(
        &mut self,
        service: &ServiceName,
        wanted: &Wanted,
        here: Present,
    ) -> Option<UpstreamOrder> {
        let now = self.core.now();
        let zones = &mut self.services.get_mut(service)?.zones;
        let ordered = zones.entry(wanted.zone.clone()).or_default();
        if now < ordered.paused_until {
            return None;
        }
        let is_dry = now < ordered.dry_until;
        let next = scale::next_order(wanted, ordered.orders, here, is_dry)?;
        Some(UpstreamOrder {
            service: service.clone(),
            zone: wanted.zone.clone(),
            count: next.count,
            reclaimable: next.reclaimable,
        })
    }

    async fn order(&mut self, holder: &DutyHolder, order: &UpstreamOrder) {
        let sent = timeout(ORDER_TIMEOUT, self.platform.order_upstreams(holder, order)).await;
        let now = self.core.now();
        let zones = self.services.get_mut(&order.service).map(|s| &mut s.zones);
        let Some(ordered) = zones.and_then(|zones| zones.get_mut(&order.zone)) else {
            return;
        };
        let failure = match sent {
            Ok(Ok(())) => {
                self.counters.done.add();
                match order.reclaimable {
                    true => ordered.orders.reclaimable = Some(order.count),
                    false => ordered.orders.on_demand = Some(order.count),
                }
                return;
            }
            Ok(Err(e)) => e,
            Err(_) => CloudError::Unanswered("no answer in time".into()),
        };
        self.counters.failed.add();
        ordered.paused_until = now + ORDER_PAUSE;
        if order.reclaimable && matches!(failure, CloudError::Refused(_)) {
            ordered.dry_until = now + DRY_FOR;
        }
        log::warn!(
            event = "order.not_taken", service:% = order.service, zone:% = order.zone,
            count = order.count, reclaimable = order.reclaimable;
            "controller: an order of upstreams is not taken: {failure}"
        );
    }
}

impl Scaled {
    fn markets(&self, scaling: &ScalingFacts, now: Duration) -> Vec<ZoneMarket> {
        let is_dry = |zone: &ZoneName| {
            let ordered = self.zones.get(zone);
            ordered.is_some_and(|ordered| now < ordered.dry_until)
        };
        let market = |(zone, price): &(ZoneName, f64)| ZoneMarket {
            zone: zone.clone(),
            price: *price,
            reclaimable_price: scaling.reclaimable_part.map(|part| price * part),
            is_dry: is_dry(zone),
            min: scaling.min,
            max: scaling.max,
        };
        scaling.zone_prices.iter().map(market).collect()
    }
}
