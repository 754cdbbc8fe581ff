//! Requests whose handling panics. Without this the panic would end the connection without a response.

use std::{
    any::Any,
    error::Error,
    panic::{AssertUnwindSafe, catch_unwind},
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures_util::FutureExt;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body, Frame, SizeHint},
    header::HeaderValue,
    service::Service,
};

/// A panic in the body of a response.
#[derive(Debug, thiserror::Error)]
#[error("the body of the response panicked: {0}")]
pub(super) struct BodyPanicked(String);

/// The body of a response, or none if the service panicked before its response.
pub(crate) struct CaughtBody<B> {
    body: Option<B>,
    request: Option<HeaderValue>,
}

/// Calls a service. If it panics before its response, the response has the status 502, since the request may have run,
/// and the headers that `mark` sets. A panic in the body of the response becomes an error of the body.
pub(crate) async fn call_catching_panics<S, R, B>(
    service: &S,
    req: Request<R>,
    request: Option<&HeaderValue>,
    mark: impl FnOnce(&mut HeaderMap),
) -> Result<Response<CaughtBody<B>>, S::Error>
where
    S: Service<Request<R>, Response = Response<B>>,
{
    // The service's state is behind locks and atomics, which a panic leaves usable.
    let response = match catch_unwind(AssertUnwindSafe(|| service.call(req))) {
        Ok(response) => AssertUnwindSafe(response).catch_unwind().await,
        Err(panic) => Err(panic),
    };
    match response {
        Ok(response) => Ok(response?.map(|body| CaughtBody {
            body: Some(body),
            request: request.cloned(),
        })),
        Err(panic) => {
            log_panic(request, &describe(&*panic));
            let mut res = Response::new(CaughtBody {
                body: None,
                request: None,
            });
            *res.status_mut() = StatusCode::BAD_GATEWAY;
            mark(res.headers_mut());
            Ok(res)
        }
    }
}

fn log_panic(request: Option<&HeaderValue>, reason: &str) {
    let request = request.and_then(|id| id.to_str().ok());
    log::error!(
        event = "request.panicked", request = request.unwrap_or_default();
        "http: the handling of a request panicked: {reason}"
    );
}

fn describe(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("the panic has no text").to_owned()
}

impl<B> Body for CaughtBody<B>
where
    B: Body + Unpin,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    type Data = B::Data;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, Self::Error>>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        match catch_unwind(AssertUnwindSafe(|| Pin::new(body).poll_frame(cx))) {
            Ok(frame) => Poll::Ready(ready!(frame).map(|frame| frame.map_err(Into::into))),
            Err(panic) => {
                let reason = describe(&*panic);
                log_panic(self.request.as_ref(), &reason);
                self.body = None;
                Poll::Ready(Some(Err(BodyPanicked(reason).into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let hint = self.body.as_ref().map(Body::size_hint);
        hint.unwrap_or_else(|| SizeHint::with_exact(0))
    }
}
