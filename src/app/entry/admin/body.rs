//! Request bodies, bounded in size and time.

use http::Request;
use http_body_util::BodyExt;
use tokio::time::timeout;
use volo_http::body::Body;

use crate::{
    domain::Millis,
    policy::admin::{AdminError, Code},
};

/// The largest body. It equals the largest value of the store.
const BODY_MAX: usize = 1 << 20;

/// How much of a body that is too large is read and dropped. A sender that
/// meets a closed connection while it still writes may lose the answer that
/// tells it why.
const DISCARD_MAX: usize = 4 << 20;

/// How long a body may take. 1 MB takes below 1 s on any link between regions.
const BODY_TIMEOUT: Millis = Millis(10_000);

/// Reads a body as text.
pub(super) async fn text(req: Request<Body>) -> Result<String, AdminError> {
    let read = timeout(BODY_TIMEOUT.duration(), read(req.into_body()));
    let slow = |_| {
        let detail = format!("the body did not arrive within {BODY_TIMEOUT}");
        AdminError::new(Code::SlowBody, detail)
    };
    let bytes = read.await.map_err(slow)??;
    String::from_utf8(bytes)
        .map_err(|_| AdminError::new(Code::BadRequest, "the body is not UTF-8 text"))
}

async fn read(mut body: Body) -> Result<Vec<u8>, AdminError> {
    let mut kept = Vec::new();
    let mut len = 0;
    while let Some(frame) = body.frame().await {
        let broken = |e| AdminError::new(Code::BadRequest, format!("read the body: {e}"));
        let Ok(data) = frame.map_err(broken)?.into_data() else {
            continue;
        };
        len += data.len();
        if len <= BODY_MAX {
            kept.extend_from_slice(&data);
        } else if len > DISCARD_MAX {
            break;
        }
    }
    if len > BODY_MAX {
        let detail = format!("the body has more than {BODY_MAX} B");
        return Err(AdminError::new(Code::TooLarge, detail));
    }
    Ok(kept)
}
