import type { Capacity, HostEntry, HostReport } from '../port/mod.js';
import type { Run } from './Run.js';

/** Maximum fraction by which a host's clock may run slower than the owner's clock. */
export const MAX_CLOCK_DRIFT = 0.02;
/** Margin in ms added to the computed expiry of a lease, for timer granularity on both sides. */
const LEASE_MARGIN_MS = 150;

/** Resources reserved for a task on a host. */
export type ResourceRequest = Capacity;

/** One incarnation of an upstream host, as known to the owner of the shard. */
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

  /** Number of consecutive unanswered calls. */
  silentCalls = 0;

  /** Monotonic time of the last response. */
  answeredAt = 0;

  /** Monotonic time at which the owner discovered the host. */
  readonly discoveredAt: number;

  /** Monotonic time since which the host has had no runs. */
  idleSince: number;

  /** Highest sequence number of a processed end of a run. */
  processedEnd = 0;

  /** Highest sequence number that may be acknowledged, since its effect has been stored. */
  acknowledgedEnd = 0;

  /** Monotonic time until which runs of a previous owner may exist; 0 after the first response. */
  reservedUntil = 0;

  #clockMs: number | undefined;

  #clockReadAt = 0;

  #leaseEndMs = 0;

  /** Latest expiry, on the host's clock, of leases granted by previous owners. */
  #inheritedLeaseEndMs = 0;

  /** Number of consecutive failed runs since the last successful one. */
  failuresInRow = 0;

  /** Jobs with failed runs on the host since the last successful run. */
  readonly failedJobs = new Set<string>();

  constructor(entry: HostEntry, now: number) {
    this.entry = entry;
    this.discoveredAt = now;
    this.idleSince = now;
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
    this.#clockMs = clockMs;
    this.#clockReadAt = now;
  }

  /** Marks the ends up to a sequence number as stored. */
  acknowledge(number: number): void {
    this.acknowledgedEnd = Math.max(this.acknowledgedEnd, number);
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
    if (!this.isFenced) this.#inheritedLeaseEndMs = (this.#clockMs ?? 0) + inheritedLeaseMs;
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
  recordOutcome(job: string, hasFailed: boolean): void {
    if (hasFailed) {
      this.failuresInRow += 1;
      this.failedJobs.add(job);
    } else {
      this.failuresInRow = 0;
      this.failedJobs.clear();
    }
  }

  /** Records a response of the host. */
  recordResponse(clockMs: number | undefined, now: number): void {
    this.silentCalls = 0;
    this.answeredAt = now;
    if (clockMs !== undefined) this.setClock(clockMs, now);
  }

  /** Checks, by the start times, whether a report comes from another incarnation of the host. */
  isOtherIncarnation(report: HostReport): boolean {
    const { startedAtMs: known } = this.entry;
    return known !== undefined && report.startedAtMs !== undefined && known !== report.startedAtMs;
  }

  /** Computes the expiry of a new lease on the host's clock; undefined if that clock is unknown. */
  computeLeaseEnd(leaseMs: number, now: number): number | undefined {
    if (this.#clockMs === undefined) return undefined;
    const end = Math.floor(this.#clockMs + (now - this.#clockReadAt) + leaseMs);
    this.#leaseEndMs = Math.max(this.#leaseEndMs, end);
    return this.#leaseEndMs;
  }

  /** Computes the monotonic time by which all leases granted to the host have expired. */
  computeLeaseExpiry(): number {
    if (this.#clockMs === undefined) return this.reservedUntil;
    const remainingMs = Math.max(
      0,
      Math.max(this.#leaseEndMs, this.#inheritedLeaseEndMs) - this.#clockMs,
    );
    return Math.max(
      this.reservedUntil,
      this.#clockReadAt + remainingMs * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS,
    );
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
      this.isFenced &&
      this.entry.state === 'ready' &&
      this.silentCalls === 0 &&
      this.suspendedUntil <= now
    );
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
