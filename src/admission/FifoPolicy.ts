import {
  AdmissionPolicy,
  type Finish,
  type Shed,
  type Submission,
  type Ticket,
} from './AdmissionPolicy.js';
import { RunTimeEstimate } from './RunTimeEstimate.js';

const MAX_QUEUED = 2_000;

/** Plain first-in first-out order with a bounded queue, for comparison in measurements. */
export class FifoPolicy extends AdmissionPolicy {
  /** A map keeps the order of insertion and removes any entry in O(1). */
  readonly #queue = new Map<string, Ticket>();

  readonly #runningIds = new Set<string>();

  readonly #estimate = new RunTimeEstimate();

  readonly #late: Shed[] = [];

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
    // The order of arrival knows no quotas.
  }

  override submit(ticket: Ticket): Submission {
    if (this.#queue.size >= MAX_QUEUED) {
      return { admitted: false, reason: 'queue-full', waitMs: 0 };
    }
    this.#queue.set(ticket.id, ticket);
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
      this.#late.push({ id: first.id, reason: 'deadline' });
    }
    return undefined;
  }

  override expire(): Shed[] {
    return this.#late.splice(0);
  }

  override remove(id: string): boolean {
    return this.#queue.delete(id);
  }

  override finish(id: string, { ran, runMs }: Finish): void {
    if (this.#runningIds.delete(id) && ran) this.#estimate.record(runMs);
  }

  override estimateRun(): number {
    return this.#estimate.mean;
  }
}
