//! Accepts requests in order of arrival up to the whole capacity, and refuses none.

use flamingocroft::policy::admit::{Admission, AdmitRequest};

/// Decides about one request.
pub fn decide(req: &AdmitRequest) -> Admission {
    if req.service_in_progress < req.service_capacity {
        Admission::Accept
    } else {
        Admission::Wait
    }
}
