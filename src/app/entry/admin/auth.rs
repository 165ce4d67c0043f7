//! Authentication of teams by bearer tokens.

use std::collections::BTreeMap;

use http::{Request, header};
use subtle::ConstantTimeEq;

use crate::{
    domain::TeamName,
    policy::admin::{AdminError, Code},
};

/// Returns the team whose token the request carries.
///
/// Every token is compared over its whole length and the loop does not stop at a
/// match, so the timing reveals neither how much of a token was right nor whose
/// it is. It does reveal the lengths of the tokens, which are not secret.
pub(super) fn authenticate<B>(
    teams: &BTreeMap<TeamName, String>,
    req: &Request<B>,
) -> Result<TeamName, AdminError> {
    let bad = |detail: &str| AdminError::new(Code::BadToken, detail);
    let value = req.headers().get(header::AUTHORIZATION);
    let value = value.ok_or_else(|| bad("the Authorization header is missing"))?;
    let token = value
        .as_bytes()
        .strip_prefix(b"Bearer ")
        .ok_or_else(|| bad("the Authorization header is not \"Bearer TOKEN\""))?;
    let mut found = None;
    for (team, expected) in teams {
        if bool::from(expected.as_bytes().ct_eq(token)) {
            found = Some(team.clone());
        }
    }
    found.ok_or_else(|| bad("the token belongs to no team"))
}
