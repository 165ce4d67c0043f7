//! Notices of targets: that they are leaving, or that they want a pause.
//!
//! A target attaches a notice to a response, which reaches this entry earlier
//! than any change of the registration, and also while the store is
//! unavailable. A notice concerns the instance that responded, identified by
//! its id and its start, and not its address, which a later instance may get.
//!
//! # Trade-offs
//!
//! * A notice is never revoked by the registry: a registration that was written
//!   before the notice may arrive after it. A leaving instance therefore gets
//!   no requests again, and a pause lasts until its end.
//! * The notices of unregistered instances are kept for [`RETENTION`], so that
//!   a late registration does not bring an instance back. Their number is
//!   bounded by [`DEPARTED_MAX`] for each service.
//! * Withheld targets still count as capacity of their region. They are alive,
//!   and often all targets of a service want a pause at once; if they counted
//!   as lost, the requests of a whole region would change region at once.

use std::collections::VecDeque;

use crate::domain::{InstanceId, Millis};

/// How long the notice of an instance is kept after its registration is gone.
/// Registrations of other entries arrive up to 30 s late.
const RETENTION: Millis = Millis(60_000);

/// The maximum number of unregistered instances of a service whose notices are
/// kept.
const DEPARTED_MAX: usize = 256;

/// The time from the end of a pause until the target is no longer limited in
/// its concurrent requests.
const RAMP: Millis = Millis(2_000);

/// What a target says about itself with a response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetNotice {
    /// Whether the target is leaving.
    pub leaving: bool,
    /// The pause that it requests.
    pub pause: PauseRequest,
}

/// A request of a target to get no requests for some time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum PauseRequest {
    /// It requests no pause.
    #[default]
    None,
    /// It requests a pause from now on.
    For(Millis),
    /// It requests a pause, but its duration cannot be read. The beginning of
    /// the text is kept for the log.
    Unreadable(String),
}

/// What a notice changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NoticeEffect {
    /// Whether the target counts as leaving since this notice.
    pub leaving: bool,
    /// What became of the requested pause.
    pub pause: Option<PauseEffect>,
}

/// What became of a requested pause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PauseEffect {
    /// A pause has begun.
    Begun {
        /// Its end.
        until: Millis,
    },
    /// The current pause was extended.
    Extended {
        /// Its new end.
        until: Millis,
    },
    /// The first notice of the target with an unreadable duration. It starts no
    /// pause.
    Unreadable,
}

/// All ready targets of a route are paused or leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Withheld {
    /// The time until the first pause ends, none if all targets are leaving.
    pub resume_in: Option<Millis>,
}

impl Withheld {
    /// Returns when the caller of a refused request may retry, none if there is
    /// no pause to wait for. The hash of the request spreads the callers over
    /// the time in which the targets can take more and more requests.
    #[must_use]
    pub fn retry_after(&self, request_hash: u64) -> Option<Millis> {
        let resume_in = self.resume_in?;
        Some(resume_in + Millis(request_hash % RAMP.0))
    }
}

/// The numbers of choices in which a notice withheld a target from a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WithheldCounts {
    /// The number of choices in which an eligible target was leaving.
    pub leaving: u64,
    /// The number of choices in which an eligible target was paused.
    pub paused: u64,
}

/// The notices of one instance.
#[derive(Clone, Debug, Default)]
pub(super) struct NoticeState {
    /// Whether the target is leaving.
    pub leaving: bool,
    /// The end of the latest pause, the last instant without requests.
    pub paused_until: Option<Millis>,
    /// Whether a notice with an unreadable duration was reported.
    unreadable: bool,
}

impl NoticeState {
    /// Applies a notice. A pause can only be extended, because an earlier
    /// request of the target for a longer one still holds.
    pub fn apply(&mut self, now: Millis, notice: &TargetNotice) -> NoticeEffect {
        let leaving = notice.leaving && !self.leaving;
        self.leaving |= notice.leaving;
        let pause = match notice.pause {
            PauseRequest::None => None,
            PauseRequest::For(duration) => self.extend_pause(now, now + duration),
            PauseRequest::Unreadable(_) if self.unreadable => None,
            PauseRequest::Unreadable(_) => {
                self.unreadable = true;
                Some(PauseEffect::Unreadable)
            }
        };
        NoticeEffect { leaving, pause }
    }

