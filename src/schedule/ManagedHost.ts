import type { Capacity, HostEntry, HostReport } from '../port/mod.js';
import { HostLease } from './_HostLease.js';
import type { Run } from './Run.js';

/** Resources reserved for a task on a host. */
export type ResourceRequest = Capacity;

/** How a start time relates an entry or a report to the known incarnation of its host. */
export type IncarnationOrder = 'same' | 'former' | 'later';

/**
 * An upstream host, as known to the owner of the shard.
 *
 * A host that starts again usually gets a new identifier and is another `ManagedHost`. It may also
 * keep its identifier; then orders that were sent before the owner noticed it may have been executed
 * by the later incarnation, and `startIncarnation` resets only what refers to the former one.
 */
export class ManagedHost {
  entry: HostEntry;

  /** Runs that occupy resources, by `TASK#RUN`. */
  readonly runs = new Map<string, Run>();

  readonly #used: Capacity = { cpuMilli: 0, memoryMb: 0, accelerators: 0 };

  /** The host has accepted the owner's fencing token, so it rejects orders of previous owners. */
  isFenced = false;

  /** The host list contains the host. */
  isListed = true;

  /** The incarnation has provably ended. */
  hasEnded = false;

  /** A move or the maintenance of the machine has been ordered. */
  isLeaving = false;

  /**
   * Monotonic time at which the provider accepted an order that may have ended the incarnation;
   * undefined if there is none. A machine list that was requested later shows whether it did.
   */
  #endClaimedAt: number | undefined;

  /** Selected for maintenance: the host receives no new work and is evacuated. */
  isEvacuating = false;

  /** Monotonic time in ms until which the host receives no new work. */
  suspendedUntil = 0;

  /**
   * The last report listed a run that no job needs. Its resources are not known and it occupies them
   * until its stop has finished, so the host receives no new work.
   */
  hasUnwantedRuns = false;

  /**
   * The last report did not contain all ends: a run that it does not list may have ended, and its
   * outcome follows in a later report.
   */
  hasHiddenEnds = false;

  /** Number of consecutive unanswered calls. */
  silentCalls = 0;

  /** Monotonic time of the last response. */
  answeredAt = 0;

  /** Monotonic time at which the owner discovered the host. */
  readonly discoveredAt: number;

  /** Monotonic time since which the host has had no runs. */
  idleSince: number;

  /** Highest sequence number of a processed end of a run in this incarnation. */
  processedEnd = 0;

  /** Highest sequence number that may be acknowledged, since its effect has been stored. */
  acknowledgedEnd = 0;

  /** Number of restarts under the same identifier that the owner has noticed. */
  restartCount = 0;

  /**
   * The host has restarted, and no report of the later incarnation has been processed. It may run
   * what it accepted before the owner noticed the restart.
   */
  isRestarting = false;

  /** Start time of the last known incarnation, in ms since the Unix epoch. */
  #startedAtMs: number | undefined;

  /** Start times of the incarnations before it; their messages may still arrive. */
  readonly #formerStartTimes = new Set<number>();

  /** Monotonic time until which runs of a previous owner may exist; 0 after the first response. */
  reservedUntil = 0;

  /** Lease of the runs of this incarnation. */
  #lease = new HostLease();

  /** Number of consecutive failed runs since the last good one. */
  failuresInRow = 0;

  constructor(entry: HostEntry, now: number) {
    this.entry = entry;
    this.discoveredAt = now;
    this.idleSince = now;
    this.#startedAtMs = entry.startedAtMs;
    if (entry.clockMs !== undefined) this.setClock(entry.clockMs, now);
  }

  get id(): string {
    return this.entry.id;
  }

  get pool(): string {
    return this.entry.pool;
  }

  /** Machine that the host runs on; the host's identifier if the entry does not name it. */
  get machine(): string {
    return this.entry.machine ?? this.entry.id;
  }

  get capacity(): Capacity {
    return this.entry.capacity;
  }

  get used(): Readonly<Capacity> {
    return this.#used;
  }

  /** Records a reading of the host's clock at a time of the owner's monotonic clock. */
  setClock(clockMs: number, now: number): void {
    this.#lease.setClock(clockMs, now);
  }

  /**
   * Marks the ends up to a sequence number as stored. The number is ignored if the host has
   * restarted since: it refers to the ends of a former incarnation.
   */
  acknowledge(sequence: number, restartCount: number): void {
    if (restartCount !== this.restartCount) return;
    this.acknowledgedEnd = Math.max(this.acknowledgedEnd, sequence);
  }

  /** Marks whether an order that ends the incarnation is under way. */
  setLeaving(isLeaving: boolean): void {
    this.isLeaving = isLeaving;
  }

  /** Suspends the host until a monotonic time; a longer suspension remains in effect. */
  suspend(until: number): void {
    this.suspendedUntil = Math.max(this.suspendedUntil, until);
  }

  /** Reserves the host until a monotonic time for runs of a previous owner that may exist. */
  reserve(until: number): void {
    this.reservedUntil = until;
  }

  /**
   * Marks the host as fenced: it rejects orders of previous owners. Runs that they started keep
   * their lease, which may last for up to `inheritedLeaseMs` from now.
   */
  fence(inheritedLeaseMs: number): void {
    if (!this.isFenced) this.#lease.adopt(inheritedLeaseMs);
    this.isFenced = true;
    this.reservedUntil = 0;
  }

  get endClaimedAt(): number | undefined {
    return this.#endClaimedAt;
  }

  /** Keeps the host without new work until a machine list shows whether it has ended. */
  markEndClaimed(now: number): void {
    this.#endClaimedAt = now;
  }

