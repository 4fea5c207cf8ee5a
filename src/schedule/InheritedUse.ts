import type { Capacity } from '../port/mod.js';
import { formatTaskId } from '../task/mod.js';
import { collectOccurrences, type TrackedJob } from '../workLog/mod.js';
import { addResources, computeTaskUse, NO_RESOURCES } from './_ResourceAmount.js';
import type { HostTable } from './HostTable.js';
import type { ManagedHost } from './ManagedHost.js';
import type { PreviousOwners } from './PreviousOwners.js';

/** A run that a previous owner recorded. */
interface RecordedRun {
  organisation: string;
  host: string;
  task: string;
  number: number;
  amount: Capacity;
}

/** Collaborators of an `InheritedUse`. */
export interface InheritedUseParts {
  /** Fencing token of this owner; records with it describe its own runs. */
  token: number;
  hosts: HostTable;
  previousOwners: PreviousOwners;
  /** Maximum lease of a host in ms. */
  maxLeaseMs: number;
}

/** Use that cannot be determined before the machines are known: nothing fits beside it. */
const UNKNOWN_USE: Capacity = {
  cpuMilli: Infinity,
  memoryMb: Infinity,
  accelerators: Infinity,
};

/**
 * Resources that each organisation may have in use by runs of previous owners which this owner does
 * not know from a report: recorded runs, until their host has responded or its leases have expired,
 * and the whole capacity of each host that has not responded, for each organisation that has jobs
 * whose tasks may have been started there without a record.
 */
export class InheritedUse {
  readonly #token: number;

  readonly #hosts: HostTable;

  readonly #previousOwners: PreviousOwners;

  readonly #maxLeaseMs: number;

  readonly #recorded = new Map<string, RecordedRun>();

  /** Organisations that may have unrecorded runs, by pool. */
  readonly #unrecorded = new Map<string, Set<string>>();

  /** Use as of the last update. */
  #use = new Map<string, Capacity>();

  constructor({ token, hosts, previousOwners, maxLeaseMs }: InheritedUseParts) {
    this.#token = token;
    this.#hosts = hosts;
    this.#previousOwners = previousOwners;
    this.#maxLeaseMs = maxLeaseMs;
  }

  /** Adds a job of the work log, finished or not; the runs of a finished job may still be stopping. */
  addJob(tracked: TrackedJob, nowWallMs: number): void {
    const { organisation, progress, pool } = tracked;
    if (organisation === undefined) return;
    const isFinal = progress !== undefined && progress.state !== 'active';
    const endedAtMs = progress?.endedAtMs ?? nowWallMs;
    if (isFinal && endedAtMs + this.#previousOwners.reservationMs < nowWallMs) return;
    if (progress !== undefined && progress.token < this.#token)
      this.#addRecorded(tracked, organisation);
    if (!this.#previousOwners.hasUnrecordedStarts(tracked)) return;
    const organisations = this.#unrecorded.get(pool) ?? new Set();
    this.#unrecorded.set(pool, organisations.add(organisation));
  }

  /** Determines which runs of previous owners may still exist. */
  update(now: number): void {
    if (this.#recorded.size === 0 && this.#unrecorded.size === 0 && this.#use.size === 0) return;
    if (this.#previousOwners.listUnrecorded(now).length === 0) this.#unrecorded.clear();
    this.#use = new Map();
    const unknownHosts = this.#unrecorded.size > 0 ? this.#addUnknownHosts(now) : new Set<string>();
    this.#recorded.forEach((run, key) => {
      const host = this.#hosts.get(run.host);
      const isUnwanted = host !== undefined && this.#hasUnwantedRuns(host, now);
      if (this.#previousOwners.isAccountedFor(run.host, now) && !isUnwanted) {
        this.#recorded.delete(key);
        return;
      }
      // The run has been adopted, or is part of the capacity of the host.
      if (host?.findRun(run.task, run.number) !== undefined) return;
      if (unknownHosts.has(`${run.host} ${run.organisation}`)) return;
      this.#add(run.organisation, run.amount);
    });
  }

  /** Lists the organisations with runs as of the last update. */
  list(): string[] {
    return [...this.#use.keys()];
  }

  /** Returns the resources of an organisation as of the last update; undefined if there are none. */
  get(organisation: string): Readonly<Capacity> | undefined {
    return this.#use.get(organisation);
  }

  #add(organisation: string, amount: Readonly<Capacity>): void {
    this.#use.set(organisation, addResources(this.#use.get(organisation) ?? NO_RESOURCES, amount));
  }

  /** Adds the hosts that may have unrecorded runs; returns pairs of host and organisation. */
  #addUnknownHosts(now: number): Set<string> {
    if (this.#hosts.machinesReadAt === -Infinity) {
      this.#unrecorded.forEach((organisations) =>
        organisations.forEach((organisation) => this.#use.set(organisation, UNKNOWN_USE)),
      );
    }
    const added = new Set<string>();
    [...this.#hosts.hosts].forEach((host) => {
      const organisations = this.#unrecorded.get(host.pool);
      if (organisations === undefined || !this.#canHaveUnknownRuns(host, now)) return;
      const capacity = this.#estimateCapacity(host);
      organisations.forEach((organisation) => {
        added.add(`${host.id} ${organisation}`);
        this.#add(organisation, capacity);
      });
    });
    return added;
  }

  /** Checks whether runs that no job needs, such as those of cancelled jobs, may be on a host. */
  #hasUnwantedRuns(host: ManagedHost, now: number): boolean {
    return host.hasUnwantedRuns && host.computeLeaseExpiry(this.#maxLeaseMs) >= now;
  }

  #canHaveUnknownRuns(host: ManagedHost, now: number): boolean {
    return this.#hasUnwantedRuns(host, now) || this.#previousOwners.hasUnknownRuns(host, now);
  }

  /** The capacity of a host that only the machine list names is not known; hosts of a pool are alike. */
  #estimateCapacity({ capacity, pool }: ManagedHost): Capacity {
    if (capacity.cpuMilli > 0) return capacity;
    return this.#hosts.listInPool(pool).reduce<Capacity>(
      (largest, { capacity: one }) => ({
        cpuMilli: Math.max(largest.cpuMilli, one.cpuMilli),
        memoryMb: Math.max(largest.memoryMb, one.memoryMb),
        accelerators: Math.max(largest.accelerators, one.accelerators),
      }),
      capacity,
    );
  }

  #addRecorded(tracked: TrackedJob, organisation: string): void {
    const { id, spec } = tracked;
    collectOccurrences(tracked).forEach(({ number: occurrence, steps }) => {
      steps.forEach(({ started }, step) => {
        const stepSpec = spec.steps[step];
        if (stepSpec === undefined) return;
        started.forEach(([index, number, host]) => {
          const task = formatTaskId({ job: id, occurrence, step, index });
          const amount = computeTaskUse(stepSpec);
          this.#recorded.set(`${task}#${number}`, { organisation, host, task, number, amount });
        });
      });
    });
  }
}
