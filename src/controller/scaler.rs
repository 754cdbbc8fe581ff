//! Autoscaler: orders upstreams from the platform while this controller leads, as `policy::scale` plans.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::{core::Core, duty::Duty, metrics::DutyCounters, periodic::run_periodically};
use crate::{
    domain::{EngineSpec, RouteTable, RoutedService, ScalingSpec, ServiceName, ZoneName},
    policy::scale::{
        self, AcceptedOrders, EngineCapacity, NeedTracker, PresentUpstreams, ServiceDemand,
        ZoneMarket, ZoneTarget,
    },
    ports::{Clock, CloudError, DutyHolder, Platform, UpstreamOrder},
    settings::Ingress,
    wire::ServiceLoad,
};

/// Interval between measurements of the services' load.
const SCALING_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the platform to accept an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for which a zone that refused reclaimable upstreams gets no further orders of them.
const REFUSED_ZONE_COOLDOWN: Duration = Duration::from_secs(6);
/// Relative change of an engine speed above which the new speed is stored and logged.
const SPEED_UPDATE_THRESHOLD: f64 = 0.2;
/// Delay after an order that was refused or not answered.
const ORDER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Measures load and orders upstreams until the token is cancelled.
pub(super) async fn run<T: Clock, P: Platform>(
    core: Arc<Core<T>>,
    platform: Arc<P>,
    ingress: Ingress,
    stop: CancellationToken,
) {
    let counters = DutyCounters::new(&core.metrics, "orders");
    let gauge_core = Arc::clone(&core);
    core.metrics.register_labelled_gauge(
        "controller_engine_tokens_per_second",
        "Prompt tokens that one engine reads in a second, as learnt from waits.",
        "service",
        move || {
            let followers = gauge_core.followers();
            let speeds = followers.engine_speeds().iter();
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
    run_periodically(SCALING_INTERVAL, &stop, scaler, |mut scaler| async move {
        scaler.run_round().await;
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
    services: HashMap<ServiceName, ServiceState>,
}

/// Measurements and orders of one service.
#[derive(Debug, Default)]
struct ServiceState {
    meter: NeedTracker,
    used: ServiceDemand,
    zones: HashMap<ZoneName, ZoneState>,
}

/// Orders of a service in one zone in this term.
#[derive(Debug, Default)]
struct ZoneState {
    orders: AcceptedOrders,
    retry_at: Duration,
    /// Until when reclaimable upstreams count as unavailable because the zone refused them.
    refused_until: Duration,
}

impl<T: Clock, P: Platform> Scaler<T, P> {
    /// Measures the load, and orders upstreams if this controller leads. The load is also measured while
    /// another controller leads, so that a new leader has recent measurements.
    async fn run_round(&mut self) {
        self.refresh_table();
        let services = self.table.services.clone();
        for service in &services {
            if let Some(engine) = service.engine {
                self.measure(service, engine);
            }
        }
        let Some((term, _)) = self.duty.current_holder(&self.core).await else {
            return;
        };
        if self.term != term {
            self.term = term;
            self.services
                .values_mut()
                .for_each(|state| state.zones.clear());
        }
        for service in &services {
            if let Some(scaling) = &service.scaling {
                let still_held = self.scale_service(service, scaling).await;
                if !still_held {
                    return;
                }
            }
        }
    }

    /// Returns the holder for one order if the duty is still held in the term of this round. The answer to the order
    /// before may have taken any time, also because this process was stopped.
    async fn holder_of_round(&mut self) -> Option<DutyHolder> {
        let (term, holder) = self.duty.current_holder(&self.core).await?;
        (term == self.term).then_some(holder)
    }

    fn measure(&mut self, service: &RoutedService, engine: EngineSpec) {
        let now = self.core.now();
        let load = self.service_load(&service.name);
        let used = ServiceDemand {
            in_flight: load.in_flight,
            prompt_tokens_per_second: load.uncached_tokens_per_second,
        };
        let speed = self.update_speed(&service.name, &load);
        let state = self.services.entry(service.name.clone()).or_default();
        state.used = used;
        // Without a measured speed nothing is planned, so the present upstreams stay.
        if let Some(prompt_tokens) = speed.filter(|_| used.in_flight > 0.0) {
            let size = EngineCapacity {
                slots: engine.slots,
                prefill_tokens_per_second: prompt_tokens,
            };
            state.meter.record(now, scale::engines_needed(used, size));
        }
    }

    /// Returns how many prompt tokens per second an engine of a service processes: the current measurement, or the
    /// last one if there is none now.
    fn update_speed(&self, service: &ServiceName, load: &ServiceLoad) -> Option<f64> {
        // Only the leader has the platform's list, but every gateway gets it and reports the number of upstreams.
        let engines = load.upstreams;
        let reading = load.prefill.unwrap_or_default();
        let measured = reading.tokens_per_second(load.uncached_tokens_per_second, engines);
        let mut followers = self.core.followers();
        let before = followers.engine_speeds().get(service).copied();
        let Some(speed) = measured else {
            return before;
        };
        if before.is_none_or(|before| (speed / before - 1.0).abs() > SPEED_UPDATE_THRESHOLD) {
            log::info!(
                event = "engine.speed", service:% = service, tokens_per_second = speed,
                before = before.unwrap_or_default(), requests = reading.count,
                rate = load.uncached_tokens_per_second, engines = engines;
                "controller: an engine of service {service} processes {speed:.0} prompt tokens per second"
            );
            followers.set_engine_speed(service, speed);
        }
        Some(speed)
    }

    fn refresh_table(&mut self) {
        let published = self.core.log.state().published().clone();
        if published.version <= self.table.version {
            return;
        }
        match self.platform.read_table(&published.document) {
            Ok(table) => self.table = table,
            Err(e) => log::error!(
                "controller: cannot read version {} of the route table in force: {e}.",
                published.version
            ),
        }
    }

    /// Orders upstreams of a service; returns false if the duty was lost meanwhile.
    async fn scale_service(&mut self, service: &RoutedService, scaling: &ScalingSpec) -> bool {
        let now = self.core.now();
        let present = self.present_by_zone(&service.name);
        let Some(state) = self.services.get_mut(&service.name) else {
            return true;
        };
        let total: u32 = present
            .values()
            .map(|in_zone| in_zone.reclaimable + in_zone.on_demand)
            .sum();
        let planned = state.meter.plan(now, total);
        let Some(needed) = planned.filter(|_| total > 0) else {
            return true;
        };
        let used = state.used;
        for wanted in scale::zone_targets(needed, &state.markets(scaling, now)) {
            let in_zone = present.get(&wanted.zone).copied().unwrap_or_default();
            if let Some(order) = self.next_order(&service.name, &wanted, in_zone) {
                let Some(holder) = self.holder_of_round().await else {
                    return false;
                };
                log::info!(
                    event = "order.sent", service:% = order.service, zone:% = order.zone,
                    count = order.count, reclaimable = order.reclaimable, fence = holder.fence.0,
                    needed:? = needed, used:? = used, present:? = in_zone;
                    "controller: ordering upstreams"
                );
                self.send_order(holder, &order).await;
            }
        }
        true
    }

    /// Counts the upstreams of a service that are not leaving, by zone. Those of a roll-out's target are not counted, since the
    /// platform starts and stops them on its own.
    fn present_by_zone(&self, service: &ServiceName) -> HashMap<ZoneName, PresentUpstreams> {
        let followers = self.core.followers();
        let state = self.core.log.state();
        let mut zones: HashMap<ZoneName, PresentUpstreams> = HashMap::new();
        let rows = followers.upstream_list().rows().iter();
        for row in rows.filter(|row| {
            row.service == service.as_str()
                && !row.leaving
                && !row.reported_leaving
                && state.rollouts().is_in_service(&row.service, &row.software)
        }) {
            let in_zone = zones.entry(row.zone.as_str().into()).or_default();
            match row.reclaimable {
                true => in_zone.reclaimable += 1,
                false => in_zone.on_demand += 1,
            }
        }
        zones
    }

    fn service_load(&self, service: &ServiceName) -> ServiceLoad {
        let followers = self.core.followers();
        let loads = followers.loads(self.core.now());
        loads.get(service.as_str()).cloned().unwrap_or_default()
    }

    /// Returns the next order that brings a zone closer to the wanted number of upstreams.
    fn next_order(
        &mut self,
        service: &ServiceName,
        wanted: &ZoneTarget,
        in_zone: PresentUpstreams,
    ) -> Option<UpstreamOrder> {
        let now = self.core.now();
        let zones = &mut self.services.get_mut(service)?.zones;
        let zone_state = zones.entry(wanted.zone.clone()).or_default();
        if now < zone_state.retry_at {
            return None;
        }
        let is_dry = now < zone_state.refused_until;
        let next = scale::next_order(wanted, zone_state.orders, in_zone, is_dry)?;
        Some(UpstreamOrder {
            service: service.clone(),
            zone: wanted.zone.clone(),
            count: next.count,
            reclaimable: next.reclaimable,
        })
    }

    async fn send_order(&mut self, holder: DutyHolder, order: &UpstreamOrder) {
        let sent = timeout(ORDER_TIMEOUT, self.platform.order_upstreams(holder, order)).await;
        let now = self.core.now();
        let zones = self.services.get_mut(&order.service).map(|s| &mut s.zones);
        let Some(zone_state) = zones.and_then(|zones| zones.get_mut(&order.zone)) else {
            return;
        };
        let failure = match sent {
            Ok(Ok(())) => {
                self.counters.done.increment();
                match order.reclaimable {
                    true => zone_state.orders.reclaimable = Some(order.count),
                    false => zone_state.orders.on_demand = Some(order.count),
                }
                return;
            }
            Ok(Err(e)) => e,
            Err(_) => CloudError::Unanswered("the platform did not respond in time".into()),
        };
        self.counters.failed.increment();
        zone_state.retry_at = now + ORDER_RETRY_DELAY;
        if order.reclaimable && matches!(failure, CloudError::Refused(_)) {
            zone_state.refused_until = now + REFUSED_ZONE_COOLDOWN;
        }
        log::warn!(
            event = "order.not_taken", service:% = order.service, zone:% = order.zone,
            count = order.count, reclaimable = order.reclaimable;
            "controller: the platform did not accept an order of upstreams: {failure}"
        );
    }
}

impl ServiceState {
    fn markets(&self, scaling: &ScalingSpec, now: Duration) -> Vec<ZoneMarket> {
        let is_dry = |zone: &ZoneName| {
            let zone_state = self.zones.get(zone);
            zone_state.is_some_and(|zone_state| now < zone_state.refused_until)
        };
        let market = |(zone, price): &(ZoneName, f64)| ZoneMarket {
            zone: zone.clone(),
            price: *price,
            reclaimable_price: scaling.reclaimable_price_ratio.map(|part| price * part),
            is_sold_out: is_dry(zone),
            min: scaling.min,
            max: scaling.max,
        };
        scaling.zone_prices.iter().map(market).collect()
    }
}
