//! The decisions and the variants that are compared.

use clap::ValueEnum;
use flamingocroft::policy::allocate::Method;

/// A decision under comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Decision {
    Route,
    Home,
    Weights,
    Admit,
    Allocate,
    Retry,
    Place,
}

/// How an instance is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    RoundRobin,
    LeastReported,
    Cost,
}

/// What the home of a conversation is the hash of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Home {
    /// This many blocks at the start of the prompt.
    Blocks(usize),
    /// The opening of the conversation: all up to its first message by the caller.
    Opening,
}

/// How requests are admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitting {
    AcceptAll,
    DeadlineAndShare,
    /// As before, and free work in progress is cancelled for paying work.
    Preempting,
}

/// How failures are repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retrying {
    AlwaysAtOnce,
    Budget,
}

/// Where instances run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placing {
    /// As many as the site has today, evenly over its zones.
    Today,
    OnDemandOnly,
    CheapestOnly,
    Planned,
}

/// One variant of every decision.
#[derive(Clone, Copy, Debug)]
pub struct Policies {
    pub routing: Routing,
    pub home: Home,
    pub admitting: Admitting,
    pub method: Method,
    pub retrying: Retrying,
    pub placing: Placing,
    /// In place of the site's cost of a queued request, in milliseconds.
    pub queued_ms: Option<f64>,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            routing: Routing::Cost,
            home: Home::Opening,
            admitting: Admitting::Preempting,
            method: Method::default(),
            retrying: Retrying::Budget,
            placing: Placing::Today,
            queued_ms: None,
        }
    }
}

impl Decision {
    /// All decisions.
    pub const ALL: [Self; 7] = [
        Self::Route,
        Self::Home,
        Self::Weights,
        Self::Admit,
        Self::Allocate,
        Self::Retry,
        Self::Place,
    ];

    /// Returns its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Home => "home",
            Self::Weights => "weights",
            Self::Admit => "admit",
            Self::Allocate => "allocate",
            Self::Retry => "retry",
            Self::Place => "place",
        }
    }

    /// Returns the variants, the naive one first.
    pub fn variants(self) -> Vec<(&'static str, Policies)> {
        let default = Policies::default();
        let route = |routing| Policies { routing, ..default };
        let home = |blocks| Policies {
            home: Home::Blocks(blocks),
            ..default
        };
        let weigh = |ms| Policies {
            queued_ms: Some(ms),
            ..default
        };
        let admit = |admitting| Policies {
            admitting,
            ..default
        };
        let allocate = |method| Policies { method, ..default };
        let retry = |retrying| Policies {
            retrying,
            ..default
        };
        let place = |placing| Policies { placing, ..default };
        match self {
            Self::Route => vec![
                ("round robin", route(Routing::RoundRobin)),
                ("least reported", route(Routing::LeastReported)),
                ("cost", route(Routing::Cost)),
            ],
            Self::Home => vec![
                ("1 block", home(1)),
                ("4 blocks", home(4)),
                ("12 blocks", home(12)),
                (
                    "opening",
                    Policies {
                        home: Home::Opening,
                        ..default
                    },
                ),
            ],
            Self::Weights => vec![
                ("300 ms queued", weigh(300.0)),
                ("100 ms queued", weigh(100.0)),
                ("200 ms queued", weigh(200.0)),
                ("400 ms queued", weigh(400.0)),
            ],
            Self::Admit => vec![
                ("accept all", admit(Admitting::AcceptAll)),
                ("deadline and share", admit(Admitting::DeadlineAndShare)),
                ("with preemption", admit(Admitting::Preempting)),
            ],
            Self::Allocate => vec![
                ("equal", allocate(Method::Equal)),
                ("by demand", allocate(Method::ByDemand)),
                ("headroom", allocate(Method::Headroom)),
            ],
            Self::Retry => vec![
                ("always at once", retry(Retrying::AlwaysAtOnce)),
                ("budget", retry(Retrying::Budget)),
            ],
            Self::Place => vec![
                ("cheapest only", place(Placing::CheapestOnly)),
                ("on-demand only", place(Placing::OnDemandOnly)),
                ("planned", place(Placing::Planned)),
            ],
        }
    }
}
