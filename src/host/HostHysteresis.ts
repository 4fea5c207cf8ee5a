import type { HostStatus } from './HostState.js';

/** The list lags; a host that is missing from it for less than this may only be late. */
const ABSENT_MS = 10_000;
/** A host in maintenance is expected to go; the first list without it, 2 s after the last, counts. */
const ABSENT_IN_MAINTENANCE_MS = 1_000;
/** A host that comes back from its maintenance has not failed; it must be in a few lists in a row. */
const RECOVER_IN_MAINTENANCE_MS = 5_000;
/** A failed host must look well for this long; doubled with each flap. */
const RECOVER_MS = 30_000;
/** 30 s doubled six times; a host that flaps without end costs one record pair in half an hour. */
const MAX_RECOVER_MS = 1_920_000;
/** A host that had failed before its maintenance and was not seen to reboot is back after this time. */
const UNSEEN_REBOOT_MS = 600_000;
/** After this long without a change, one flap is forgiven. */
const FORGIVE_MS = 3_600_000;
/** A report counts for this long; gateways repeat it while the host fails. */
const REPORT_MS = 15_000;
/** Reports of a single gateway count once they have lasted this long. */
const SINGLE_REPORTER_MS = 10_000;

/** A host of the inventory as the fold has it. */
export interface KnownHost {
  host: string;
  status: HostStatus;
  /** Whether its maintenance has started, so that it goes away on purpose. */
  isInMaintenance: boolean;
  /** Whether it was seen to go away since its maintenance started. */
  isAway: boolean;
  /** Whether gateways reported that it fails its work. */
  isFaulty: boolean;
}

/** A host in the platform's list. */
export interface ListedHost {
  host: string;
  state: 'live' | 'leaving';
}

/** What the fold should be told. */
export interface HostFindings {
  observations: { host: string; status: HostStatus; source?: 'gateways' }[];
}

/** Most time that counts between two lists, which are compared at least every 5 s. */
const MAX_GAP_MS = 6_000;

interface Watched {
  presentAt: number;
  /** Since when the host has looked well without a break. */
  wellSince: number | undefined;
  flaps: number;
  /** When the verdict last changed. */
  changedAt: number;
  status: HostStatus;
  /** Status in the fold when last seen. */
  folded: HostStatus;
  isInMaintenance: boolean;
  isFaulty: boolean;
  /** Whether it was missing since its maintenance started. */
  wasAway: boolean;
  /** When a gateway last reported that it works; monotonic like the other times. */
  healthyAt: number;
  /** First and last report by gateway. */
  reports: Map<string, { first: number; last: number }>;
}

function computeRecoverMs({ isInMaintenance, wasAway, flaps }: Watched): number {
  if (isInMaintenance) return wasAway ? RECOVER_IN_MAINTENANCE_MS : UNSEEN_REBOOT_MS;
  return Math.min(MAX_RECOVER_MS, RECOVER_MS * 2 ** Math.min(Math.max(0, flaps - 1), 10));
}

function chooseStatus(
  watched: Watched,
  seen: { state: 'live' | 'leaving' | undefined; isReported: boolean; now: number },
): HostStatus {
  const absentMs = watched.isInMaintenance ? ABSENT_IN_MAINTENANCE_MS : ABSENT_MS;
  if (seen.isReported || seen.now - watched.presentAt >= absentMs) return 'failed';
  // A host that left its list of failures only to leave is not taken back in between.
  if (seen.state === 'leaving') return watched.status === 'failed' ? 'failed' : 'leaving';
  if (watched.status === 'live' || watched.wellSince === undefined) return watched.status;
  const isHealthy = seen.now - watched.healthyAt <= REPORT_MS;
  if (watched.isFaulty && !watched.isInMaintenance && !isHealthy) return 'failed';
  return seen.now - watched.wellSince >= computeRecoverMs(watched) ? 'live' : watched.status;
}

function isReported({ reports }: Watched, now: number): boolean {
  reports.forEach(({ last }, reporter) => {
    if (now - last > REPORT_MS) reports.delete(reporter);
  });
  if (reports.size > 1) return true;
  return [...reports.values()].some(({ first }) => now - first >= SINGLE_REPORTER_MS);
}

function computeStatus(
  watched: Watched,
  seen: { state: 'live' | 'leaving' | undefined; isReported: boolean; now: number },
): HostStatus {
  /* eslint-disable no-param-reassign -- the watched host is this object's own state. */
  const { state, now } = seen;
  if (state !== undefined) watched.presentAt = now;
  else if (watched.isInMaintenance) watched.wasAway = true;
  const isWell = state === 'live' && !seen.isReported;
  watched.wellSince = isWell ? (watched.wellSince ?? now) : undefined;
  const status = chooseStatus(watched, seen);
  if (status === watched.status) {
    if (watched.flaps > 0 && now - watched.changedAt > FORGIVE_MS) {
      watched.flaps -= 1;
      watched.changedAt = now;
    }
    return status;
  }
  if (watched.status === 'live' && !watched.isInMaintenance) watched.flaps += 1;
  watched.status = status;
  watched.changedAt = now;
  return status;
  /* eslint-enable no-param-reassign */
}

