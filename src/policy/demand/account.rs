//! What one entry knows of its region's demand.

use std::collections::BTreeMap;

use super::{Demand, DemandReport, RegionDemand, coverage_factor, sanitize};
use crate::domain::{EntryId, Millis, ServiceName};

/// How long a report or a sum counts. Entries poll every second or two, so that it
/// outlasts one failed poll and the choice of another source. The callers of an entry
/// that has stopped are counted twice for as long.
pub const REPORT_VALIDITY: Millis = Millis(5_000);

/// How long a sum is preferred to a later one over fewer entries. When a region has lost
/// its source, the first sums of the next one lack the entries that have not polled it
/// yet; all have within two polls.
const WIDER_TOTAL_RETENTION: Millis = Millis(2_500);

/// The largest number of reports that are kept, several times the entries of the
/// largest known region.
pub const REPORTS_MAX: usize = 4_096;

/// What one entry knows of its region's demand besides its own part: the reports of
/// the entries that poll it, and the sum at the entry that it polls itself.
#[derive(Clone, Debug, Default)]
pub struct DemandAccount {
    reports: BTreeMap<EntryId, (Millis, DemandReport)>,
    /// The latest sum of the entry's source, or one before it that covers more entries.
    received: Option<(Millis, RegionDemand)>,
    /// The sums of the reports by service, until the next report. They are needed for
    /// each request, and adding up the workspaces of all reports takes longer than the
    /// rest of a choice.
    sums: BTreeMap<ServiceName, ReportSum>,
}

/// The sum of the reports of one service.
#[derive(Clone, Copy, Debug)]
struct ReportSum {
    /// The time until which all of these reports are valid.
    until: Millis,
    entries: usize,
    demand: Option<Demand>,
}

impl DemandAccount {
    /// Records the report of another entry. Implausible values are dropped, and
    /// reports of more entries than [`REPORTS_MAX`] are ignored.
    pub fn record_report(&mut self, now: Millis, entry: EntryId, mut report: DemandReport) {
        if !self.reports.contains_key(&entry) {
            self.reports.retain(|_, (at, _)| is_valid(*at, now));
            if self.reports.len() >= REPORTS_MAX {
                return;
            }
        }
        sanitize(&mut report.services);
        self.reports.insert(entry, (now, report));
        self.sums.clear();
    }

    /// Records the sum that this entry's source has sent. Implausible values are
    /// dropped, and so is the whole sum if it covers an impossible number of entries, or
    /// fewer than a recent one.
    pub fn record_total(&mut self, now: Millis, mut total: RegionDemand) {
        if !(1..=REPORTS_MAX + 1).contains(&total.entries) {
            return;
        }
        let held = self.received.as_ref();
        if held.is_some_and(|(at, held)| {
            held.entries > total.entries && now - *at <= WIDER_TOTAL_RETENTION
        }) {
            return;
        }
        sanitize(&mut total.services);
        self.received = Some((now, total));
    }

    /// Returns the sum of the own demand and of the reports, which is what an entry
    /// answers to those that poll it.
    #[must_use]
    pub fn total(&self, now: Millis, own: &DemandReport) -> RegionDemand {
        let mut total = RegionDemand::default();
        total.add(own);
        self.valid_reports(now).for_each(|report| total.add(report));
        total
    }

    /// Returns the demand of the region as far as this entry knows it: the own sum, or
    /// that of its source if it covers more entries.
    #[must_use]
    pub fn region(&self, now: Millis, own: &DemandReport) -> RegionDemand {
        match self.wider_total(now) {
            Some(received) => received.clone(),
            None => self.total(now, own),
        }
    }

    /// Returns the demand of one service at all entries of the region, as
    /// [`region`](Self::region) and [`RegionDemand::of`] do, without adding up the
    /// other services: it is needed for each request. `own` is the own demand, if
    /// there was any request.
    #[must_use]
    pub fn service(
        &mut self,
        now: Millis,
        service: &ServiceName,
        own: Option<Demand>,
        region_entries: usize,
    ) -> Option<Demand> {
        if let Some(received) = self.wider_total(now) {
            return received.of(service, region_entries);
        }
        let reports = self.report_sum(now, service);
        let mut sum = reports.demand;
        if let Some(own) = own {
            *sum.get_or_insert_default() += own;
        }
        sum?.extrapolate(1 + reports.entries, region_entries)
    }

    /// Returns the requests per second of all services at all entries of the region.
    /// `own` is the rate of this entry.
    #[must_use]
    pub fn requests(&self, now: Millis, own: f64, region_entries: usize) -> f64 {
        if let Some(received) = self.wider_total(now) {
            let sum = total_requests(received.services.values());
            return sum * coverage_factor(received.entries, region_entries);
        }
        let reports = self.valid_reports(now);
        let (entries, sum) = reports.fold((1, own), |(entries, sum), report| {
            (entries + 1, sum + total_requests(report.services.values()))
        });
        sum * coverage_factor(entries, region_entries)
    }

    /// Returns the sum of the source if it covers more entries than the own one.
    fn wider_total(&self, now: Millis) -> Option<&RegionDemand> {
        let (at, received) = self.received.as_ref()?;
        let known_entries = 1 + self.valid_reports(now).count();
        let is_better = is_valid(*at, now) && received.entries > known_entries;
        is_better.then_some(received)
    }

    fn report_sum(&mut self, now: Millis, service: &ServiceName) -> ReportSum {
        let known = self.sums.get(service).filter(|sum| now <= sum.until);
        if let Some(sum) = known {
            return *sum;
        }
        let valid = self.reports.values().filter(|(at, _)| is_valid(*at, now));
        let oldest = valid.map(|(at, _)| *at).min().unwrap_or(now);
        let mut sum = ReportSum {
            until: oldest + REPORT_VALIDITY,
            entries: 0,
            demand: None,
        };
        for report in self.valid_reports(now) {
            sum.entries += 1;
            if let Some(demand) = report.services.get(service) {
                *sum.demand.get_or_insert_default() += *demand;
            }
        }
        self.sums.insert(service.clone(), sum);
        sum
    }

    fn valid_reports(&self, now: Millis) -> impl Iterator<Item = &DemandReport> {
        let reports = self.reports.values();
        reports
            .filter(move |(at, _)| is_valid(*at, now))
            .map(|(_, report)| report)
    }
}

fn total_requests<'a>(demands: impl Iterator<Item = &'a Demand>) -> f64 {
    demands.map(|d| d.requests).sum()
}

fn is_valid(at: Millis, now: Millis) -> bool {
    now - at <= REPORT_VALIDITY
}
