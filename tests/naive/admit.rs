//! Accept all, first come first served: only the whole capacity counts, nobody is refused.

use flamingocroft::policy::admit::{Admission, AdmitRequest};

/// Decides about one request.
pub fn decide(req: &AdmitRequest) -> Admission {
    if req.service_in_progress < req.service_capacity {
        Admission::Accept
    } else {
        Admission::Wait
    }
}