    fn extend_pause(&mut self, now: Millis, until: Millis) -> Option<PauseEffect> {
        if until <= now || self.paused_until.is_some_and(|end| until <= end) {
            return None;
        }
        let paused = self.is_paused(now);
        self.paused_until = Some(until);
        Some(if paused {
            PauseEffect::Extended { until }
        } else {
            PauseEffect::Begun { until }
        })
    }

    /// Returns whether the target is paused.
    pub fn is_paused(&self, now: Millis) -> bool {
        self.paused_until.is_some_and(|end| now <= end)
    }

    /// Returns whether the target gets no requests because of its notices.
    pub fn is_withheld(&self, now: Millis) -> bool {
        self.leaving || self.is_paused(now)
    }

    /// Returns whether the target may get one more request of this entry, which
    /// has `own` requests there. After a pause, the number of concurrent
    /// requests rises linearly from 1 to the number of slots, because all
    /// entries and callers return at about the same time.
    pub fn allows(&self, now: Millis, own: u32, slots: f64) -> bool {
        if self.is_withheld(now) {
            return false;
        }
        let Some(end) = self.paused_until.filter(|end| now < *end + RAMP) else {
            return true;
        };
        #[expect(clippy::cast_precision_loss)]
        let progress = (now - end).0 as f64 / RAMP.0 as f64;
        f64::from(own) <= (slots - 1.0).max(0.0) * progress
    }

    /// Returns whether the state still has an effect.
    fn is_active(&self, now: Millis) -> bool {
        self.leaving || self.paused_until.is_some_and(|end| now < end + RAMP)
    }
}

/// The notices of instances that are no longer registered, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct DepartedNotices {
    departed: VecDeque<Departed>,
}

/// The notices of an instance that is no longer registered.
#[derive(Clone, Debug)]
struct Departed {
    id: InstanceId,
    started_at: Option<Millis>,
    notices: NoticeState,
    expires: Millis,
}

impl DepartedNotices {
    /// Applies a notice of an instance whose registration is gone. It has no
    /// effect if notices of a later instance with the same id are kept.
    pub fn record(
        &mut self,
        now: Millis,
        id: &InstanceId,
        started_at: Option<Millis>,
        notice: &TargetNotice,
    ) -> NoticeEffect {
        let known = self.departed.iter().find(|d| d.id == *id);
        if known.is_some_and(|d| d.started_at > started_at) {
            return NoticeEffect::default();
        }
        let mut notices = self.take(now, id, started_at).unwrap_or_default();
        let effect = notices.apply(now, notice);
        self.insert(now, id, started_at, notices);
        effect
    }

    /// Keeps the notices of an instance whose registration is gone.
    pub fn insert(
        &mut self,
        now: Millis,
        id: &InstanceId,
        started_at: Option<Millis>,
        notices: NoticeState,
    ) {
        self.departed.retain(|d| now < d.expires);
        if !notices.is_active(now) {
            return;
        }
        self.departed.retain(|d| d.id != *id);
        if self.departed.len() == DEPARTED_MAX {
            self.departed.pop_front();
        }
        self.departed.push_back(Departed {
            id: id.clone(),
            started_at,
            expires: (now + RETENTION).max(notices.paused_until.unwrap_or_default()),
            notices,
        });
    }

    /// Removes and returns the notices that apply to an instance that has
    /// registered: those of the same instance, or of a later one of its id,
    /// after which the registration of an earlier one is outdated.
    pub fn take(
        &mut self,
        now: Millis,
        id: &InstanceId,
        started_at: Option<Millis>,
    ) -> Option<NoticeState> {
        let index = self.departed.iter().position(|d| d.id == *id)?;
        let departed = self.departed.remove(index)?;
        let applies = now < departed.expires && departed.started_at >= started_at;
        applies.then_some(departed.notices)
    }
}
