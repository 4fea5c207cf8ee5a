import type { Capacity, HostEntry, HostReport } from '../port/mod.js';
import type { Run } from './Run.js';

/** The host's clock may run this much slower than the owner's. */
export const MAX_CLOCK_DRIFT = 0.02;
/** Added to the computed end of a lease for the granularity of timers on both sides, in ms. */
const LEASE_MARGIN_MS = 150;

/** Room that a task takes on a host. */
export type ResourceRequest = Capacity;

/** One life of an upstream host, as the owner of the shard believes it to be. */
export class ManagedHost {
  entry: HostEntry;

  /** Runs that hold room, by `TASK#RUN`. */
  readonly runs = new Map<string, Run>();

  readonly #used: Capacity = { cpuMilli: 0, memoryMb: 0, accelerators: 0 };

  /** The owner's token has been accepted here, so earlier owners cannot give orders any more. */
  isFenced = false;

  /** The host list has the entry. */
  isListed = true;

  /** The life is over for certain. */
  hasEnded = false;

  /** The machine has been ordered away (move or maintenance). */
  isLeaving = false;

  /** Chosen for maintenance: takes no new work and is emptied. */
  isEvacuating = false;

  /** Steady time in ms until which the host gets no new work. */
  suspendedUntil = 0;

  /** Unanswered calls in a row. */
  silentCalls = 0;

  /** Steady time of the last answer. */
  answeredAt = 0;

  /** Steady time at which the owner learned of the host. */
  readonly discoveredAt: number;

  /** Steady time since which nothing runs here. */
  idleSince: number;

  /** Highest number of an end that was processed. */
  processedEnd = 0;

  /** Highest number of an end that may be acknowledged: its effect is in the store. */
  acknowledgedEnd = 0;

  /** Steady time until which runs of an earlier owner may exist here; 0 once the host answered. */
  reservedUntil = 0;

  #clockMs: number | undefined;

  #clockReadAt = 0;

  #leaseEndMs = 0;

  /** Latest end, on the host's clock, of leases that earlier owners gave. */
  #inheritedLeaseEndMs = 0;

  /** Runs confirmed as failed in a row, without one that was done. */
  failuresInRow = 0;

  /** Jobs whose runs failed here since the last one that was done. */
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

  /** Machine that carries the host; its own identifier when the entry does not say. */
  get machine(): string {
    return this.entry.machine ?? this.entry.id;
  }

  get capacity(): Capacity {
    return this.entry.capacity;
  }

  get used(): Readonly<Capacity> {
    return this.#used;
  }

  /** Sets the host's clock as of a moment of the owner's steady clock. */
  setClock(clockMs: number, now: number): void {
    this.#clockMs = clockMs;
    this.#clockReadAt = now;
  }

  /** Marks ends up to a number as recorded in the store. */
  acknowledge(number: number): void {
    this.acknowledgedEnd = Math.max(this.acknowledgedEnd, number);
  }

  /** Keeps new work away until a steady time, or longer where that is set already. */
  suspend(until: number): void {
    this.suspendedUntil = Math.max(this.suspendedUntil, until);
  }

  /** Reserves the host for what an earlier owner may run there. */
  reserve(until: number): void {
    this.reservedUntil = until;
  }

  /**
   * Marks the host as held by this owner: earlier owners cannot give orders there any more. What
   * they started keeps its lease, which may last for another `inheritedLeaseMs`.
   */
  fence(inheritedLeaseMs: number): void {
    if (!this.isFenced) this.#inheritedLeaseEndMs = (this.#clockMs ?? 0) + inheritedLeaseMs;
    this.isFenced = true;
    this.reservedUntil = 0;
  }

  /** Marks the life as over. */
  markEnded(): void {
    this.hasEnded = true;
  }

  /** Marks the host as missing from the list. */
  markUnlisted(): void {
    this.isListed = false;
  }

  /** Records a call that was not answered. */
  recordUnanswered(): void {
    this.silentCalls += 1;
  }

  /** Takes an end for processing; false for one that was processed before. */
  acceptEnd(number: number): boolean {
    if (number <= this.processedEnd) return false;
    this.processedEnd = number;
    return true;
  }

  /** Records the outcome of a run for the judgement of the host. */
  recordOutcome(job: string, hasFailed: boolean): void {
    if (hasFailed) {
      this.failuresInRow += 1;
      this.failedJobs.add(job);
    } else {
      this.failuresInRow = 0;
      this.failedJobs.clear();
    }
  }

  /** Records an answer of the host. */
  recordResponse(clockMs: number | undefined, now: number): void {
    this.silentCalls = 0;
    this.answeredAt = now;
    if (clockMs !== undefined) this.setClock(clockMs, now);
  }

  /** Reads the report's birth against the entry; true when another life answered. */
  isOtherIncarnation(report: HostReport): boolean {
    const { startedAtMs: known } = this.entry;
    return known !== undefined && report.startedAtMs !== undefined && known !== report.startedAtMs;
  }

  /** Computes the end of a lease on the host's clock; undefined when its clock is unknown. */
  computeLeaseEnd(leaseMs: number, now: number): number | undefined {
    if (this.#clockMs === undefined) return undefined;
    const end = Math.floor(this.#clockMs + (now - this.#clockReadAt) + leaseMs);
    this.#leaseEndMs = Math.max(this.#leaseEndMs, end);
    return this.#leaseEndMs;
  }

  /** Computes the steady time by which every lease that was given here has expired. */
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

  /** Checks whether a room is free. */
  canFit(request: ResourceRequest): boolean {
    const { cpuMilli, memoryMb, accelerators } = this.capacity;
    return (
      this.#used.cpuMilli + request.cpuMilli <= cpuMilli &&
      this.#used.memoryMb + request.memoryMb <= memoryMb &&
      this.#used.accelerators + request.accelerators <= accelerators
    );
  }

  /** Checks whether the host can take new work at a moment. */
  isAvailable(now: number): boolean {
    return (
      this.isListed &&
      !this.hasEnded &&
      !this.isLeaving &&
      !this.isEvacuating &&
      this.isFenced &&
      this.entry.state === 'ready' &&
      this.silentCalls === 0 &&
      this.suspendedUntil <= now
    );
  }

  /** Finds a run. */
  findRun(task: string, number: number): Run | undefined {
    return this.runs.get(`${task}#${number}`);
  }

  /** Adds a run and takes its room. */
  addRun(run: Run, request: ResourceRequest): void {
    this.runs.set(`${run.task}#${run.number}`, run);
    this.#changeUsed(request, 1);
  }

  /** Removes a run and frees its room. */
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
