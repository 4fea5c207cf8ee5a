import type { Clock } from '../clock/mod.js';
import type { HostReport } from '../port/mod.js';
import type { FaultyHostDetector } from './FaultyHostDetector.js';
import type { HostMonitor } from './HostMonitor.js';
import type { HostTable } from './HostTable.js';
import { MAX_CLOCK_DRIFT } from './_HostLease.js';
import type { ManagedHost } from './ManagedHost.js';
import type { RunTracker } from './RunTracker.js';
import type { ShardOutput } from './ShardCommand.js';

/** Collaborators of a `HostIncarnations`. */
export interface HostIncarnationsParts {
  hosts: HostTable;
  runTracker: RunTracker;
  faultyHosts: FaultyHostDetector;
  hostMonitor: HostMonitor;
  output: ShardOutput;
  clock: Clock;
  /** Maximum lease that a host grants, in ms. */
  maxLeaseMs: number;
}

/**
 * Begins and ends the incarnations of hosts, and releases the runs that end with them or with their
 * leases.
 */
export class HostIncarnations {
  readonly #hosts: HostTable;

  readonly #runTracker: RunTracker;

  readonly #faultyHosts: FaultyHostDetector;

  readonly #hostMonitor: HostMonitor;

  readonly #output: ShardOutput;

  readonly #clock: Clock;

  readonly #maxLeaseMs: number;

  #isDetached = false;

  constructor(parts: HostIncarnationsParts) {
    this.#hosts = parts.hosts;
    this.#runTracker = parts.runTracker;
    this.#faultyHosts = parts.faultyHosts;
    this.#hostMonitor = parts.hostMonitor;
    this.#output = parts.output;
    this.#clock = parts.clock;
    this.#maxLeaseMs = parts.maxLeaseMs;
  }

  /** Sets whether a later owner may exist; see `Shard.setDetached`. */
  setDetached(isDetached: boolean): void {
    this.#isDetached = isDetached;
  }

  /** Handles the news that a host has started again under its identifier. */
  start(
    host: ManagedHost,
    { startedAtMs }: Pick<HostReport, 'startedAtMs'>,
    source: 'entry' | 'report',
  ): void {
    this.#output.record({
      decision: 'host-restarted',
      subject: host.id,
      inputs: { machine: host.machine, source, startedAtMs, runs: host.runs.size },
    });
    host.startIncarnation(
      startedAtMs,
      this.#clock.readMonotonic() + this.#maxLeaseMs * (1 + MAX_CLOCK_DRIFT),
    );
    this.#faultyHosts.remove(host);
    this.#hostMonitor.remove(host);
  }

  /** Ends an incarnation, unless a later owner may exist and may have recorded its end. */
  end(host: ManagedHost, proof: string, now: number): void {
    if (host.hasEnded || this.#isDetached) return;
    host.markEnded();
    this.#output.record({
      decision: 'host-ended',
      subject: host.id,
      inputs: { machine: host.machine, proof, runs: host.runs.size },
    });
    this.#runTracker.releaseAll(host, now);
    this.#faultyHosts.remove(host);
    this.#hostMonitor.remove(host);
    this.#hosts.remove(host);
  }

  /** Releases runs whose leases have expired, ends unlisted hosts, and repeats unanswered stops. */
  expireLeases(now: number): void {
    [...this.#hosts.hosts].forEach((host) => {
      const isSilent = host.silentCalls > 0 || !host.isListed;
      const hasExpired = !this.#isDetached && host.computeLeaseExpiry(this.#maxLeaseMs) < now;
      if (isSilent && host.runs.size > 0 && hasExpired) {
        // Only the runs have ended: the host itself may respond again.
        this.#output.record({
          decision: 'leases-expired',
          subject: host.id,
          inputs: { runs: host.runs.size },
        });
        this.#runTracker.releaseAll(host, now);
      }
      if (!host.isListed && host.runs.size === 0 && host.reservedUntil < now) {
        this.end(host, 'not-listed', now);
      } else this.#runTracker.retryStops(host, now);
    });
  }
}
