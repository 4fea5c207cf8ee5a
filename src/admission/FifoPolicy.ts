import {
  AdmissionPolicy,
  type AdmissionRequest,
  type JobCompletion,
  type ShedJob,
  type SubmitResult,
} from './AdmissionPolicy.js';
import { RunTimeEstimate } from './RunTimeEstimate.js';

const MAX_QUEUED = 2_000;

/** A first-in, first-out policy with a bounded queue, used as a baseline in measurements. */
export class FifoPolicy extends AdmissionPolicy {
  /** A map preserves insertion order and removes any entry in O(1). */
  readonly #queue = new Map<string, AdmissionRequest>();

  readonly #runningIds = new Set<string>();

  readonly #runTime = new RunTimeEstimate();

  readonly #expiredJobs: ShedJob[] = [];

  #slots = 0;

  override get queued(): number {
    return this.#queue.size;
  }

  override get running(): number {
    return this.#runningIds.size;
  }

  override get limit(): number {
    return this.#slots;
  }

  override setSlots(slots: number): void {
    this.#slots = slots;
  }

  override setQuotas(): void {
    // Quotas don't apply to first-in, first-out order.
  }

  override submit(request: AdmissionRequest): SubmitResult {
    if (this.#queue.size >= MAX_QUEUED) {
      return { admitted: false, reason: 'queue-full', waitMs: 0 };
    }
    this.#queue.set(request.id, request);
    return { admitted: true, displaced: [] };
  }

  override take(now: number): string | undefined {
    while (this.running < this.#slots) {
      const first = this.#queue.values().next().value;
      if (first === undefined) return undefined;
      this.#queue.delete(first.id);
      if (now <= first.deadline) {
        this.#runningIds.add(first.id);
        return first.id;
      }
      this.#expiredJobs.push({ id: first.id, reason: 'deadline' });
    }
    return undefined;
  }

  override expire(): ShedJob[] {
    return this.#expiredJobs.splice(0);
  }

  override remove(id: string): boolean {
    return this.#queue.delete(id);
  }

  override finish(id: string, { ran, runMs }: JobCompletion): void {
    if (this.#runningIds.delete(id) && ran) this.#runTime.record(runMs);
  }

  override estimateRunMs(): number {
    return this.#runTime.mean;
  }
}
