//! Reading of request bodies, bounded in size and time.

use http::Request;
use http_body_util::BodyExt;
use tokio::time::timeout;
use volo_http::body::Body;

use crate::{
    domain::Millis,
    policy::admin::{AdminError, Code},
};

/// The largest accepted body, in bytes. It equals the largest value that the store
/// accepts.
const BODY_MAX: usize = 1 << 20;

/// How many bytes of a body that is too large are read before the connection is
/// closed. If it is closed while the client still sends, the client may lose the
/// response with the reason.
const DISCARD_MAX: usize = 4 << 20;

/// How long the transfer of a body may take. 1 MB takes less than 1 s on any link
/// between regions.
const BODY_TIMEOUT: Millis = Millis(10_000);

/// Reads a body as UTF-8 text.
pub(super) async fn read_text(req: Request<Body>) -> Result<String, AdminError> {
    let read = timeout(BODY_TIMEOUT.duration(), read_bytes(req.into_body()));
    let timed_out = |_| {
        let detail = format!("the body did not arrive within {BODY_TIMEOUT}");
        AdminError::new(Code::SlowBody, detail)
    };
    let bytes = read.await.map_err(timed_out)??;
    String::from_utf8(bytes)
        .map_err(|_| AdminError::new(Code::BadRequest, "the body is not UTF-8 text"))
}

async fn read_bytes(mut body: Body) -> Result<Vec<u8>, AdminError> {
    let mut kept = Vec::new();
    let mut len = 0;
    while let Some(frame) = body.frame().await {
        let read_failed = |e| AdminError::new(Code::BadRequest, format!("read the body: {e}"));
        let Ok(data) = frame.map_err(read_failed)?.into_data() else {
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
