//! The end of the process, as requests see it.
//!
//! A stop begins once and never ends before the process does. Its schedule
//! decides which work may begin, see [`StopSchedule`], and work that is under way
//! when it begins learns of it through a channel.

use super::State;
use crate::{domain::Millis, policy::drain::StopSchedule};

impl State {
    /// Returns the schedule of the stop, if the gateway is stopping.
    pub(super) fn stop_schedule(&self) -> Option<StopSchedule> {
        *self.stop.borrow()
    }

    /// Begins the stop and returns its schedule.
    pub(super) fn begin_stop(&self, now: Millis) -> StopSchedule {
        let schedule = StopSchedule::begin(now, self.settings().bounds.grace_period);
        self.stop.send_replace(Some(schedule));
        schedule
    }

    /// Returns whether work on a request with the given deadline may begin, which
    /// it may not if the gateway may stop before the work ends.
    pub(super) fn admits(&self, deadline: Millis) -> bool {
        self.stop_schedule().is_none_or(|s| s.admits(deadline))
    }

    /// Runs `future` until the deadline of a request, or until a stop that
    /// begins meanwhile requires the final answers. Returns none if it has not
    /// completed by then. A result that is there is returned also when the time is
    /// over, as after a pause of the process.
    pub(super) async fn run_until<T>(
        &self,
        deadline: Millis,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        let sleep_until = |at: Millis| {
            let left = at - (self.ports.clock.now)();
            tokio::time::sleep(left.duration())
        };
        let mut stop = self.stop.subscribe();
        let stopped = async {
            match stop.wait_for(Option::is_some).await.map(|s| *s) {
                Ok(Some(schedule)) => sleep_until(schedule.answer_by()).await,
                // The state holds the sender, so the channel stays open.
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            output = future => Some(output),
            () = sleep_until(deadline) => None,
            () = stopped => None,
        }
    }
}
