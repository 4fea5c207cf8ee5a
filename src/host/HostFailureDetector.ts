import type { HostStatus } from './HostState.js';

/** The host list lags, so a host counts as failed only after it was missing for this time. */
const ABSENCE_TIMEOUT_MS = 10_000;
/**
 * The absence of a host in maintenance is expected, so the first list without the host, 2 s after
 * the previous list, is sufficient.
 */
const MAINTENANCE_ABSENCE_TIMEOUT_MS = 1_000;
/**
 * A host that returns from maintenance did not fail; it must only be in a few consecutive lists.
 */
const MAINTENANCE_RECOVERY_MS = 5_000;
/** A failed host must be healthy without interruption for this time, doubled for each flap. */
const RECOVERY_MS = 30_000;
/**
 * 30 s doubled six times: a host that keeps flapping writes one pair of records in half an hour.
 */
const MAX_RECOVERY_MS = 1_920_000;
/**
 * A host that had failed before its maintenance, and whose reboot was therefore not observed,
 * counts as recovered after this time.
 */
const UNOBSERVED_REBOOT_RECOVERY_MS = 600_000;
/** The flap count decreases by one after this time without a status change. */
const FLAP_DECAY_MS = 3_600_000;
/** Validity of a report; gateways repeat it while the host keeps failing. */
const REPORT_TTL_MS = 15_000;
/** Reports from a single gateway are trusted once it has repeated them for this time. */
const SINGLE_REPORTER_CONFIRMATION_MS = 10_000;

/** A host of the inventory as recorded in the fleet state. */
export interface KnownHost {
  host: string;
  status: HostStatus;
  /** Whether its maintenance has started, so that its absence is expected. */
  isInMaintenance: boolean;
  /** Whether it was observed to be absent since its maintenance started. */
  isAway: boolean;
  /** Whether gateways reported that its jobs fail. */
  isFaulty: boolean;
}

/** An entry in the host list of the platform. */
export interface ListedHost {
  host: string;
  state: 'live' | 'leaving';
}

/** Status changes to record in the log. */
export interface HostObservations {
  observations: { host: string; status: HostStatus; source?: 'gateways' }[];
}

/** Maximum time that counts between two lists, which are compared at least every 5 s. */
const MAX_LIST_GAP_MS = 6_000;

/** Detector state for one host. All times are in observed time, in milliseconds. */
interface TrackedHost {
  lastListedAt: number;
  /**
   * Start of the current uninterrupted period in which the host is listed as live and not reported.
   */
  stableSince: number | undefined;
  flaps: number;
  /** Time of the last status change or, later, of the last decrease of `flaps`. */
  changedAt: number;
  status: HostStatus;
  /** Status in the fleet state at the last comparison. */
  recordedStatus: HostStatus;
  isInMaintenance: boolean;
  isFaulty: boolean;
  /** Whether the host was missing from a list since its maintenance started. */
  wasAbsent: boolean;
  /** Time of the last gateway report that the host is healthy. */
  lastHealthyReportAt: number;
  /** Times of the first and the last failure report by gateway. */
  reports: Map<string, { first: number; last: number }>;
}

function computeRecoveryMs({ isInMaintenance, wasAbsent, flaps }: TrackedHost): number {
  if (isInMaintenance) return wasAbsent ? MAINTENANCE_RECOVERY_MS : UNOBSERVED_REBOOT_RECOVERY_MS;
  return Math.min(MAX_RECOVERY_MS, RECOVERY_MS * 2 ** Math.min(Math.max(0, flaps - 1), 10));
}

function chooseStatus(
  tracked: TrackedHost,
  observed: { state: 'live' | 'leaving' | undefined; isReported: boolean; now: number },
): HostStatus {
  const absentMs = tracked.isInMaintenance ? MAINTENANCE_ABSENCE_TIMEOUT_MS : ABSENCE_TIMEOUT_MS;
  if (observed.isReported || observed.now - tracked.lastListedAt >= absentMs) return 'failed';
  // A failed host that is now listed as leaving stays failed, so that it gets no work in between.
  if (observed.state === 'leaving') return tracked.status === 'failed' ? 'failed' : 'leaving';
  if (tracked.status === 'live' || tracked.stableSince === undefined) return tracked.status;
  const isHealthy = observed.now - tracked.lastHealthyReportAt <= REPORT_TTL_MS;
  if (tracked.isFaulty && !tracked.isInMaintenance && !isHealthy) return 'failed';
  return observed.now - tracked.stableSince >= computeRecoveryMs(tracked) ? 'live' : tracked.status;
}

function isReported({ reports }: TrackedHost, now: number): boolean {
  reports.forEach(({ last }, reporter) => {
    if (now - last > REPORT_TTL_MS) reports.delete(reporter);
  });
  if (reports.size > 1) return true;
  return [...reports.values()].some(({ first }) => now - first >= SINGLE_REPORTER_CONFIRMATION_MS);
}