  /** Returns the host to service: the machine list shows that it has not ended. */
  withdrawEndClaim(): void {
    this.#endClaimedAt = undefined;
    this.isLeaving = false;
  }

  /** Marks the incarnation as ended. */
  markEnded(): void {
    this.hasEnded = true;
  }

  /** Marks the host as missing from the host list. */
  markUnlisted(): void {
    this.isListed = false;
  }

  /** Records an unanswered call. */
  recordUnanswered(): void {
    this.silentCalls += 1;
  }

  /** Accepts an end for processing; returns false if it has been processed before. */
  acceptEnd(number: number): boolean {
    if (number <= this.processedEnd) return false;
    this.processedEnd = number;
    return true;
  }

  /** Records the outcome of a run for the detection of faulty hosts. */
  recordOutcome(hasFailed: boolean): void {
    this.failuresInRow = hasFailed ? this.failuresInRow + 1 : 0;
  }

  /** Records a response of the host. */
  recordResponse(clockMs: number | undefined, now: number): void {
    this.silentCalls = 0;
    this.answeredAt = now;
    if (clockMs !== undefined) this.setClock(clockMs, now);
  }

  /**
   * Compares the incarnation that wrote an entry or a report with the known one. The start times are
   * not compared by size, since the clock that they are read from may be set.
   */
  compareIncarnation({ startedAtMs }: Pick<HostReport, 'startedAtMs'>): IncarnationOrder {
    if (startedAtMs === undefined || this.#startedAtMs === undefined) return 'same';
    if (startedAtMs === this.#startedAtMs) return 'same';
    return this.#formerStartTimes.has(startedAtMs) ? 'former' : 'later';
  }

  /** Replaces the entry with a newer one of the same incarnation. */
  updateEntry(entry: HostEntry): void {
    this.entry = { ...entry, machine: entry.machine ?? this.entry.machine };
    this.#startedAtMs ??= entry.startedAtMs;
    this.isListed = true;
  }

  /**
   * Begins a later incarnation with the same identifier.
   *
   * The runs are kept, since the host may have accepted them after its restart; the next report
   * shows which of them exist. What was stopped before the restart may be started by a delayed order,
   * so it has to be stopped again.
   *
   * @param leasesUntil Monotonic time until which leases may last that it has granted unnoticed.
   */
  startIncarnation(startedAtMs: number | undefined, leasesUntil: number): void {
    if (this.#startedAtMs !== undefined) this.#formerStartTimes.add(this.#startedAtMs);
    this.#startedAtMs = startedAtMs;
    this.restartCount += 1;
    this.isRestarting = true;
    this.isFenced = false;
    this.hasUnwantedRuns = false;
    this.hasHiddenEnds = false;
    this.processedEnd = 0;
    this.acknowledgedEnd = 0;
    this.#lease = new HostLease();
    this.reserve(leasesUntil);
    this.suspendedUntil = 0;
    this.recordOutcome(false);
    this.runs.forEach((run) => run.withdrawStopAnswer());
  }

  /** Marks the first report after a restart as processed. */
  finishRestart(): void {
    this.isRestarting = false;
  }

  /** Computes the expiry of a new lease on the host's clock; undefined if that clock is unknown. */
  computeLeaseEnd(leaseMs: number, now: number): number | undefined {
    return this.#lease.computeEnd(leaseMs, now);
  }

  /** Computes the monotonic time by which all leases granted to the host have expired. */
  computeLeaseExpiry(maxLeaseMs: number): number {
    return Math.max(this.reservedUntil, this.#lease.computeExpiry(maxLeaseMs) ?? -Infinity);
  }

  /** Checks whether the host has enough free resources. */
  canFit(request: ResourceRequest): boolean {
    const { cpuMilli, memoryMb, accelerators } = this.capacity;
    return (
      this.#used.cpuMilli + request.cpuMilli <= cpuMilli &&
      this.#used.memoryMb + request.memoryMb <= memoryMb &&
      this.#used.accelerators + request.accelerators <= accelerators
    );
  }

  /** Checks whether the host can accept new work at a given time. */
  isAvailable(now: number): boolean {
    return (
      this.isListed &&
      !this.hasEnded &&
      !this.isLeaving &&
      !this.isEvacuating &&
      !this.hasUnwantedRuns &&
      this.#hasCurrentEntry &&
      this.isFenced &&
      this.entry.state === 'ready' &&
      this.silentCalls === 0 &&
      this.suspendedUntil <= now
    );
  }

  /** Whether the entry describes the last known incarnation, which may have another capacity. */
  get #hasCurrentEntry(): boolean {
    return this.compareIncarnation(this.entry) === 'same';
  }

  /** Finds a run by its task and number. */
  findRun(task: string, number: number): Run | undefined {
    return this.runs.get(`${task}#${number}`);
  }

  /** Adds a run and allocates its resources. */
  addRun(run: Run, request: ResourceRequest): void {
    this.runs.set(`${run.task}#${run.number}`, run);
    this.#changeUsed(request, 1);
  }

  /** Removes a run and releases its resources. */
  removeRun(run: Run, request: ResourceRequest, now: number): void {
    if (!this.runs.delete(`${run.task}#${run.number}`)) return;
    this.#changeUsed(request, -1);
    if (this.runs.size === 0) this.idleSince = now;
  }

  #changeUsed(request: ResourceRequest, sign: 1 | -1): void {
    this.#used.cpuMilli += sign * request.cpuMilli;
    this.#used.memoryMb += sign * request.memoryMb;
    this.#used.accelerators += sign * request.accelerators;
  }
}
