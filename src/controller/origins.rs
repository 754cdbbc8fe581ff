//! Records of which software version began a stream, for gateways that did not begin it.

use super::core::Core;
use crate::{
    policy::origins::StreamId,
    ports::Clock,
    wire::{Body, OriginAck, OriginQuery, OriginRecord, OriginReply, OriginReport},
};

/// Records the origins that a gateway reports.
pub(super) fn record_report<T: Clock>(core: &Core<T>, report: &OriginReport) -> Body {
    let now = core.now();
    let mut origins = core.origins();
    for record in &report.records {
        let origin = record.origin();
        for stream in &record.streams {
            origins.record(StreamId(*stream), origin.clone(), now);
        }
    }
    Body::OriginAck(OriginAck {})
}

/// Answers what is known of the origin of a stream.
pub(super) fn answer_query<T: Clock>(core: &Core<T>, query: &OriginQuery) -> Body {
    let now = core.now();
    let recorded = query.stream.and_then(|stream| {
        let mut origins = core.origins();
        origins.find(StreamId(stream), now).map(OriginRecord::from)
    });
    let only_software = core.log.led_term(now).and_then(|term| {
        let followers = core.followers();
        let list = followers.upstream_list();
        let only = list.only_software(term, &query.service, now);
        only.map(str::to_owned)
    });
    Body::OriginReply(OriginReply {
        recorded,
        only_software,
    })
}