/**
 * Turns the platform's lagging list and the gateways' reports into observations.
 *
 * A host counts as leaving at once, as failed after it was missing for 10 s or reported, and as live
 * again after it looked well for 30 s, doubled with each flap. Times are monotonic milliseconds. An
 * empty list is no news: the platform has lost its list, not every host. A host in maintenance goes
 * away on purpose: it is failed after 1 s and live again after 5 s, and that is no flap.
 *
 * @example
 * ```ts
 * const { observations } = hysteresis.apply(known, { list, now: 12_000 });
 * ```
 */
export class HostHysteresis {
  readonly #watched = new Map<string, Watched>();

  #appliedAt: number | undefined;

  /** Time during which lists came, in milliseconds; all waiting times count in it. */
  #elapsedMs = 0;

  /** Whether any report of a gateway still counts. */
  get hasReports(): boolean {
    return [...this.#watched.values()].some(({ reports }) => reports.size > 0);
  }

  /** Takes note that a gateway sees a host fail, or work again. */
  report(report: { host: string; reporter: string; isHealthy?: boolean }): void {
    const now = this.#elapsedMs;
    const watched = this.#watched.get(report.host);
    if (watched === undefined) return;
    const { reports } = watched;
    if (report.isHealthy) {
      reports.delete(report.reporter);
      watched.healthyAt = now;
      return;
    }
    const known = reports.get(report.reporter);
    const isFresh = known !== undefined && now - known.last <= REPORT_MS;
    reports.set(report.reporter, { first: isFresh ? known.first : now, last: now });
  }

  /** Compares a list with the fold and returns what differs. */
  apply(known: KnownHost[], { list, now }: { list: ListedHost[]; now: number }): HostFindings {
    if (list.length === 0) return { observations: [] };
    this.#prune(known);
    this.#increaseElapsed(now);
    const elapsed = this.#elapsedMs;
    const listed = new Map(list.map((one) => [one.host, one.state]));
    const observations = known.flatMap((one) => {
      const watched = this.#updateWatched(one, elapsed);
      const state = listed.get(one.host);
      const isFailing = isReported(watched, elapsed);
      const status = computeStatus(watched, { state, isReported: isFailing, now: elapsed });
      const { host } = one;
      if (isFailing && !one.isFaulty) return [{ host, status, source: 'gateways' as const }];
      if (status === one.status) return [];
      const isHealed = one.isFaulty && !one.isInMaintenance;
      return [{ host, status, ...(isHealed && { source: 'gateways' as const }) }];
    });
    return { observations };
  }

  /** A frozen process or a silent platform must not turn one late list into many failures. */
  #increaseElapsed(now: number): void {
    const gap = now - (this.#appliedAt ?? now);
    this.#appliedAt = now;
    this.#elapsedMs += Math.max(0, Math.min(gap, MAX_GAP_MS));
  }

  #updateWatched(one: KnownHost, now: number): Watched {
    const { host, status, isInMaintenance, isFaulty } = one;
    const known = this.#watched.get(host);
    if (known) {
      // What looked well before a maintenance says nothing about the time after it.
      if (known.isInMaintenance !== isInMaintenance) known.wellSince = undefined;
      known.isInMaintenance = isInMaintenance;
      known.isFaulty = isFaulty;
      known.wasAway = isInMaintenance && (known.wasAway || one.isAway);
      // Another controller decided otherwise. Taking its word keeps two that see different reports
      // from overruling each other in turn.
      if (known.folded !== status && known.status !== status) {
        if (known.status === 'live' && !isInMaintenance) known.flaps += 1;
        known.wellSince = undefined;
        known.status = status;
        known.changedAt = now;
      }
      known.folded = status;
      return known;
    }
    const watched: Watched = {
      presentAt: now,
      wellSince: undefined,
      flaps: 0,
      changedAt: now,
      status,
      folded: status,
      isInMaintenance,
      isFaulty,
      wasAway: one.isAway,
      healthyAt: Number.NEGATIVE_INFINITY,
      reports: new Map(),
    };
    this.#watched.set(host, watched);
    return watched;
  }

  #prune(known: KnownHost[]): void {
    if (this.#watched.size <= known.length) return;
    const names = new Set(known.map((one) => one.host));
    [...this.#watched.keys()].forEach((name) => {
      if (!names.has(name)) this.#watched.delete(name);
    });
  }
}