function computeStatus(
  tracked: TrackedHost,
  observed: { state: 'live' | 'leaving' | undefined; isReported: boolean; now: number },
): HostStatus {
  /* eslint-disable no-param-reassign -- the tracked host is this object's own state. */
  const { state, now } = observed;
  if (state !== undefined) tracked.lastListedAt = now;
  else if (tracked.isInMaintenance) tracked.wasAbsent = true;
  const isWell = state === 'live' && !observed.isReported;
  tracked.stableSince = isWell ? (tracked.stableSince ?? now) : undefined;
  const status = chooseStatus(tracked, observed);
  if (status === tracked.status) {
    if (tracked.flaps > 0 && now - tracked.changedAt > FLAP_DECAY_MS) {
      tracked.flaps -= 1;
      tracked.changedAt = now;
    }
    return status;
  }
  if (tracked.status === 'live' && !tracked.isInMaintenance) tracked.flaps += 1;
  tracked.status = status;
  tracked.changedAt = now;
  return status;
  /* eslint-enable no-param-reassign */
}

/**
 * Detects status changes of hosts from the lagging host list of the platform and gateway reports.
 *
 * A host becomes leaving immediately, failed after it was missing for 10 s or reported by gateways,
 * and live again after it was healthy for 30 s, doubled for each flap. The absence of a host in
 * maintenance is expected: the host becomes failed after 1 s and live again after 5 s, which does
 * not count as a flap. An empty list is ignored, because it means that the platform lost its list
 * and not that every host failed. Times are monotonic, in milliseconds.
 *
 * @example
 * ```ts
 * const { observations } = detector.apply(known, { list, now: 12_000 });
 * ```
 */
export class HostFailureDetector {
  readonly #trackedHosts = new Map<string, TrackedHost>();

  #appliedAt: number | undefined;

  /** Time covered by received lists, in milliseconds. All timeouts are measured in it. */
  #observedMs = 0;

  /** Whether any failure report of a gateway is still in effect. */
  get hasReports(): boolean {
    return [...this.#trackedHosts.values()].some(({ reports }) => reports.size > 0);
  }

  /** Stores the report of a gateway that a host fails its jobs, or that it is healthy. */
  report(report: { host: string; reporter: string; isHealthy?: boolean }): void {
    const now = this.#observedMs;
    const tracked = this.#trackedHosts.get(report.host);
    if (tracked === undefined) return;
    const { reports } = tracked;
    if (report.isHealthy) {
      reports.delete(report.reporter);
      tracked.lastHealthyReportAt = now;
      return;
    }
    const previous = reports.get(report.reporter);
    const isFresh = previous !== undefined && now - previous.last <= REPORT_TTL_MS;
    reports.set(report.reporter, { first: isFresh ? previous.first : now, last: now });
  }

  /** Compares a list with the recorded status of each host and returns the differences. */
  apply(known: KnownHost[], { list, now }: { list: ListedHost[]; now: number }): HostObservations {
    if (list.length === 0) return { observations: [] };
    this.#prune(known);
    this.#increaseObservedTime(now);
    const observedMs = this.#observedMs;
    const listed = new Map(list.map((entry) => [entry.host, entry.state]));
    const observations = known.flatMap((knownHost) => {
      const tracked = this.#updateTracked(knownHost, observedMs);
      const state = listed.get(knownHost.host);
      const isFailing = isReported(tracked, observedMs);
      const status = computeStatus(tracked, { state, isReported: isFailing, now: observedMs });
      const { host } = knownHost;
      if (isFailing && !knownHost.isFaulty) return [{ host, status, source: 'gateways' as const }];
      if (status === knownHost.status) return [];
      const isRecovered = knownHost.isFaulty && !knownHost.isInMaintenance;
      return [{ host, status, ...(isRecovered && { source: 'gateways' as const }) }];
    });
    return { observations };
  }

  /** Limits the gap, so that one late list after a freeze or an outage causes no mass failure. */
  #increaseObservedTime(now: number): void {
    const gap = now - (this.#appliedAt ?? now);
    this.#appliedAt = now;
    this.#observedMs += Math.max(0, Math.min(gap, MAX_LIST_GAP_MS));
  }

  #updateTracked(knownHost: KnownHost, now: number): TrackedHost {
    const { host, status, isInMaintenance, isFaulty } = knownHost;
    const existing = this.#trackedHosts.get(host);
    if (existing) {
      // Health observed before a maintenance says nothing about the host after it.
      if (existing.isInMaintenance !== isInMaintenance) existing.stableSince = undefined;
      existing.isInMaintenance = isInMaintenance;
      existing.isFaulty = isFaulty;
      existing.wasAbsent = isInMaintenance && (existing.wasAbsent || knownHost.isAway);
      // Another controller recorded a different status. Adopting it prevents two controllers that
      // receive different reports from overriding each other in turn.
      if (existing.recordedStatus !== status && existing.status !== status) {
        if (existing.status === 'live' && !isInMaintenance) existing.flaps += 1;
        existing.stableSince = undefined;
        existing.status = status;
        existing.changedAt = now;
      }
      existing.recordedStatus = status;
      return existing;
    }
    const tracked: TrackedHost = {
      lastListedAt: now,
      stableSince: undefined,
      flaps: 0,
      changedAt: now,
      status,
      recordedStatus: status,
      isInMaintenance,
      isFaulty,
      wasAbsent: knownHost.isAway,
      lastHealthyReportAt: Number.NEGATIVE_INFINITY,
      reports: new Map(),
    };
    this.#trackedHosts.set(host, tracked);
    return tracked;
  }

  #prune(known: KnownHost[]): void {
    if (this.#trackedHosts.size <= known.length) return;
    const names = new Set(known.map((knownHost) => knownHost.host));
    [...this.#trackedHosts.keys()].forEach((name) => {
      if (!names.has(name)) this.#trackedHosts.delete(name);
    });
  }
}
